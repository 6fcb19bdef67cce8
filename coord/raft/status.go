package raft

import "time"

// Status describes a node at one point in time, for operators and tests.
type Status struct {
	// ID identifies the replica.
	ID ReplicaID
	// Role is the replica's current role.
	Role Role
	// HardState holds the current term and the vote in it.
	HardState HardState
	// Leader is the known leader, or the zero ReplicaID if none is known.
	Leader ReplicaID
	// Commit, LastIndex and SnapshotIndex are the log indexes of the last
	// committed entry, the last entry and the last entry in the latest snapshot.
	Commit, LastIndex, SnapshotIndex uint64
	// Configuration is the latest configuration in the log.
	Configuration Configuration
	// CommittedConfiguration is the latest committed configuration.
	CommittedConfiguration Configuration
	// ChangePending is set while Configuration, or the first entry of the leader's term, is not
	// known to be committed.
	ChangePending bool
	// Members holds the leader's replication state for each member; it is nil on other replicas.
	Members map[ReplicaID]MemberStatus
}

// MemberStatus is a leader's view of one member.
type MemberStatus struct {
	// Match is the highest index that is known to be durable on the member.
	Match uint64
	// SinceLastContact is the time since the member's last response, or since the election if it
	// has not been heard since.
	SinceLastContact time.Duration
	// Heard is set if the member has responded since the election.
	Heard bool
}

// HasState reports whether the replica has a term, a snapshot or log entries, which
// means that it has belonged to a cluster. Only a replica without state may be
// bootstrapped.
func (n *Node) HasState() bool {
	return n.hardState.Term > 0 || n.snapshot != nil || n.log.lastIndex() > 0
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// SnapshotIndex returns the index of the last entry that the latest snapshot includes, or 0.
func (n *Node) SnapshotIndex() uint64 { return n.snapshotIndex() }

// Commit returns the commit index, the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Status returns the node's current status.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, HardState: n.hardState, Leader: n.leader,
		Commit: n.commit, LastIndex: n.log.lastIndex(), SnapshotIndex: n.snapshotIndex(),
		Configuration: n.configuration(), CommittedConfiguration: n.configurationAsOf(n.commit),
	}
	if n.role == Leader {
		s.ChangePending = n.changePending()
		s.Members = make(map[ReplicaID]MemberStatus, len(n.progress))
		for id, pr := range n.progress {
			s.Members[id] = MemberStatus{Match: pr.match, SinceLastContact: n.now - pr.lastContact, Heard: pr.heard}
		}
	}
	return s
}
