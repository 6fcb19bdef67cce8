package quorum

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockvale.dev/coord/raft"
)

// waiter receives the answer to one request.
type waiter struct {
	done chan outcome
	// satisfied is set for membership changes: the committed configuration that ends the wait.
	satisfied func(raft.Configuration) bool
}

type outcome struct {
	value any
	err   error
}

func newWaiter() *waiter { return &waiter{done: make(chan outcome, 1)} }

func (w *waiter) answer(value any, err error) { w.done <- outcome{value, err} }

// Propose appends a command to the log and returns the state machine's result
// once it is committed and applied. With ErrNotLeader or ErrTooLarge the
// command certainly is not and never will be applied; with ErrUnknownOutcome it
// may be.
func (q *Quorum) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxProposalBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	token := q.tokens.Add(1)
	defer q.metrics.propose.UpdateSince(time.Now())
	return q.request(ctx, raft.Propose{Token: token, Data: data}, token, newWaiter(), ErrUnknownOutcome)
}

// ReadBarrier returns nil if this replica led after the call began, confirmed
// by a quorum, and the state machine holds every command that was committed
// before the call. Concurrent calls share a confirmation round.
func (q *Quorum) ReadBarrier(ctx context.Context) error {
	token := q.tokens.Add(1)
	_, err := q.request(ctx, raft.ReadIndex{Token: token}, token, newWaiter(), ErrNotLeader)
	return err
}

// AddVoter adds a replica as a learner and returns once it has caught up and
// votes. If the storage is empty, the replica is asked for it. Repeating the
// call continues an interrupted one. ErrUnknownOutcome means that the change
// may still take effect.
func (q *Quorum) AddVoter(ctx context.Context, v Voter) error {
	if v.Name == "" || v.Address == "" {
		return errors.New("add voter: name and address are required")
	}
	if v.Storage == "" {
		answer, err := q.peers.hello(ctx, v.Address)
		if err != nil {
			return fmt.Errorf("add voter %s: ask for its storage: %w", v.Name, err)
		}
		if answer.ID.Name != v.Name {
			return fmt.Errorf("add voter %s: %s answers as %s", v.Name, v.Address, answer.ID.Name)
		}
		v.ReplicaID = answer.ID
	}
	w := newWaiter()
	w.satisfied = func(c raft.Configuration) bool { return c.IsVoter(v.ReplicaID) }
	token := q.tokens.Add(1)
	member := raft.Member{ReplicaID: v.ReplicaID, Address: v.Address}
	_, err := q.request(ctx, raft.AddMember{Token: token, Member: member}, token, w, ErrUnknownOutcome)
	if err != nil {
		return fmt.Errorf("add voter %s: %w", v.ReplicaID, err)
	}
	return nil
}

// RemoveVoter removes a voter, or a learner that has not caught up, and returns
// once the removal is committed. A replaced voter is removed after its
// successor was added. A leader that removes itself steps down.
func (q *Quorum) RemoveVoter(ctx context.Context, id ReplicaID) error {
	w := newWaiter()
	w.satisfied = func(c raft.Configuration) bool {
		_, member := c.Find(id)
		return !member
	}
	token := q.tokens.Add(1)
	if _, err := q.request(ctx, raft.RemoveMember{Token: token, ID: id}, token, w, ErrUnknownOutcome); err != nil {
		return fmt.Errorf("remove voter %s: %w", id, err)
	}
	return nil
}

// request hands an event to the core and waits for the answer. Before the core
// has the event it certainly has no effect; afterwards an interrupted wait ends with lost.
func (q *Quorum) request(ctx context.Context, ev raft.Event, token uint64, w *waiter, lost error) (any, error) {
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
		return nil, errors.Join(lost, ctx.Err())
	case <-q.stopped:
	}
	select {
	case out := <-w.done:
		return out.value, out.err
	default:
		return nil, errors.Join(lost, ErrStopped)
	}
}

func (q *Quorum) answer(token uint64, value any, err error) {
	w := q.loop.requests[token]
	if w == nil {
		return
	}
	delete(q.loop.requests, token)
	w.answer(value, err)
}

// accepted moves a request to where its entry's commit will find it.
func (q *Quorum) accepted(e raft.Accepted) {
	w := q.loop.requests[e.Token]
	if w == nil {
		return
	}
	delete(q.loop.requests, e.Token)
	if w.satisfied == nil {
		q.loop.proposals[e.Index] = proposal{e.Term, w}
		return
	}
	q.loop.changes = append(q.loop.changes, w)
	q.configurationCommitted()
}

// configurationCommitted answers the membership changes that the committed configuration satisfies.
func (q *Quorum) configurationCommitted() {
	s := q.node.Status()
	waiting := q.loop.changes[:0]
	for _, w := range q.loop.changes {
		if w.satisfied(s.CommittedConfiguration) {
			w.answer(nil, nil)
		} else {
			waiting = append(waiting, w)
		}
	}
	q.loop.changes = waiting
	q.peers.configured(s.Configuration)
}

// translate maps the core's errors to those of this package.
func translate(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader
	}
	return err
}
