package ledger

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/bootclock"
)

const (
	// firstQuestionDelay is how long the leader waits for the entry's report that a turn is
	// stored before it asks the VMs that are named as holders.
	firstQuestionDelay = time.Second
	// maxQuestionDelay bounds the time between two questions about a turn, which doubles: a turn
	// may be running, or its caller has left.
	maxQuestionDelay = 30 * time.Second
	// questionInterval is the time between two searches for turns that are due.
	questionInterval = 500 * time.Millisecond
	// questionBatch bounds the turns in one question.
	questionBatch = 1024
)

// question is a turn of which no VM is known to have the record.
type question struct {
	// nextAt is the time of the next question on the boot clock, and delay the time between the
	// last one and the next.
	nextAt, delay time.Duration
}

// confirmHolders asks VMs for the turns that name them and of which no VM is known to have the
// record, because the entry's report was lost or comes from an earlier release.
func (h *Host) confirmHolders(ctx context.Context) {
	now := bootclock.Now()
	if now < h.copies.nextQuestions {
		return
	}
	h.copies.nextQuestions = now + questionInterval
	asked := make(map[history.Store][]history.Turn)
	byStorage := make(map[string]history.Store)
	for _, s := range h.presentStores() {
		byStorage[s.Storage] = s
	}
	h.options.Machine.readTurns(func(turns *history.Directory, unixSeconds int64) {
		h.copies.chooseQuestions(turns, unixSeconds, now, func(t history.Turn, named []string) {
			for _, storage := range named {
				if s, ok := byStorage[storage]; ok {
					asked[s] = append(asked[s], t)
				}
			}
		})
	})
	done := make(chan struct{}, len(asked))
	for s, turns := range asked {
		go func() {
			if err := h.askHolder(ctx, s, turns); err != nil {
				// The turns are asked for again.
				h.options.Log.WithFields(logrus.Fields{"event": "history_holder_unconfirmed", "store": s.Address}).WithError(err).Warn("holders of turns not confirmed")
			}
			done <- struct{}{}
		}()
	}
	for range asked {
		<-done
	}
}

// chooseQuestions calls ask with each turn about which the VMs are to be asked now, and the
// storages that are named as its holders.
func (c *copyState) chooseQuestions(turns *history.Directory, unixSeconds int64, now time.Duration, ask func(t history.Turn, named []string)) {
	questions := make(map[history.Turn]question)
	turns.Unconfirmed(unixSeconds, func(t history.Turn, named []string) {
		q, known := c.questions[t]
		switch {
		case !known:
			q = question{nextAt: now + firstQuestionDelay, delay: firstQuestionDelay}
		case now >= q.nextAt:
			ask(t, named)
			q.delay = min(2*q.delay, maxQuestionDelay)
			q.nextAt = now + q.delay
		}
		questions[t] = q
	})
	c.questions = questions
}

// confirmAll makes a VM that is being retired refuse further records, and records which of the
// turns that name it as a holder it has.
func (h *Host) confirmAll(ctx context.Context, s history.Store) error {
	if h.options.Copier == nil {
		return nil
	}
	if err := h.options.Copier.Seal(ctx, s.Address); err != nil {
		return err
	}
	var turns []history.Turn
	h.options.Machine.readTurns(func(d *history.Directory, unixSeconds int64) { turns = d.UnconfirmedOn(unixSeconds, s.Storage) })
	return h.askHolder(ctx, s, turns)
}

// askHolder asks a VM which of some turns it has, and records it as their holder.
func (h *Host) askHolder(ctx context.Context, s history.Store, turns []history.Turn) error {
	for len(turns) > 0 {
		batch := turns[:min(questionBatch, len(turns))]
		turns = turns[len(batch):]
		held, err := h.options.Copier.Held(ctx, s.Address, batch)
		h.options.Log.WithFields(logrus.Fields{"event": "history_holder_asked", "store": s.Address, "asked": len(batch), "held": len(held), "error": err}).Info("store VM asked which histories it has")
		if err != nil {
			return err
		}
		if err := h.recordHolder(ctx, s.Storage, held); err != nil {
			return err
		}
	}
	return nil
}
