package quorum

import (
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/raft"
)

// maxInputBatch bounds the queued inputs that are handled together with the first one
// and share its synced write, so that heartbeats are not delayed for long under load.
const maxInputBatch = 256

// input is an event for the raft node. A request has a waiter for its result. A status
// request has only the status channel.
type input struct {
	event  raft.Event
	token  uint64
	waiter *waiter
	status chan raft.Status
}

// loopState is the state that only the goroutine of run accesses.
type loopState struct {
	applied uint64
	// postponed holds the inputs that arrived while the disk was full and must not be lost.
	postponed []input
	// requests holds the waiters for Accepted, Rejected or ReadReady, by token.
	requests map[uint64]*waiter
	// proposals holds the waiters for the result of a command, by the log index of its entry.
	proposals map[uint64]proposal
	// changes holds the waiters of accepted membership changes, which complete when a
	// configuration is committed.
	changes []*waiter
}

// proposal is a command in the log that has not been applied.
type proposal struct {
	term   uint64
	waiter *waiter
}

func newLoopState() loopState {
	return loopState{requests: make(map[uint64]*waiter), proposals: make(map[uint64]proposal)}
}

// run handles events in the goroutine that owns the raft node, the log and the state
// machine. It returns when the replica is closed or fails.
func (q *Quorum) run() {
	defer q.wg.Done()
	defer close(q.stopped)
	defer q.failRequests()
	defer func() {
		if p := recover(); p != nil {
			q.fail(fmt.Errorf("internal fault: %v\n%s", p, debug.Stack()))
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var effects []raft.Effect
		select {
		case <-q.ctx.Done():
			return
		case <-ticker.C:
			effects = q.step(raft.Tick{})
		case in := <-q.inputs:
			effects = q.handleInputs(in)
		}
		if err := q.execute(effects); errors.Is(err, errClosing) {
			return
		} else if err != nil {
			q.fail(err)
			return
		}
	}
}

func (q *Quorum) step(ev raft.Event) []raft.Effect { return q.node.Step(time.Since(q.startTime), ev) }

// handleInputs handles an input and the inputs that are queued behind it.
func (q *Quorum) handleInputs(in input) []raft.Effect {
	effects := q.handleInput(in)
	for range maxInputBatch {
		select {
		case in = <-q.inputs:
			effects = append(effects, q.handleInput(in)...)
		default:
			return effects
		}
	}
	return effects
}

// handleInput responds to a status request or passes the event of an input to the raft
// node.
func (q *Quorum) handleInput(in input) []raft.Effect {
	if in.status != nil {
		in.status <- q.node.Status()
		return nil
	}
	if in.waiter != nil {
		q.loop.requests[in.token] = in.waiter
	}
	return q.step(in.event)
}

// execute makes the writes of all effects durable and then executes the other effects in
// order. It repeats this for the effects that result from them, and for the inputs that were
// postponed while the disk was full.
func (q *Quorum) execute(effects []raft.Effect) error {
	for len(effects) > 0 {
		if err := q.persist(effects); err != nil {
			return err
		}
		var followUps []raft.Effect
		for _, e := range effects {
			followUp, err := q.executeEffect(e)
			if err != nil {
				return err
			}
			followUps = append(followUps, followUp...)
		}
		effects = append(followUps, q.handlePostponed()...)
	}
	q.metrics.update(q.node)
	return nil
}

// persist makes the writes of all effects durable with one synced write.
func (q *Quorum) persist(effects []raft.Effect) error {
	combined, ok := raft.CombinePersist(effects)
	if !ok {
		return nil
	}
	defer q.metrics.sync.UpdateSince(time.Now())
	return q.retryWhileFull(func() error {
		if combined.Snapshot != nil {
			return q.store.SaveSnapshot(*combined.Snapshot, *combined.HardState, combined.Entries)
		}
		return q.store.Append(combined.HardState, combined.Entries)
	})
}

// executeEffect executes an effect whose preceding writes are durable. It returns the
// effects that result from it.
func (q *Quorum) executeEffect(e raft.Effect) ([]raft.Effect, error) {
	switch e := e.(type) {
	case raft.Send:
		q.transport.send(e.Message)
	case raft.Apply:
		q.apply(e.Entries)
	case raft.Restore:
		if err := q.restoreSnapshot(e.Snapshot); err != nil {
			return nil, err
		}
		q.handleCommittedConfiguration()
	case raft.TakeSnapshot:
		return q.takeSnapshot(), nil
	case raft.Accepted:
		q.handleAccepted(e)
	case raft.Rejected:
		q.completeRequest(e.Token, nil, convertError(e.Err))
	case raft.ReadReady:
		for _, token := range e.Tokens {
			q.completeRequest(token, nil, nil)
		}
	case raft.RoleChanged:
		q.handleRoleChanged(e)
	}
	return nil, nil
}

// apply applies committed entries to the state machine and completes the proposals at
// their indexes.
func (q *Quorum) apply(entries []raft.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == raft.EntryCommand {
			result = q.opts.StateMachine.Apply(e.Index, e.Data)
		}
		q.loop.applied = e.Index
		if e.Kind == raft.EntryConfiguration {
			q.handleCommittedConfiguration()
		}
		p, waiting := q.loop.proposals[e.Index]
		if !waiting {
			continue
		}
		delete(q.loop.proposals, e.Index)
		if p.term == e.Term {
			p.waiter.complete(result, nil)
		} else {
			// Another entry was committed at this index, so the proposed one will never be
			// committed.
			p.waiter.complete(nil, ErrNotLeader)
		}
	}
}

// restoreSnapshot replaces the state machine's state with that of a snapshot. The snapshot
// at raft.InitialIndex has no data, because the state machine is still unused then.
func (q *Quorum) restoreSnapshot(s *raft.Snapshot) error {
	if s.Index > raft.InitialIndex {
		if err := q.opts.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", s.Index, err)
		}
	}
	q.loop.applied = s.Index
	q.log.WithFields(logrus.Fields{"event": "quorum_restored", "snapshot": s.Index, "bytes": len(s.Data)}).Info("state restored from a snapshot")
	return nil
}

// takeSnapshot compacts the log up to the last applied entry. After an error the log
// keeps growing until the next attempt, which follows the next commit. A state machine that
// implements Capturer is encoded in a goroutine: all replicas take the snapshot of an index at
// about the same time, and the group would commit nothing meanwhile.
func (q *Quorum) takeSnapshot() []raft.Effect {
	index := q.loop.applied
	c, captures := q.opts.StateMachine.(Capturer)
	if !captures {
		return q.step(q.encodeSnapshot(index, q.opts.StateMachine.Snapshot))
	}
	encode := c.Capture()
	go func() {
		// The loop stops together with q.ctx, so that no one waits for the input then.
		select {
		case q.inputs <- input{event: q.encodeSnapshot(index, encode)}:
		case <-q.ctx.Done():
		}
	}()
	return nil
}

// encodeSnapshot returns the event that delivers the snapshot of the state at an index.
func (q *Quorum) encodeSnapshot(index uint64, encode func() ([]byte, error)) raft.SnapshotTaken {
	data, err := encode()
	if err != nil {
		q.log.WithFields(logrus.Fields{"event": "quorum_snapshot_failed", "index": index}).WithError(err).Error("state machine snapshot failed")
		return raft.SnapshotTaken{}
	}
	q.log.WithFields(logrus.Fields{"event": "quorum_snapshot", "index": index, "bytes": len(data)}).Info("log compacted")
	return raft.SnapshotTaken{Index: index, Data: data}
}

// handleRoleChanged publishes a change of role, term or leader. A replica that was the
// leader no longer knows the outcome of its pending proposals.
func (q *Quorum) handleRoleChanged(e raft.RoleChanged) {
	v := &publishedState{role: e.Role, term: e.Term, leader: e.Leader, hasState: true}
	previous := q.published.Load()
	if e.Role == raft.Leader {
		v.leaderSince = time.Now()
		q.metrics.elections.Inc(1)
	}
	if previous.role == raft.Leader {
		q.failProposals(ErrUnknownOutcome)
	}
	v.hasState = q.node.HasState()
	q.published.Store(v)
	q.log.WithFields(logrus.Fields{
		"event": "quorum_role", "role": e.Role.String(), "term": e.Term, "leader": e.Leader.Name, "reason": e.Reason,
	}).Info("role changed")
}

// failRequests ends every pending request when the replica stops.
func (q *Quorum) failRequests() {
	q.published.Store(&publishedState{term: q.published.Load().term, hasState: true})
	q.failProposals(errors.Join(ErrUnknownOutcome, ErrStopped))
	for token := range q.loop.requests {
		q.completeRequest(token, nil, errors.Join(ErrUnknownOutcome, ErrStopped))
	}
}

// failProposals ends all pending proposals and membership changes with err.
func (q *Quorum) failProposals(err error) {
	for index, p := range q.loop.proposals {
		delete(q.loop.proposals, index)
		p.waiter.complete(nil, err)
	}
	for _, w := range q.loop.changes {
		w.complete(nil, err)
	}
	q.loop.changes = nil
}

// fail records and logs the error that stops the replica.
func (q *Quorum) fail(err error) {
	q.failure.Store(&err)
	q.metrics.failed.Update(1)
	q.log.WithField("event", "quorum_failed").WithError(err).Error("replica stopped; it does not vote or acknowledge entries until the process is restarted")
}
