package quorum

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/coord/voters"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/rpc"
)

const (
	methodJoin = "raft.join"
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 300 * time.Millisecond
	// joinTimeout bounds one raft.join request, and joinInterval is the time between the
	// requests of a replica that the leader knows but does not need yet.
	joinTimeout  = 500 * time.Millisecond
	joinInterval = time.Second
	// changeTimeout bounds one membership change, including the copy of the state to a
	// new member.
	changeTimeout = 10 * time.Second
	// standbyAge is the time for which a replica that has asked to be added counts as there. It asks
	// again earlier.
	standbyAge = 2 * joinInterval
	// maxStandbys bounds the replicas that are remembered because they have asked to be added.
	maxStandbys = 64
)

// MembershipPolicy controls how members are added and removed without an operator.
type MembershipPolicy struct {
	voters.Policy
	// KnownAddresses returns the RPC addresses of VMs that may be members of the cluster.
	KnownAddresses func() []string
}

// MaintainMembership keeps the membership up to date until ctx ends. A replica that knows
// no leader sends join requests to the addresses from policy.KnownAddresses. The leader
// removes members that are dead or have been replaced.
func (q *Quorum) MaintainMembership(ctx context.Context, policy MembershipPolicy) {
	if policy.DeadAfter == 0 {
		policy.DeadAfter = voters.DefaultDeadAfter
	}
	q.membershipPolicy.Store(&policy)
	// standbyLeader is the leader that accepted the last join request at standbySince.
	standbyLeader, standbySince := "", time.Time{}
	periodic.Every(ctx, membershipInterval, func() {
		name, _, self := q.Leader()
		switch {
		case self:
			q.changeMembers(ctx, policy)
		case name == "" && (standbyLeader == "" || time.Since(standbySince) >= joinInterval):
			standbyLeader = q.join(ctx, append([]string{standbyLeader}, policy.KnownAddresses()...))
			standbySince = time.Now()
		}
	})
}

// joinResponse is the response to raft.join. Only the leader accepts a request; any other
// replica returns the leader's address, if known.
type joinResponse struct {
	// Accepted is set if the leader received the request. It does not mean that the
	// replica is added.
	Accepted bool `json:"accepted"`
	// Leader is the leader's RPC address, if another replica is the leader.
	Leader string `json:"leader,omitempty"`
}

// join asks the leader to add this replica. It tries the given addresses in order and
// follows redirects to the leader. For a replica that is already a member, the leader
// accepts the request and changes nothing. join returns the address of the leader that
// accepted the request, or "".
func (q *Quorum) join(ctx context.Context, addresses []string) string {
	tried := map[string]bool{q.opts.RPCAddress: true, "": true}
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		var response joinResponse
		timeoutCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := q.transport.call(timeoutCtx, address, methodJoin, Voter{q.id, q.opts.RPCAddress}, &response)
		cancel()
		if err != nil {
			continue
		}
		if response.Accepted {
			return address
		}
		if response.Leader != "" {
			addresses = append([]string{response.Leader}, addresses...)
		}
	}
	return ""
}

// handleJoin remembers that a replica asks to be added. If it is to be added, that is done in the
// background.
func (q *Quorum) handleJoin(_ context.Context, params json.RawMessage) (any, error) {
	var v Voter
	if err := json.Unmarshal(params, &v); err != nil {
		return nil, rpc.Errorf("bad_request", "join: %v", err)
	}
	_, address, self := q.Leader()
	if !self {
		return joinResponse{Leader: address}, nil
	}
	q.standbys.record(v, time.Now())
	if policy := q.membershipPolicy.Load(); policy != nil {
		go q.changeMembers(q.ctx, *policy)
	}
	return joinResponse{Accepted: true}, nil
}

// standbyList holds the replicas that have asked to be added, with the times of their last
// requests. It is safe for concurrent use.
type standbyList struct {
	mu    sync.Mutex
	asked map[Voter]time.Time
}

// record adds a replica, unless too many are remembered.
func (l *standbyList) record(v Voter, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asked == nil {
		l.asked = make(map[Voter]time.Time)
	}
	maps.DeleteFunc(l.asked, func(_ Voter, at time.Time) bool { return now.Sub(at) >= standbyAge })
	if _, known := l.asked[v]; known || len(l.asked) < maxStandbys {
		l.asked[v] = now
	}
}

// recent returns the replicas that have asked within standbyAge, the one that asked last first.
func (l *standbyList) recent(now time.Time) []raft.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []raft.Member
	for v, at := range l.asked {
		if now.Sub(at) < standbyAge {
			members = append(members, raft.Member{ReplicaID: v.ReplicaID, Address: v.Address})
		}
	}
	slices.SortFunc(members, func(a, b raft.Member) int {
		return cmp.Or(l.asked[Voter{b.ReplicaID, b.Address}].Compare(l.asked[Voter{a.ReplicaID, a.Address}]), cmp.Compare(a.Name, b.Name))
	})
	return members
}

// group returns what this replica knows of the members. It is useful on the leader only.
func (q *Quorum) group() voters.Group {
	d := q.Describe()
	g := voters.Group{Self: q.id, Standbys: q.standbys.recent(time.Now()), ChangePending: d.ChangePending}
	for _, m := range d.Members {
		g.Members = append(g.Members, voters.Member{
			Member:  raft.Member{ReplicaID: m.ReplicaID, Address: m.Address, Learner: m.Learner},
			Silence: time.Duration(m.SinceLastContactMS) * time.Millisecond, Heard: m.Heard,
		})
	}
	return g
}

// changeMembers makes the next change of the members, unless one is in progress or this replica
// is not the leader.
func (q *Quorum) changeMembers(ctx context.Context, policy MembershipPolicy) {
	if _, _, self := q.Leader(); !self || !q.changing.TryLock() {
		return
	}
	defer q.changing.Unlock()
	g := q.group()
	change, ok := policy.Next(g)
	if !ok {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if change.Remove != (ReplicaID{}) {
		q.logMembershipChange("voter_removed", change.Remove, g, q.RemoveVoter(timeoutCtx, change.Remove))
		return
	}
	q.logMembershipChange("voter_added", change.Add.ReplicaID, g, q.addLearner(timeoutCtx, change.Add))
}

// Retire removes the replica with a storage if the others can do without it, and reports whether it
// is no member any more. The membership policy must know already that it is retired, so that no
// replica adds it again.
func (q *Quorum) Retire(ctx context.Context, storage string) (bool, error) {
	policy := q.membershipPolicy.Load()
	if policy == nil {
		return false, ErrNotLeader
	}
	// A change that was decided before the retirement may add the replica.
	if !q.changing.TryLock() {
		return false, nil
	}
	defer q.changing.Unlock()
	g := q.group()
	if g.ChangePending {
		// An earlier removal of the replica may be lost.
		return false, nil
	}
	i := slices.IndexFunc(g.Members, func(m voters.Member) bool { return m.Storage == storage })
	if i < 0 {
		return true, nil
	}
	id := g.Members[i].ReplicaID
	if !policy.MayLeave(g, id) {
		return false, nil
	}
	err := q.RemoveVoter(ctx, id)
	q.logMembershipChange("voter_retired", id, g, err)
	return err == nil, err
}

// logMembershipChange logs the outcome of adding or removing a member, and what was known of the
// members when that was decided.
func (q *Quorum) logMembershipChange(event string, id ReplicaID, g voters.Group, err error) {
	log := q.log.WithFields(logrus.Fields{"event": event, "member": id.String(), "members": describeMembers(g.Members)})
	if err != nil && !errors.Is(err, context.Canceled) {
		log.WithError(err).Warn("membership change failed")
		return
	}
	log.Info("membership changed")
}

// describeMembers returns the members with the time since each was last heard.
func describeMembers(members []voters.Member) string {
	var texts []string
	for _, m := range members {
		text := m.Name + ":" + m.Silence.String()
		if !m.Heard {
			text += ":unheard"
		}
		if m.Learner {
			text += ":learner"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ",")
}
