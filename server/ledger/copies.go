package ledger

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/bootclock"
)

const (
	// absenceLimit is how long a store VM may be missing from the reports before its
	// histories are copied elsewhere. A VM that restarts is back earlier.
	absenceLimit = 2 * time.Second
	// copyBatch bounds the histories that one VM is asked to copy at a time, and
	// maxCopiesPlanned those of one round.
	copyBatch        = 48
	maxCopiesPlanned = 512
	// copyRounds bounds the plans that are made and executed one after the other.
	copyRounds = 8
)

// Copier makes store VMs copy histories from each other.
type Copier interface {
	// Copy makes the VM at the address to copy turns from the VM at the address from. It
	// returns the turns that the VM holds afterwards.
	Copy(ctx context.Context, to, from string, turns []history.Turn) ([]history.Turn, error)
	// Held returns which of some turns the VM at the address has.
	Held(ctx context.Context, address string, turns []history.Turn) ([]history.Turn, error)
	// Seal makes the VM at the address refuse further records. It returns once the VM has stored
	// those that it accepted before.
	Seal(ctx context.Context, address string) error
}

// copyState is the state of the leader's task that keeps enough copies of each history.
// Only that task uses it.
type copyState struct {
	// seen holds the store VMs that reported within absenceLimit, by storage, with the
	// time of the last report on the boot clock.
	seen map[string]seenStore
	// missing is the number of histories with too few copies at the last check.
	missing int
	repair  history.Repair
	// questions are the turns about which the VMs are asked, and nextQuestions is the time of the
	// next search for those that are due, on the boot clock.
	questions     map[history.Turn]question
	nextQuestions time.Duration
}

type seenStore struct {
	history.Store
	at time.Duration
}

// restoreCopies has missing copies of histories made, while this VM is the leader.
func (h *Host) restoreCopies(ctx context.Context) {
	if h.options.Copier == nil || !h.canAdmit() {
		h.copies = copyState{}
		return
	}
	h.confirmHolders(ctx)
	for range copyRounds {
		plan := h.planCopies()
		if plan.Missing != h.copies.missing {
			h.copies.missing = plan.Missing
			h.options.Log.WithFields(logrus.Fields{"event": "history_copies", "missing": plan.Missing, "lost": plan.Lost, "planned": len(plan.Copies)}).Info("number of histories with too few copies changed")
		}
		if len(plan.Copies) == 0 {
			return
		}
		if h.makeCopies(ctx, plan.Copies) == 0 {
			return
		}
	}
}

// presentStores updates and returns the store VMs that count as present.
func (h *Host) presentStores() []history.Store {
	now := bootclock.Now()
	if h.copies.seen == nil {
		h.copies.seen = make(map[string]seenStore)
	}
	for _, s := range h.options.Stores() {
		h.copies.forgetReplaced(s)
		h.copies.seen[s.Storage] = seenStore{s, now}
	}
	var present []history.Store
	for storage, s := range h.copies.seen {
		if now-s.at > absenceLimit {
			delete(h.copies.seen, storage)
			continue
		}
		present = append(present, s.Store)
	}
	return present
}

// planCopies plans the missing copies.
func (h *Host) planCopies() history.RepairPlan {
	present := h.presentStores()
	var plan history.RepairPlan
	h.options.Machine.readTurns(func(turns *history.Directory, unixSeconds int64) {
		plan = h.copies.repair.Plan(turns, unixSeconds, present, h.options.Copies, maxCopiesPlanned)
	})
	return plan
}

// forgetReplaced removes the former disk of a VM that reports another one.
func (c *copyState) forgetReplaced(s history.Store) {
	for storage, other := range c.seen {
		if other.RPCAddress == s.RPCAddress && storage != s.Storage {
			delete(c.seen, storage)
		}
	}
}

// route is a pair of VMs between which histories are copied.
type route struct{ from, to history.Store }

// makeCopies has the planned copies made, by all destinations at the same time, and
// records them. It returns the number of copies that were made.
func (h *Host) makeCopies(ctx context.Context, copies []history.Copy) int {
	batches := make(map[string]map[route][]history.Turn)
	for _, c := range copies {
		destination := batches[c.To.Storage]
		if destination == nil {
			destination = make(map[route][]history.Turn)
			batches[c.To.Storage] = destination
		}
		r := route{c.From, c.To}
		if len(destination[r]) < copyBatch {
			destination[r] = append(destination[r], c.Turn)
		}
	}
	results := make(chan copyResult, len(batches))
	for _, destination := range batches {
		go func() {
			var result copyResult
			for r, turns := range destination {
				result.add(turns, h.copyBatch(ctx, r, turns))
			}
			results <- result
		}()
	}
	copied := 0
	for range batches {
		result := <-results
		copied += result.copied
		for _, t := range result.failed {
			h.copies.repair.Failed(t)
		}
	}
	return copied
}

// copyResult is the outcome of the copies to one VM.
type copyResult struct {
	copied int
	failed []history.Turn
}

// add counts the turns of a batch of which copied were copied.
func (r *copyResult) add(batch, copied []history.Turn) {
	r.copied += len(copied)
	for _, t := range batch {
		if !slices.Contains(copied, t) {
			r.failed = append(r.failed, t)
		}
	}
}

// copyBatch has one VM copy histories from another one, records the new holder and returns the
// turns that were copied.
func (h *Host) copyBatch(ctx context.Context, r route, turns []history.Turn) []history.Turn {
	copied, err := h.options.Copier.Copy(ctx, r.to.Address, r.from.Address, turns)
	h.options.Log.WithFields(logrus.Fields{"event": "histories_copied", "from": r.from.Address, "to": r.to.Address, "wanted": len(turns), "copied": len(copied), "error": err}).Info("histories copied between store VMs")
	if err := h.recordHolder(ctx, r.to.Storage, copied); err != nil {
		h.options.Log.WithField("event", "histories_copied").WithError(err).Warn("copies not recorded")
	}
	return copied
}

// recordHolder records that a storage has the records of turns.
func (h *Host) recordHolder(ctx context.Context, storage string, turns []history.Turn) error {
	if len(turns) == 0 {
		return nil
	}
	keepOf := func(t history.Turn) operation {
		return operation{keep: &history.Keep{Turn: t, Holders: []string{storage}, Copied: true}}
	}
	last := len(turns) - 1
	for _, t := range turns[:last] {
		h.batcher.add(keepOf(t))
	}
	// Operations are committed in order, so the next plan sees all of these turns, but for those of
	// an entry of the log that was lost.
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := h.commit(commitCtx, keepOf(turns[last])); err != nil {
		return err
	}
	lost := 0
	h.options.Machine.readTurns(func(d *history.Directory, _ int64) { lost = d.CountNamed(storage, turns) })
	if lost > 0 {
		return fmt.Errorf("%d of %d holders not recorded", lost, len(turns))
	}
	return nil
}
