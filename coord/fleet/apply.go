package fleet

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// These codes state why a command was refused.
const (
	// CodeInvalid means that a field is malformed or out of range.
	CodeInvalid = "invalid"
	// CodeNotFound means that the object, or one that it refers to, does not exist.
	CodeNotFound = "not_found"
	// CodeExists means that the object already exists and cannot be replaced.
	CodeExists = "already_exists"
	// CodeInUse means that other objects refer to the object.
	CodeInUse = "in_use"
	// CodeRevisionConflict means that the object changed after the client read it.
	CodeRevisionConflict = "revision_conflict"
	// CodeOperationReused means that the operation id belongs to a different command.
	CodeOperationReused = "operation_reused"
	// CodeStaleVersion means that the command is not based on the shard's latest assignment.
	CodeStaleVersion = "stale_version"
	// CodeVMReplaced means that a later incarnation of the VM is registered.
	CodeVMReplaced = "vm_replaced"
	// CodeNotInSync means that the new owner or in-sync replica may lack committed records.
	CodeNotInSync = "not_in_sync"
)

// newError returns an Error with a formatted message.
func newError(code, path, format string, args ...any) *Error {
	return &Error{Code: code, Path: path, Message: fmt.Sprintf(format, args...)}
}

// operation records the outcome of a command that carried an operation id, so
// that a retry gets the same result.
type operation struct {
	ID          string `json:"id"`
	Fingerprint uint64 `json:"fingerprint"`
	Result      Result `json:"result"`
}

// operationLog holds the last TailLength operations.
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

// Apply validates and executes one command. The revision is the command's index
// in the log of the control VMs. The outcome depends only on the state and the
// arguments. A command does not change the configuration if it is refused,
// repeats an operation or has a revision at or below the current one. A refusal
// is nevertheless recorded under its operation id.
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
			return Result{Error: newError(CodeOperationReused, "operation", "operation %q was used for another change", c.Operation)}
		}
	}
	result := s.applyOnce(revision, c)
	if result.Error != nil {
		s.refusals.add(operation{c.Operation, fingerprint, result})
	}
	return result
}

// applyOnce validates and commits a command that has no operation id or a new one.
func (s *State) applyOnce(revision uint64, c Command) Result {
	v := s.current.Load()
	if revision <= v.revision {
		return Result{Error: newError(CodeInvalid, "revision", "revision %d is not above %d", revision, v.revision)}
	}
	e, err := c.edit()
	if err != nil {
		return Result{Error: err}
	}
	if c.ExpectedRevision != nil {
		if have := e.revision(v); have != *c.ExpectedRevision {
			return Result{Error: newError(CodeRevisionConflict, e.path, "expected revision %d, the object is at %d", *c.ExpectedRevision, have)}
		}
	}
	if err := e.check(v); err != nil {
		return Result{Error: err}
	}
	s.commit(Change{Revision: revision, Command: c}, e)
	return Result{Revision: revision}
}

// ApplyChange applies a change that the control VMs have accepted. It does not
// validate the change, so that a follower whose version has different rules
// reaches the same state. A change at or below the current revision is ignored,
// so delayed and duplicate deliveries never revert anything.
func (s *State) ApplyChange(c Change) {
	c.Command = c.Command.clone()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.current.Load().revision {
		return
	}
	e, err := c.Command.edit()
	if err != nil {
		// A change of unknown kind, from a newer version, only advances the revision.
		e = edit{apply: func(*view, uint64) {}}
	}
	s.commit(c, e)
}

// commit applies the edit to a copy of the view, publishes the copy and records the change.
func (s *State) commit(c Change, e edit) {
	next := *s.current.Load()
	next.revision = c.Revision
	e.apply(&next, c.Revision)
	s.tail = append(s.tail, c)
	for len(s.tail) > TailLength {
		s.compactedRevision = s.tail[0].Revision
		s.tail = s.tail[1:]
	}
	if id := c.Command.Operation; id != "" {
		// Marshalling cannot fail: the command was marshalled before it was accepted.
		fingerprint, _ := c.Command.fingerprint()
		s.operations.add(operation{id, fingerprint, Result{Revision: c.Revision}})
	}
	s.current.Store(&next)
}

// ChangesSince returns the changes after a revision. It returns false if some
// of them are no longer in the tail or if the revision is above the current one:
// the follower then needs a snapshot.
func (s *State) ChangesSince(revision uint64) (changes []Change, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compactedRevision || revision > s.current.Load().revision {
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

// fingerprint returns a hash of the encoded command.
func (c Command) fingerprint() (uint64, *Error) {
	data, err := json.Marshal(c)
	if err != nil {
		return 0, newError(CodeInvalid, "command", "%v", err)
	}
	return xxhash.Sum64(data), nil
}
