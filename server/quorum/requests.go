package quorum

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockvale.dev/coord/raft"
)

// waiter receives the outcome of one request.
type waiter struct {
	done chan outcome
	// satisfiedBy is set for a membership change. It reports whether a committed
	// configuration completes the change.
	satisfiedBy func(raft.Configuration) bool
}

// outcome is the result or the error of a request.
type outcome struct {
	value any
	err   error
}

func newWaiter() *waiter { return &waiter{done: make(chan outcome, 1)} }

func (w *waiter) complete(value any, err error) { w.done <- outcome{value, err} }

// Propose appends a command to the log and returns the state machine's result once the
// command is committed and applied. After ErrNotLeader or ErrTooLarge the command is not
// applied and never will be. After ErrUnknownOutcome it may be applied.
func (q *Quorum) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxProposalBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	token := q.tokens.Add(1)
	defer q.metrics.propose.UpdateSince(time.Now())
	return q.request(ctx, raft.Propose{Token: token, Data: data}, token, newWaiter(), ErrUnknownOutcome)
}

// ReadBarrier returns nil if a quorum has confirmed that this replica was the leader
// after the call began and the state machine has applied every command that was
// committed before the call. Concurrent calls share a confirmation round.
func (q *Quorum) ReadBarrier(ctx context.Context) error {
	token := q.tokens.Add(1)
	_, err := q.request(ctx, raft.ReadIndex{Token: token}, token, newWaiter(), ErrNotLeader)
	return err
}

// AddVoter adds a replica as a learner and returns once the replica has caught up and is
// a voter. If v.Storage is empty, AddVoter requests it from the replica. A repeated call
// continues an interrupted one. After ErrUnknownOutcome the change may still take effect.
func (q *Quorum) AddVoter(ctx context.Context, v Voter) error {
	if v.Name == "" || v.Address == "" {
		return errors.New("add voter: name and address are required")
	}
	if v.Storage == "" {
		response, err := q.transport.hello(ctx, v.Address)
		if err != nil {
			return fmt.Errorf("add voter %s: ask for its storage: %w", v.Name, err)
		}
		if response.ID.Name != v.Name {
			return fmt.Errorf("add voter %s: %s answers as %s", v.Name, v.Address, response.ID.Name)
		}
		v.ReplicaID = response.ID
	}
	return q.addMember(ctx, raft.Member{ReplicaID: v.ReplicaID, Address: v.Address}, func(c raft.Configuration) bool { return c.IsVoter(v.ReplicaID) })
}

// addLearner adds a replica as a learner, which becomes a voter when it has caught up, and returns
// once that is committed.
func (q *Quorum) addLearner(ctx context.Context, m raft.Member) error {
	return q.addMember(ctx, m, func(c raft.Configuration) bool {
		_, member := c.Find(m.ReplicaID)
		return member
	})
}

// addMember adds a replica and returns once a committed configuration satisfies a condition.
func (q *Quorum) addMember(ctx context.Context, m raft.Member, satisfiedBy func(raft.Configuration) bool) error {
	w := newWaiter()
	w.satisfiedBy = satisfiedBy
	token := q.tokens.Add(1)
	if _, err := q.request(ctx, raft.AddMember{Token: token, Member: m}, token, w, ErrUnknownOutcome); err != nil {
		return fmt.Errorf("add voter %s: %w", m.ReplicaID, err)
	}
	return nil
}

// RemoveVoter removes a voter or a learner and returns once the removal is committed. To
// replace a voter, add its successor first. A leader that removes itself steps down.
func (q *Quorum) RemoveVoter(ctx context.Context, id ReplicaID) error {
	w := newWaiter()
	w.satisfiedBy = func(c raft.Configuration) bool {
		_, member := c.Find(id)
		return !member
	}
	token := q.tokens.Add(1)
	if _, err := q.request(ctx, raft.RemoveMember{Token: token, ID: id}, token, w, ErrUnknownOutcome); err != nil {
		return fmt.Errorf("remove voter %s: %w", id, err)
	}
	return nil
}

// request passes an event to the raft node and waits for the outcome. If the wait ends
// before the event is queued, the event has no effect and the error is ErrNotLeader. If
// it ends later, the error is interruptErr.
func (q *Quorum) request(ctx context.Context, ev raft.Event, token uint64, w *waiter, interruptErr error) (any, error) {
	select {
	case <-q.stopped:
		return nil, errors.Join(ErrNotLeader, ErrStopped)
	default:
	}
	select {
	case q.inputs <- input{event: ev, token: token, waiter: w}:
	case <-ctx.Done():
		return nil, errors.Join(ErrNotLeader, ctx.Err())
	case <-q.stopped:
		return nil, errors.Join(ErrNotLeader, ErrStopped)
	}
	select {
	case out := <-w.done:
		return out.value, out.err
	case <-ctx.Done():
		return nil, errors.Join(interruptErr, ctx.Err())
	case <-q.stopped:
	}
	select {
	case out := <-w.done:
		return out.value, out.err
	default:
		return nil, errors.Join(interruptErr, ErrStopped)
	}
}

// completeRequest ends the request that waits under token, if there is one.
func (q *Quorum) completeRequest(token uint64, value any, err error) {
	w := q.loop.requests[token]
	if w == nil {
		return
	}
	delete(q.loop.requests, token)
	w.complete(value, err)
}

// handleAccepted moves the waiter of a request whose entry is in the log to the waiters
// for the commit.
func (q *Quorum) handleAccepted(e raft.Accepted) {
	w := q.loop.requests[e.Token]
	if w == nil {
		return
	}
	delete(q.loop.requests, e.Token)
	if w.satisfiedBy == nil {
		q.loop.proposals[e.Index] = proposal{e.Term, w}
		return
	}
	q.loop.changes = append(q.loop.changes, w)
	q.handleCommittedConfiguration()
}

// handleCommittedConfiguration completes the membership changes that the committed
// configuration satisfies and passes the latest configuration to the transport.
func (q *Quorum) handleCommittedConfiguration() {
	s := q.node.Status()
	waiting := q.loop.changes[:0]
	for _, w := range q.loop.changes {
		if w.satisfiedBy(s.CommittedConfiguration) {
			w.complete(nil, nil)
		} else {
			waiting = append(waiting, w)
		}
	}
	q.loop.changes = waiting
	q.transport.setMembers(s.Configuration)
}

// convertError maps errors of the raft package to those of this package.
func convertError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader
	}
	return err
}
