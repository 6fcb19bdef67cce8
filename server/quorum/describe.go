package quorum

import (
	"github.com/rcrowley/go-metrics"

	"hemlockvale.dev/coord/raft"
)

// Voter identifies a replica and holds its address.
type Voter struct {
	ReplicaID
	// Address is the replica's RPC address, as IP:port.
	Address string `json:"address"`
}

// MemberDescription describes a member of the cluster as this replica knows it.
type MemberDescription struct {
	Voter
	// Learner is set for a member that has not caught up and does not vote.
	Learner bool `json:"learner,omitempty"`
	// Match is the highest log index that is known to be durable on the member. It is
	// set on the leader only.
	Match uint64 `json:"match,omitempty"`
	// SinceLastContactMS is the time since the member's last response, or since the leader's
	// election if it has not responded since, in milliseconds. It is set on the leader only.
	SinceLastContactMS int64 `json:"silence_ms,omitempty"`
	// Heard is set if the member has responded since the leader's election. It is set on the
	// leader only.
	Heard bool `json:"heard,omitempty"`
}

// Description describes the state of a replica, for operators.
type Description struct {
	// Self identifies this replica.
	Self ReplicaID `json:"self"`
	// Role is one of "leader", "follower", "candidate", "pre_candidate" and "stopped".
	Role string `json:"role"`
	// Formed is set if the replica's log holds a configuration, that is, if the replica
	// belongs to a cluster.
	Formed bool `json:"formed"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Leader is the known leader; it is zero while none is known.
	Leader Voter `json:"leader"`
	// Commit, LastIndex, Applied and SnapshotIndex are the log indexes of the last
	// committed entry, the last entry, the last applied entry and the last entry that
	// the latest snapshot includes.
	Commit        uint64 `json:"commit"`
	LastIndex     uint64 `json:"last_index"`
	Applied       uint64 `json:"applied"`
	SnapshotIndex uint64 `json:"snapshot_index"`
	// Members are the members of the latest configuration in the log. ChangePending is set on a
	// leader that does not know that configuration to be committed.
	Members       []MemberDescription `json:"members"`
	ChangePending bool                `json:"change_pending,omitempty"`
	// Failure is the error that stopped the replica; it is empty if the replica runs or
	// was closed.
	Failure string `json:"failure,omitempty"`
}

// Describe returns the replica's current state.
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
		Commit: s.Commit, Applied: s.Commit, LastIndex: s.LastIndex, SnapshotIndex: s.SnapshotIndex, ChangePending: s.ChangePending,
		Members: make([]MemberDescription, 0, len(s.Configuration.Members)),
	}
	if !s.Leader.IsZero() {
		d.Leader = Voter{s.Leader, q.transport.address(s.Leader)}
	}
	for _, m := range s.Configuration.Members {
		progress := s.Members[m.ReplicaID]
		d.Members = append(d.Members, MemberDescription{
			Voter: Voter{m.ReplicaID, m.Address}, Learner: m.Learner, Match: progress.Match, SinceLastContactMS: progress.SinceLastContact.Milliseconds(), Heard: progress.Heard,
		})
	}
	return d
}

func (q *Quorum) describeStopped() Description {
	d := Description{Self: q.id, Role: "stopped", Term: q.published.Load().term}
	if err := q.Failure(); err != nil {
		d.Failure = err.Error()
	}
	return d
}

// replicaMetrics holds the metrics of a replica.
type replicaMetrics struct {
	term, commit, snapshot, leading, failed, full metrics.Gauge
	elections, dropped                            metrics.Counter
	sync, propose                                 metrics.Timer
}

func newReplicaMetrics(r metrics.Registry) *replicaMetrics {
	return &replicaMetrics{
		term:      metrics.GetOrRegisterGauge("quorum.term", r),
		commit:    metrics.GetOrRegisterGauge("quorum.commit_index", r),
		snapshot:  metrics.GetOrRegisterGauge("quorum.snapshot_index", r),
		leading:   metrics.GetOrRegisterGauge("quorum.leading", r),
		failed:    metrics.GetOrRegisterGauge("quorum.failed", r),
		full:      metrics.GetOrRegisterGauge("quorum.disk_full", r),
		elections: metrics.GetOrRegisterCounter("quorum.elections_won", r),
		dropped:   metrics.GetOrRegisterCounter("quorum.messages_dropped", r),
		sync:      metrics.GetOrRegisterTimer("quorum.sync", r),
		propose:   metrics.GetOrRegisterTimer("quorum.propose", r),
	}
}

// update sets the gauges from the state of the raft node.
func (m *replicaMetrics) update(n *raft.Node) {
	m.term.Update(int64(n.Term()))
	m.commit.Update(int64(n.Commit()))
	m.snapshot.Update(int64(n.SnapshotIndex()))
	leading := int64(0)
	if n.Role() == raft.Leader {
		leading = 1
	}
	m.leading.Update(leading)
}

// Addresses returns the RPC addresses of all members. The list of members may be older
// than the latest configuration in the log: it is updated when the replica starts or
// restores a snapshot and when a membership change is accepted or committed.
func (q *Quorum) Addresses() []string {
	q.transport.mu.Lock()
	members := q.transport.configuration.Members
	q.transport.mu.Unlock()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, q.transport.address(m.ReplicaID))
	}
	return addresses
}
