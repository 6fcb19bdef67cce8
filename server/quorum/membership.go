package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

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
	// DefaultDeadAfter is the default of MembershipPolicy.DeadAfter. A VM that restarts
	// responds again within this time.
	DefaultDeadAfter = 3 * time.Second
)

// MembershipPolicy controls how members are added and removed without an operator.
type MembershipPolicy struct {
	// MinVoters is the number of voters that must remain when a dead voter or a retired
	// replica is removed. It is twice the number of tolerated losses plus one.
	MinVoters int
	// DeadAfter is the time without a response after which a member may be removed; 0
	// means DefaultDeadAfter.
	DeadAfter time.Duration
	// MaxVoters is the number of live members at which no further replica is added, except
	// to replace a member of the same name; 0 means no limit. A replica that is not added
	// repeats its request and is added once a member is lost.
	MaxVoters int
	// KnownAddresses returns the RPC addresses of VMs that may be members of the cluster.
	KnownAddresses func() []string
}

// MaintainMembership keeps the membership up to date until ctx ends. A replica that knows
// no leader sends join requests to the addresses from policy.KnownAddresses. The leader
// removes members that are dead or have been replaced.
func (q *Quorum) MaintainMembership(ctx context.Context, policy MembershipPolicy) {
	if policy.DeadAfter == 0 {
		policy.DeadAfter = DefaultDeadAfter
	}
	q.membershipPolicy.Store(&policy)
	// standbyLeader is the leader that accepted the last join request at standbySince.
	standbyLeader, standbySince := "", time.Time{}
	periodic.Every(ctx, membershipInterval, func() {
		name, _, self := q.Leader()
		switch {
		case self:
			q.removeFailedMember(ctx, policy)
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

// handleJoin responds immediately and adds the replica in the background.
func (q *Quorum) handleJoin(_ context.Context, params json.RawMessage) (any, error) {
	var v Voter
	if err := json.Unmarshal(params, &v); err != nil {
		return nil, rpc.Errorf("bad_request", "join: %v", err)
	}
	_, address, self := q.Leader()
	if !self {
		return joinResponse{Leader: address}, nil
	}
	members := q.Describe().Members
	for _, m := range members {
		if m.ReplicaID == v.ReplicaID {
			return joinResponse{Accepted: true}, nil
		}
	}
	if !q.shouldAdd(v, members) {
		return joinResponse{Accepted: true}, nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(q.ctx, changeTimeout)
		defer cancel()
		err := q.AddVoter(ctx, v)
		q.logMembershipChange("voter_added", v.ReplicaID, err)
	}()
	return joinResponse{Accepted: true}, nil
}

// shouldAdd reports whether a replica is to be added: if it replaces a member of the
// same name, or if fewer than MaxVoters members are alive. A retired replica is not
// added. A member counts as alive for half of DeadAfter after its last response.
func (q *Quorum) shouldAdd(v Voter, members []MemberDescription) bool {
	policy := q.membershipPolicy.Load()
	if policy == nil {
		return false
	}
	if q.isRetired(v.Address) {
		return false
	}
	if policy.MaxVoters == 0 {
		return true
	}
	alive := 0
	for _, m := range members {
		if m.Name == v.Name {
			return true
		}
		unresponsive := m.ReplicaID != q.id && m.SinceLastContactMS > policy.DeadAfter.Milliseconds()/2
		if !unresponsive && !q.isRetired(m.Address) {
			alive++
		}
	}
	return alive < policy.MaxVoters
}

// isRetired reports whether Retire was called for the replica at an address.
func (q *Quorum) isRetired(address string) bool {
	_, retired := q.retiredAddresses.Load(address)
	return retired
}

// Retire removes the replica at an address if at least MinVoters voters remain, and
// reports whether it is no longer a member. Until the process restarts, handleJoin does
// not add a replica at this address again.
func (q *Quorum) Retire(ctx context.Context, address string) (bool, error) {
	q.retiredAddresses.Store(address, struct{}{})
	policy := q.membershipPolicy.Load()
	if policy == nil {
		return false, ErrNotLeader
	}
	members := q.Describe().Members
	for _, m := range members {
		if m.Address != address {
			continue
		}
		if votersWithout(members, address) < policy.MinVoters {
			return false, nil
		}
		if err := q.RemoveVoter(ctx, m.ReplicaID); err != nil {
			return false, err
		}
	}
	return true, nil
}

// votersWithout returns the number of voters at other addresses. Learners do not count:
// they may lack committed entries.
func votersWithout(members []MemberDescription, address string) int {
	voters := 0
	for _, m := range members {
		if m.Address != address && !m.Learner {
			voters++
		}
	}
	return voters
}

// removeFailedMember removes at most one dead or replaced member.
func (q *Quorum) removeFailedMember(ctx context.Context, policy MembershipPolicy) {
	members := q.Describe().Members
	id, ok := findRemovable(members, q.id, policy)
	if !ok {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := q.RemoveVoter(timeoutCtx, id)
	q.logMembershipChange("voter_removed", id, err)
}

// findRemovable returns a member to remove: a dead learner, a voter that was replaced by
// a later voter with the same name and a new disk, or a dead voter if at least MinVoters
// voters remain. A replaced voter is removed after a third of DeadAfter without a
// response. The leader receives no responses from itself, so self is never returned.
func findRemovable(members []MemberDescription, self ReplicaID, policy MembershipPolicy) (ReplicaID, bool) {
	voters := 0
	newestVoters := make(map[string]ReplicaID)
	for _, m := range members {
		if !m.Learner {
			voters++
			newestVoters[m.Name] = m.ReplicaID
		}
	}
	deadAfterMS := policy.DeadAfter.Milliseconds()
	for _, m := range members {
		replaced := newestVoters[m.Name] != m.ReplicaID && newestVoters[m.Name] != ReplicaID{}
		switch {
		case m.ReplicaID == self:
		case m.Learner && m.SinceLastContactMS > deadAfterMS:
			return m.ReplicaID, true
		case m.Learner:
		case replaced && m.SinceLastContactMS > deadAfterMS/3:
			return m.ReplicaID, true
		case m.SinceLastContactMS > deadAfterMS && voters-1 >= policy.MinVoters:
			return m.ReplicaID, true
		}
	}
	return ReplicaID{}, false
}

// logMembershipChange logs the outcome of adding or removing a member.
func (q *Quorum) logMembershipChange(event string, id ReplicaID, err error) {
	log := q.log.WithFields(logrus.Fields{"event": event, "member": id.String()})
	if err != nil && !errors.Is(err, context.Canceled) {
		log.WithError(err).Warn("membership change failed")
		return
	}
	log.Info("membership changed")
}
