package raft

import "errors"

// These errors are the values of Rejected.Err.
var (
	// ErrNotLeader reports that the replica is not the leader; nothing was appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangePending reports that another membership change is in progress.
	ErrChangePending = errors.New("another membership change is in progress")
	// ErrUnsafeChange reports a change after which the reachable voters would form no quorum.
	ErrUnsafeChange = errors.New("membership change would leave no reachable quorum")
	// ErrUnknownMember reports the removal of a replica that is not a member.
	ErrUnknownMember = errors.New("no such member")
	// ErrAlreadyFormed reports a bootstrap of a replica that already belongs to a cluster.
	ErrAlreadyFormed = errors.New("replica already belongs to a cluster")
	// ErrInvalidConfiguration reports an initial configuration in which the replica is not a voter.
	ErrInvalidConfiguration = errors.New("initial configuration does not name this replica as a voter")
)

// Event is an input to Node.Step.
type Event interface{ event() }

// Tick checks the timeouts against the current time. The caller sends it at a short, regular interval.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message Message }

// Propose appends a command to the leader's log. The result is Accepted or Rejected.
type Propose struct {
	// Token identifies the request in the result.
	Token uint64
	// Data is the encoded command, which only the state machine interprets.
	Data []byte
}

// AddMember adds a replica as a learner, which becomes a voter once it has
// caught up. The result is Accepted or Rejected.
type AddMember struct {
	// Token identifies the request in the result.
	Token uint64
	// Member describes the replica to add; its Learner field is ignored.
	Member Member
}

// RemoveMember removes a voter or a learner. The result is Accepted or Rejected.
type RemoveMember struct {
	// Token identifies the request in the result.
	Token uint64
	// ID identifies the replica to remove.
	ID ReplicaID
}

// ReadIndex requests a read barrier. The result is ReadReady or Rejected.
type ReadIndex struct {
	// Token identifies the request in the result.
	Token uint64
}

// SnapshotTaken delivers the state machine's state after the entry at Index was applied.
type SnapshotTaken struct {
	// Index is the index of the last applied entry.
	Index uint64
	// Data is the encoded state.
	Data []byte
}

// Bootstrap gives an unused replica its initial configuration. The result is Accepted or Rejected.
type Bootstrap struct {
	// Token identifies the request in the result.
	Token uint64
	// Configuration lists all initial voters.
	Configuration Configuration
}

func (Tick) event()          {}
func (Receive) event()       {}
func (Propose) event()       {}
func (AddMember) event()     {}
func (RemoveMember) event()  {}
func (ReadIndex) event()     {}
func (SnapshotTaken) event() {}
func (Bootstrap) event()     {}

// Effect is an output of Node.Step, which the caller executes.
type Effect interface{ effect() }

// Persist requests a durable write.
type Persist struct {
	// HardState replaces the stored hard state; nil leaves it unchanged.
	HardState *HardState
	// Entries are written at their indexes; stored entries from the first index on are discarded.
	Entries []Entry
	// Snapshot, if set, replaces the whole stored log; Entries then holds all entries after it.
	Snapshot *Snapshot
}

// CombinePersist merges the writes of all effects into one; ok is false if
// there are none. The merged Entries may contain an index more than once; the
// last entry with an index is the valid one.
func CombinePersist(effects []Effect) (combined Persist, ok bool) {
	for _, e := range effects {
		p, isPersist := e.(Persist)
		if !isPersist {
			continue
		}
		ok = true
		if p.Snapshot != nil {
			combined.Snapshot, combined.Entries = p.Snapshot, nil
		}
		if p.HardState != nil {
			combined.HardState = p.HardState
		}
		combined.Entries = append(combined.Entries, p.Entries...)
	}
	return combined, ok
}

// Send requests the transmission of a message.
type Send struct{ Message Message }

// Apply delivers committed entries to the state machine, in the order of the log.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's state by that of a snapshot.
type Restore struct{ Snapshot *Snapshot }

// TakeSnapshot requests a snapshot of the state machine, which SnapshotTaken delivers.
type TakeSnapshot struct{}

// Accepted reports that a request's entry is in the leader's log. The entry may
// still be uncommitted.
type Accepted struct {
	// Token is the request's token.
	Token uint64
	// Index is the entry's index.
	Index uint64
	// Term is the term in which the request was accepted.
	Term uint64
}

// Rejected reports that a request had no effect.
type Rejected struct {
	// Token is the request's token.
	Token uint64
	// Err is the reason, one of the errors above.
	Err error
}

// ReadReady completes ReadIndex requests: a read of the state machine is
// linearizable once the entry at Index has been applied.
type ReadReady struct {
	// Tokens are the tokens of the completed requests.
	Tokens []uint64
	// Index is the index of the last entry to apply before the read; it is at
	// least the commit index at the time of each request.
	Index uint64
}

// RoleChanged reports a change of role, term or leader.
type RoleChanged struct {
	// Role is the new role.
	Role Role
	// Term is the current term.
	Term uint64
	// Leader is the known leader, or the zero ReplicaID if none is known.
	Leader ReplicaID
	// Reason describes the cause of the change in a few words, for logs.
	Reason string
}

func (Persist) effect()      {}
func (Send) effect()         {}
func (Apply) effect()        {}
func (Restore) effect()      {}
func (TakeSnapshot) effect() {}
func (Accepted) effect()     {}
func (Rejected) effect()     {}
func (ReadReady) effect()    {}
func (RoleChanged) effect()  {}
