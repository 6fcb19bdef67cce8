package quorum

import (
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/raft"
)

// maxBatch bounds the events that share one synced write, so that heartbeats
// are not delayed for long under load.
const maxBatch = 256

// input is an event for the core. A request carries a waiter for its answer; a
// status request carries only the channel.
type input struct {
	event  raft.Event
	token  uint64
	waiter *waiter
	status chan raft.Status
}

// loopState belongs to the goroutine that owns the core.
type loopState struct {
	applied uint64
	// requests wait for Accepted, Rejected or ReadReady.
	requests map[uint64]*waiter
	// proposals wait for the entry at their index to be applied.
	proposals map[uint64]proposal
	// changes wait for a committed configuration.
	changes []*waiter
}

type proposal struct {
	term   uint64
	waiter *waiter
}

func newLoopState() loopState {
	return loopState{requests: make(map[uint64]*waiter), proposals: make(map[uint64]proposal)}
}

// run owns the core until the replica is closed or fails.
func (q *Quorum) run() {
	defer q.wg.Done()
	defer close(q.stopped)
	defer q.release()
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
			effects = q.drain(in)
		}
		if err := q.execute(effects); err != nil {
			q.fail(err)
			return
		}
	}
}

func (q *Quorum) step(ev raft.Event) []raft.Effect { return q.node.Step(time.Since(q.start), ev) }

// drain handles the first input and those that wait behind it.
func (q *Quorum) drain(in input) []raft.Effect {
	effects := q.accept(in)
	for range maxBatch {
		select {
		case in = <-q.inputs:
			effects = append(effects, q.accept(in)...)
		default:
			return effects
		}
	}
	return effects
}

func (q *Quorum) accept(in input) []raft.Effect {
	if in.status != nil {
		in.status <- q.node.Status()
		return nil
	}
	if in.waiter != nil {
		q.loop.requests[in.token] = in.waiter
	}
	return q.step(in.event)
}

// execute makes all writes of the effects durable before it executes the rest in order.
func (q *Quorum) execute(effects []raft.Effect) error {
	for len(effects) > 0 {
		if err := q.persist(effects); err != nil {
			return err
		}
		var more []raft.Effect
		for _, e := range effects {
			followUp, err := q.perform(e)
			if err != nil {
				return err
			}
			more = append(more, followUp...)
		}
		effects = more
	}
	q.metrics.update(q.node)
	return nil
}

// persist makes the writes of all effects durable in one.
func (q *Quorum) persist(effects []raft.Effect) error {
	all, ok := raft.CombinePersist(effects)
	if !ok {
		return nil
	}
	defer q.metrics.sync.UpdateSince(time.Now())
	if all.Snapshot != nil {
		return q.store.SaveSnapshot(*all.Snapshot, *all.HardState, all.Entries)
	}
	return q.store.Append(all.HardState, all.Entries)
}

// perform executes one effect after the writes.
func (q *Quorum) perform(e raft.Effect) ([]raft.Effect, error) {
	switch e := e.(type) {
	case raft.Send:
		q.peers.send(e.Message)
	case raft.Apply:
		q.apply(e.Entries)
	case raft.Restore:
		if err := q.restore(e.Snapshot); err != nil {
			return nil, err
		}
		q.configurationCommitted()
	case raft.TakeSnapshot:
		return q.takeSnapshot(), nil
	case raft.Accepted:
		q.accepted(e)
	case raft.Rejected:
		q.answer(e.Token, nil, translate(e.Err))
	case raft.ReadReady:
		for _, token := range e.Tokens {
			q.answer(token, nil, nil)
		}
	case raft.RoleChanged:
		q.roleChanged(e)
	}
	return nil, nil
}

func (q *Quorum) apply(entries []raft.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == raft.EntryCommand {
			result = q.opts.StateMachine.Apply(e.Index, e.Data)
		}
		q.loop.applied = e.Index
		if e.Kind == raft.EntryConfiguration {
			q.configurationCommitted()
		}
		p, waiting := q.loop.proposals[e.Index]
		if !waiting {
			continue
		}
		delete(q.loop.proposals, e.Index)
		if p.term == e.Term {
			p.waiter.answer(result, nil)
		} else {
			// Another entry is committed at the index, so the proposal never will be.
			p.waiter.answer(nil, ErrNotLeader)
		}
	}
}

// restore replaces the state machine's state. The initial snapshot stands for an unused state machine.
func (q *Quorum) restore(s *raft.Snapshot) error {
	if s.Index > raft.InitialIndex {
		if err := q.opts.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", s.Index, err)
		}
	}
	q.loop.applied = s.Index
	q.log.WithFields(logrus.Fields{"event": "quorum_restored", "snapshot": s.Index, "bytes": len(s.Data)}).Info("state restored from a snapshot")
	return nil
}

// takeSnapshot compacts the log. The log keeps growing after an error, and the next attempt follows the next commit.
func (q *Quorum) takeSnapshot() []raft.Effect {
	data, err := q.opts.StateMachine.Snapshot()
	if err != nil {
		q.log.WithFields(logrus.Fields{"event": "quorum_snapshot_failed", "index": q.loop.applied}).WithError(err).Error("state machine returned no snapshot")
		return q.step(raft.SnapshotTaken{})
	}
	q.log.WithFields(logrus.Fields{"event": "quorum_snapshot", "index": q.loop.applied, "bytes": len(data)}).Info("log compacted")
	return q.step(raft.SnapshotTaken{Index: q.loop.applied, Data: data})
}

func (q *Quorum) roleChanged(e raft.RoleChanged) {
	v := &view{role: e.Role, term: e.Term, leader: e.Leader, touched: true}
	before := q.view.Load()
	if e.Role == raft.Leader {
		v.since = time.Now()
		q.metrics.elections.Inc(1)
	}
	if before.role == raft.Leader {
		q.releaseProposals(ErrUnknownOutcome)
	}
	v.touched = q.node.HasState()
	q.view.Store(v)
	q.log.WithFields(logrus.Fields{
		"event": "quorum_role", "role": e.Role.String(), "term": e.Term, "leader": e.Leader.Name, "reason": e.Reason,
	}).Info("role changed")
}

// release answers every request that is still waiting.
func (q *Quorum) release() {
	q.view.Store(&view{term: q.view.Load().term, touched: true})
	q.releaseProposals(errors.Join(ErrUnknownOutcome, ErrStopped))
	for token := range q.loop.requests {
		q.answer(token, nil, errors.Join(ErrUnknownOutcome, ErrStopped))
	}
}

func (q *Quorum) releaseProposals(err error) {
	for index, p := range q.loop.proposals {
		delete(q.loop.proposals, index)
		p.waiter.answer(nil, err)
	}
	for _, w := range q.loop.changes {
		w.answer(nil, err)
	}
	q.loop.changes = nil
}

// fail ends the replica's part in the cluster.
func (q *Quorum) fail(err error) {
	q.failed.Store(&err)
	q.metrics.failed.Update(1)
	q.log.WithField("event", "quorum_failed").WithError(err).Error("replica takes no further part in the cluster until the process is restarted")
}
