package raft

import "time"

// Status is a snapshot of a node for operators and tests.
type Status struct {
	// ID is the replica.
	ID ReplicaID
	// Role is its role.
	Role Role
	// HardState is its term and vote.
	HardState HardState
	// Leader is the known leader, or zero.
	Leader ReplicaID
	// Commit, LastIndex and SnapshotIndex are positions of the log.
	Commit, LastIndex, SnapshotIndex uint64
	// Configuration is the latest configuration in the log.
	Configuration Configuration
	// Committed is the latest committed configuration.
	Committed Configuration
	// Members is what the leader knows about the others; it is empty on other replicas.
	Members map[ReplicaID]MemberStatus
}

// MemberStatus is a leader's view of one member.
type MemberStatus struct {
	// Match is the last entry known to be durable there.
	Match uint64
	// Silence is the time since its last answer.
	Silence time.Duration
}

// Touched reports whether the replica has ever taken part in a cluster. Only an
// untouched replica may be bootstrapped.
func (n *Node) Touched() bool { return n.hard.Term > 0 || n.snapshot != nil || n.log.lastIndex() > 0 }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// SnapshotIndex returns the last entry that the latest snapshot includes.
func (n *Node) SnapshotIndex() uint64 { return n.snapshotIndex() }

// Commit returns the commit index.
func (n *Node) Commit() uint64 { return n.commit }

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, HardState: n.hard, Leader: n.leader,
		Commit: n.commit, LastIndex: n.log.lastIndex(), SnapshotIndex: n.snapshotIndex(),
		Configuration: n.configuration(), Committed: n.configurationAsOf(n.commit),
	}
	if n.role == Leader {
		s.Members = make(map[ReplicaID]MemberStatus, len(n.progress))
		for id, pr := range n.progress {
			s.Members[id] = MemberStatus{Match: pr.match, Silence: n.now - pr.contact}
		}
	}
	return s
}
