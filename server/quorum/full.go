package quorum

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/wal"
)

// fullRetryInterval is the time between two attempts to write to a full disk.
const fullRetryInterval = 100 * time.Millisecond

// errClosing ends the goroutine of run when the replica is closed while its disk is full.
var errClosing = errors.New("replica is being closed")

// retryWhileFull repeats a write until the disk has room for it. To its peers the replica is
// unreachable meanwhile: nothing that follows from the write has been sent or applied, so that it
// can go on afterwards.
func (q *Quorum) retryWhileFull(write func() error) error {
	err := write()
	if !errors.Is(err, wal.ErrFull) {
		return err
	}
	resume := q.suspend(err)
	for errors.Is(err, wal.ErrFull) {
		if !q.rejectInputs(fullRetryInterval) {
			return errClosing
		}
		err = write()
	}
	resume()
	return err
}

// suspend ends the requests in progress and makes the replica appear as one without a leader.
// The function that it returns restores its role, which the raft node has kept.
func (q *Quorum) suspend(cause error) (resume func()) {
	start := time.Now()
	q.metrics.full.Update(1)
	q.log.WithField("event", "quorum_disk_full").WithError(cause).Error("disk is full; the replica does not vote or acknowledge entries until there is room")
	previous := q.published.Load()
	q.published.Store(&publishedState{term: previous.term, hasState: previous.hasState})
	unknown := errors.Join(ErrUnknownOutcome, ErrDiskFull)
	q.failProposals(unknown)
	for token := range q.loop.requests {
		q.completeRequest(token, nil, unknown)
	}
	return func() {
		q.metrics.full.Update(0)
		q.published.Store(previous)
		q.log.WithFields(logrus.Fields{"event": "quorum_disk_room", "took_ms": time.Since(start).Milliseconds()}).Warn("disk has room again")
	}
}

// rejectInputs handles the inputs that arrive within a time without the raft node, which can't
// store anything. It returns false if the replica is being closed.
func (q *Quorum) rejectInputs(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-q.ctx.Done():
			return false
		case <-timer.C:
			return true
		case in := <-q.inputs:
			q.rejectInput(in)
		}
	}
}

// rejectInput rejects a request, drops a message, which its sender repeats, and postpones a
// snapshot, for which the raft node waits.
func (q *Quorum) rejectInput(in input) {
	_, isMessage := in.event.(raft.Receive)
	switch {
	case in.status != nil:
		in.status <- q.node.Status()
	case in.waiter != nil:
		in.waiter.complete(nil, errors.Join(ErrNotLeader, ErrDiskFull))
	case isMessage:
		q.metrics.dropped.Inc(1)
	default:
		q.loop.postponed = append(q.loop.postponed, in)
	}
}

// handlePostponed handles the inputs that arrived while the disk was full.
func (q *Quorum) handlePostponed() []raft.Effect {
	var effects []raft.Effect
	for _, in := range q.loop.postponed {
		effects = append(effects, q.handleInput(in)...)
	}
	q.loop.postponed = nil
	return effects
}
