package quorum

import (
	"github.com/rcrowley/go-metrics"

	"hemlockvale.dev/coord/raft"
)

// Voter is a replica and its address.
type Voter struct {
	ReplicaID
	// Address is where the replica answers RPCs, as IP:port.
	Address string `json:"address"`
}

// MemberDescription is one member as this replica knows it.
type MemberDescription struct {
	Voter
	// Learner members have not caught up and do not vote.
	Learner bool `json:"learner,omitempty"`
	// Match is the last entry known to be durable there; only the leader knows it.
	Match uint64 `json:"match,omitempty"`
	// SilenceMS is the time since the last answer, in milliseconds; only the leader knows it.
	SilenceMS int64 `json:"silence_ms,omitempty"`
}

// Description is the replica's state for operators.
type Description struct {
	// Self is this replica's identity.
	Self ReplicaID `json:"self"`
	// Role is "leader", "follower", "candidate", "pre_candidate" or "stopped".
	Role string `json:"role"`
	// Formed is set once the replica belongs to a cluster.
	Formed bool `json:"formed"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Leader is the known leader.
	Leader Voter `json:"leader"`
	// Commit, LastIndex, Applied and SnapshotIndex are positions of the log.
	Commit        uint64 `json:"commit"`
	LastIndex     uint64 `json:"last_index"`
	Applied       uint64 `json:"applied"`
	SnapshotIndex uint64 `json:"snapshot_index"`
	// Members are the members of the latest configuration in the log.
	Members []MemberDescription `json:"members"`
	// Failure explains why the replica stopped taking part.
	Failure string `json:"failure,omitempty"`
}

// Describe returns the replica's state.
func (q *Quorum) Describe() Description {
	status := make(chan raft.Status, 1)
	var s raft.Status
	select {
	case q.inputs <- input{status: status}:
	case <-q.stopped:
		return q.describeStopped()
	}
	select {
	case s = <-status:
	case <-q.stopped:
		return q.describeStopped()
	}
	d := Description{
		Self: q.id, Role: s.Role.String(), Formed: len(s.Configuration.Members) > 0, Term: s.HardState.Term,
		Commit: s.Commit, Applied: s.Commit, LastIndex: s.LastIndex, SnapshotIndex: s.SnapshotIndex,
		Members: make([]MemberDescription, 0, len(s.Configuration.Members)),
	}
	if !s.Leader.IsZero() {
		d.Leader = Voter{s.Leader, q.peers.address(s.Leader)}
	}
	for _, m := range s.Configuration.Members {
		known := s.Members[m.ReplicaID]
		d.Members = append(d.Members, MemberDescription{
			Voter: Voter{m.ReplicaID, m.Address}, Learner: m.Learner, Match: known.Match, SilenceMS: known.SinceLastContact.Milliseconds(),
		})
	}
	return d
}

func (q *Quorum) describeStopped() Description {
	d := Description{Self: q.id, Role: "stopped", Term: q.view.Load().term}
	if err := q.Failure(); err != nil {
		d.Failure = err.Error()
	}
	return d
}

// instruments are the replica's metrics.
type instruments struct {
	term, commit, snapshot, leading, failed metrics.Gauge
	elections, dropped                      metrics.Counter
	sync, propose                           metrics.Timer
}

func newInstruments(r metrics.Registry) *instruments {
	return &instruments{
		term:      metrics.GetOrRegisterGauge("quorum.term", r),
		commit:    metrics.GetOrRegisterGauge("quorum.commit_index", r),
		snapshot:  metrics.GetOrRegisterGauge("quorum.snapshot_index", r),
		leading:   metrics.GetOrRegisterGauge("quorum.leading", r),
		failed:    metrics.GetOrRegisterGauge("quorum.failed", r),
		elections: metrics.GetOrRegisterCounter("quorum.elections_won", r),
		dropped:   metrics.GetOrRegisterCounter("quorum.messages_dropped", r),
		sync:      metrics.GetOrRegisterTimer("quorum.sync", r),
		propose:   metrics.GetOrRegisterTimer("quorum.propose", r),
	}
}

// update copies the core's positions into the gauges.
func (i *instruments) update(n *raft.Node) {
	i.term.Update(int64(n.Term()))
	i.commit.Update(int64(n.Commit()))
	i.snapshot.Update(int64(n.SnapshotIndex()))
	leading := int64(0)
	if n.Role() == raft.Leader {
		leading = 1
	}
	i.leading.Update(leading)
}

// Addresses returns the addresses of all members of the newest committed
// configuration that this replica knows.
func (q *Quorum) Addresses() []string {
	q.peers.mu.Lock()
	members := q.peers.members.Members
	q.peers.mu.Unlock()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, q.peers.address(m.ReplicaID))
	}
	return addresses
}
