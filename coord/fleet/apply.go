package fleet

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Codes of refused commands.
const (
	// CodeInvalid: a field is malformed or out of range.
	CodeInvalid = "invalid"
	// CodeNotFound: the object or one that it refers to does not exist.
	CodeNotFound = "not_found"
	// CodeExists: the object exists already and cannot be replaced.
	CodeExists = "already_exists"
	// CodeInUse: other objects refer to the object.
	CodeInUse = "in_use"
	// CodeRevisionConflict: the object changed since it was read.
	CodeRevisionConflict = "revision_conflict"
	// CodeOperationReused: the operation id belongs to a command with other contents.
	CodeOperationReused = "operation_reused"
	// CodeStaleVersion: the shard's assignment has changed meanwhile.
	CodeStaleVersion = "stale_version"
	// CodeVMReplaced: a later incarnation of the VM is registered.
	CodeVMReplaced = "vm_replaced"
	// CodeNotInSync: the new owner or in-sync member may lack committed records.
	CodeNotInSync = "not_in_sync"
)

// refuse returns a typed refusal.
func refuse(code, place, format string, args ...any) *Error {
	return &Error{Code: code, Place: place, Message: fmt.Sprintf(format, args...)}
}

// operation is the outcome of a command that carried an operation id.
type operation struct {
	ID          string `json:"id"`
	Fingerprint uint64 `json:"fingerprint"`
	Result      Result `json:"result"`
}

// operationLog remembers the last TailLength operations.
type operationLog struct {
	order []operation
	byID  map[string]operation
}

func newOperationLog() operationLog { return operationLog{byID: make(map[string]operation)} }

func (l *operationLog) add(o operation) {
	l.order = append(l.order, o)
	l.byID[o.ID] = o
	for len(l.order) > TailLength {
		delete(l.byID, l.order[0].ID)
		l.order = l.order[1:]
	}
}

func (l *operationLog) clone() operationLog {
	c := newOperationLog()
	for _, o := range l.order {
		c.add(o)
	}
	return c
}

// Apply validates one command and carries it out. The revision is the
// command's index in control's log. The outcome depends only on the state and
// the arguments. A command that was refused, that repeats an operation or whose
// revision is not above the current one changes nothing but the memory of
// operation ids.
func (s *State) Apply(revision uint64, c Command) Result {
	c = c.clone()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Operation == "" {
		return s.applyOnce(revision, c)
	}
	fingerprint, err := c.fingerprint()
	if err != nil {
		return Result{Error: err}
	}
	for _, l := range []*operationLog{&s.operations, &s.refusals} {
		first, known := l.byID[c.Operation]
		if known && first.Fingerprint == fingerprint {
			return first.Result
		}
		if known {
			return Result{Error: refuse(CodeOperationReused, "operation", "operation %q was used for another change", c.Operation)}
		}
	}
	result := s.applyOnce(revision, c)
	if result.Error != nil {
		s.refusals.add(operation{c.Operation, fingerprint, result})
	}
	return result
}

// applyOnce validates and commits a command whose operation id is new.
func (s *State) applyOnce(revision uint64, c Command) Result {
	v := s.current.Load()
	if revision <= v.revision {
		return Result{Error: refuse(CodeInvalid, "revision", "revision %d is not above %d", revision, v.revision)}
	}
	e, err := c.edit()
	if err != nil {
		return Result{Error: err}
	}
	if c.ExpectedRevision != nil {
		if have := e.revision(v); have != *c.ExpectedRevision {
			return Result{Error: refuse(CodeRevisionConflict, e.place, "expected revision %d, the object is at %d", *c.ExpectedRevision, have)}
		}
	}
	if err := e.check(v); err != nil {
		return Result{Error: err}
	}
	s.commit(Change{Revision: revision, Command: c}, e)
	return Result{Revision: revision}
}

// ApplyChange carries out a change that control has accepted. It does not
// validate again, so that a follower with other rules than control still
// follows it. A change at or below the current revision is ignored, so late
// and repeated deliveries never revert anything.
func (s *State) ApplyChange(c Change) {
	c.Command = c.Command.clone()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.current.Load().revision {
		return
	}
	e, err := c.Command.edit()
	if err != nil {
		// An unknown kind of change still counts as seen.
		e = edit{apply: func(*view, uint64) {}}
	}
	s.commit(c, e)
}

// commit publishes the next view and records the change.
func (s *State) commit(c Change, e edit) {
	next := *s.current.Load()
	next.revision = c.Revision
	e.apply(&next, c.Revision)
	s.tail = append(s.tail, c)
	for len(s.tail) > TailLength {
		s.floor = s.tail[0].Revision
		s.tail = s.tail[1:]
	}
	if id := c.Command.Operation; id != "" {
		// The command was marshalled before it was accepted.
		fingerprint, _ := c.Command.fingerprint()
		s.operations.add(operation{id, fingerprint, Result{Revision: c.Revision}})
	}
	s.current.Store(&next)
}

// ChangesSince returns the changes after a revision. It returns false if some
// of them are no longer kept or if the revision lies in the future: the
// follower then needs a snapshot.
func (s *State) ChangesSince(revision uint64) (changes []Change, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.floor || revision > s.current.Load().revision {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(s.tail, revision+1, func(c Change, r uint64) int {
		if c.Revision < r {
			return -1
		}
		return 1
	})
	return slices.Clone(s.tail[first:]), true
}

// fingerprint identifies the contents of a command.
func (c Command) fingerprint() (uint64, *Error) {
	data, err := json.Marshal(c)
	if err != nil {
		return 0, refuse(CodeInvalid, "command", "%v", err)
	}
	return xxhash.Sum64(data), nil
}
