package raft

import "errors"

// Reasons in Rejected.
var (
	// ErrNotLeader reports that the replica does not lead; nothing was appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangePending reports that another membership change is under way.
	ErrChangePending = errors.New("another membership change is in progress")
	// ErrUnsafeChange reports a change after which the reachable voters would form no quorum.
	ErrUnsafeChange = errors.New("membership change would leave no reachable quorum")
	// ErrUnknownMember reports the removal of a replica that is no member.
	ErrUnknownMember = errors.New("no such member")
	// ErrAlreadyFormed reports a bootstrap of a replica that already takes part in a cluster.
	ErrAlreadyFormed = errors.New("replica already belongs to a cluster")
	// ErrInvalidConfiguration reports an initial configuration that lacks the replica.
	ErrInvalidConfiguration = errors.New("initial configuration does not name this replica as a voter")
)

// Event is an input of Node.Step.
type Event interface{ event() }

// Tick lets time pass. It is due every TickInterval or more often.
type Tick struct{}

// Receive delivers a message.
type Receive struct{ Message Message }

// Propose appends a command. The answer is Accepted or Rejected.
type Propose struct {
	// Token identifies the request in the answer.
	Token uint64
	// Data is the command.
	Data []byte
}

// AddMember adds a replica as a learner, which becomes a voter once it has
// caught up. The answer is Accepted or Rejected.
type AddMember struct {
	// Token identifies the request in the answer.
	Token uint64
	// Member is the replica; its Learner field is ignored.
	Member Member
}

// RemoveMember removes a voter or a learner. The answer is Accepted or Rejected.
type RemoveMember struct {
	// Token identifies the request in the answer.
	Token uint64
	// ID is the replica.
	ID ReplicaID
}

// ReadIndex asks for a read barrier. The answer is ReadReady or Rejected.
type ReadIndex struct {
	// Token identifies the request in the answer.
	Token uint64
}

// SnapshotTaken delivers the state machine's state after the entry at Index was applied.
type SnapshotTaken struct {
	// Index is the last applied entry.
	Index uint64
	// Data is the state.
	Data []byte
}

// Bootstrap gives an unused replica its initial configuration. The answer is Accepted or Rejected.
type Bootstrap struct {
	// Token identifies the request in the answer.
	Token uint64
	// Configuration names all initial voters.
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

// Effect is an output of Node.Step.
type Effect interface{ effect() }

// Persist asks for durable storage.
type Persist struct {
	// HardState replaces the stored hard state; nil leaves it.
	HardState *HardState
	// Entries are written at their indexes; stored entries from the first index on are discarded.
	Entries []Entry
	// Snapshot, if set, replaces the whole stored log: Entries are then all entries after it.
	Snapshot *Snapshot
}

// CombinePersist merges the writes of all effects into one; ok is false if
// there are none. Entries may then repeat an index: the later one is valid.
func CombinePersist(effects []Effect) (all Persist, ok bool) {
	for _, e := range effects {
		p, isPersist := e.(Persist)
		if !isPersist {
			continue
		}
		ok = true
		if p.Snapshot != nil {
			all.Snapshot, all.Entries = p.Snapshot, nil
		}
		if p.HardState != nil {
			all.HardState = p.HardState
		}
		all.Entries = append(all.Entries, p.Entries...)
	}
	return all, ok
}

// Send asks for the transmission of a message.
type Send struct{ Message Message }

// Apply delivers committed entries in order.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's state.
type Restore struct{ Snapshot *Snapshot }

// TakeSnapshot asks for a SnapshotTaken event.
type TakeSnapshot struct{}

// Accepted answers a request that was appended to the leader's log.
type Accepted struct {
	// Token is the request's token.
	Token uint64
	// Index is the entry's position.
	Index uint64
	// Term is the entry's term.
	Term uint64
}

// Rejected answers a request that had no effect.
type Rejected struct {
	// Token is the request's token.
	Token uint64
	// Err is the reason.
	Err error
}

// ReadReady answers ReadIndex requests: reads of the state machine after the
// entry at Index are linearizable.
type ReadReady struct {
	// Tokens are the requests' tokens.
	Tokens []uint64
	// Index is the commit index at the time of the latest request.
	Index uint64
}

// RoleChanged reports a change of role, term or leader.
type RoleChanged struct {
	// Role is the new role.
	Role Role
	// Term is the current term.
	Term uint64
	// Leader is the known leader, or zero.
	Leader ReplicaID
	// Reason explains the change.
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
