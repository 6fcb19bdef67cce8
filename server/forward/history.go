package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/bootclock"
	historystore "hemlockvale.dev/server/history"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// Histories reads and writes the histories of programs. *history.Client implements it.
type Histories interface {
	// Read returns the history up to and including a turn and the storage it comes from.
	Read(ctx context.Context, t history.Turn, holders []history.Store) (content []byte, source string, err error)
	// Stage sends the first part of a record to store VMs in advance.
	Stage(ctx context.Context, d historystore.Draft, stores []history.Store) error
	// Write stores a record on the given number of candidates and returns their storages.
	Write(ctx context.Context, d historystore.Draft, candidates []history.Store, copies int) ([]string, error)
}

// keepAttempts bounds how often the record of a turn is written because one of its holders
// is being retired.
const keepAttempts = 3

// errHistoryTooLarge is returned for a turn whose history exceeds the limit.
var errHistoryTooLarge = errors.New("history is too large")

// turnHistory is the history of a request on a route that keeps histories.
type turnHistory struct {
	// loaded is set once base holds the history of the previous turn.
	loaded bool
	base   []byte
	// holders are the storages that hold the record of the previous turn.
	holders []string
	// output is the data of each event that the target sent, each followed by a line feed.
	output []byte
	// outputReserved is the number of bytes that are reserved for output.
	outputReserved int
	// plan is set while the turn is running, once its target has started to respond.
	plan *keepPlan
}

// keepPlan tells where the record of a turn is to be stored.
type keepPlan struct {
	// candidates are the store VMs to try in order.
	candidates []history.Store
	// keep names the first candidates, and recorded receives the outcome of recording them
	// in the directory.
	keep     history.Keep
	recorded chan error
	// staged is set if the first part of the record was sent to the first candidates.
	staged bool
}

const (
	// historyStoresTimeout bounds the wait for enough store VMs. After the loss of all VMs,
	// requests may be admitted some 100 ms before the store VMs have opened their records.
	historyStoresTimeout      = 500 * time.Millisecond
	historyStoresPollInterval = 10 * time.Millisecond
)

// awaitHistoryStores waits until as many store VMs are known as have to hold the turn. Without
// them, a target would generate a response whose end the caller can't get. It returns false,
// after responding to the caller, if they don't report in time.
func (x *exchange) awaitHistoryStores() bool {
	if !x.route.KeepsHistory {
		return true
	}
	for waited := time.Duration(0); len(x.entry.options.HistoryStores()) < x.entry.options.HistoryCopies; waited += historyStoresPollInterval {
		if waited >= historyStoresTimeout || x.timeLeft() <= 0 || x.request.Context().Err() != nil {
			return x.respondError(http.StatusServiceUnavailable, "history_unavailable", unavailableRetryAfter)
		}
		time.Sleep(historyStoresPollInterval)
	}
	return true
}

// turn returns the turn of this organisation with the given id.
func (x *exchange) turn(id string) history.Turn {
	t := history.Turn{ID: id}
	if x.organisation != nil {
		t.Organisation = x.organisation.Name
	}
	return t
}

// previousTurn returns the id of the turn whose history the request continues; empty if
// there is none.
func (x *exchange) previousTurn() string {
	if !x.route.KeepsHistory {
		return ""
	}
	return x.call.PreviousTurn
}

// loadHistory reads the history of the previous turn. It returns false, after responding
// to the caller and releasing the grant, if that is not possible.
func (x *exchange) loadHistory(grant ledgerhost.AdmitResponse) bool {
	if x.previousTurn() == "" || x.history.loaded {
		return true
	}
	start := bootclock.Now()
	t := x.turn(x.call.PreviousTurn)
	holders, absent := history.Resolve(x.entry.options.HistoryStores(), grant.Holders)
	x.preferNear(holders)
	content, source, err := x.entry.options.Histories.Read(x.ctx, t, holders)
	if err == nil && len(content)+size(x.body) > historystore.MaxContentBytes {
		err = errHistoryTooLarge
	}
	if err == nil {
		err = x.reserveHistory(len(content))
	}
	fields := logrus.Fields{"event": "history_read", "request": x.call.ID, "turn": t.String(), "source": source, "bytes": len(content), "took_ms": milliseconds(bootclock.Now() - start)}
	if err == nil {
		x.history.loaded, x.history.base, x.history.holders = true, content, grant.Holders
		x.entry.options.Log.WithFields(fields).Info("history of the previous turn read")
		return true
	}
	fields["holders"], fields["absent"] = len(holders), fmt.Sprint(absent)
	x.entry.options.Log.WithFields(fields).WithError(err).Warn("history of the previous turn not read")
	// The target is not to blame, so this is no failure of the target.
	x.reportDone(grant.Target, dispatch.Abandoned, true)
	switch {
	case x.request.Context().Err() != nil:
		x.abort(x.callerLostReason())
	case errors.Is(err, errHistoryTooLarge):
		x.respondError(http.StatusRequestEntityTooLarge, "history_too_large", 0)
	case errors.Is(err, errMemory):
		x.respondError(http.StatusServiceUnavailable, reasonMemory, unavailableRetryAfter)
	default:
		x.respondError(http.StatusServiceUnavailable, "history_unavailable", unavailableRetryAfter)
	}
	return false
}

// preferNear moves the stores of this data centre to the front.
func (x *exchange) preferNear(stores []history.Store) {
	next := 0
	for i, s := range stores {
		if s.DataCentre == x.entry.options.DataCentre {
			stores[next], stores[i] = s, stores[next]
			next++
		}
	}
}

// targetBody returns the body for the target: the history of the previous turn, if any,
// followed by the body of the caller.
func (x *exchange) targetBody() net.Buffers {
	if len(x.history.base) == 0 {
		return x.body
	}
	return append(net.Buffers{x.history.base}, x.body...)
}

// recordOutput adds an event to the output of the turn. The output is reserved in steps that
// double, as its buffer grows.
func (x *exchange) recordOutput(e event) error {
	if !x.route.KeepsHistory || !e.hasData {
		return nil
	}
	for len(x.history.output)+len(e.data)+1 > x.history.outputReserved {
		step := max(x.history.outputReserved, firstStepBytes)
		if err := x.reserveHistory(step); err != nil {
			return err
		}
		x.history.outputReserved += step
	}
	x.history.output = append(append(x.history.output, e.data...), '\n')
	return nil
}

// finishTurn keeps a turn that its target has completed. If that fails, the caller must
// not see the end of the stream.
func (x *exchange) finishTurn() {
	if !x.route.KeepsHistory || !x.streamed {
		return
	}
	if err := x.keepTurn(); err != nil {
		x.abort("turn_not_kept")
	}
}

// keepTurn stores the history of a completed turn, so that a later turn can continue it.
// The end of the response must not be sent if it fails.
func (x *exchange) keepTurn() error {
	start := bootclock.Now()
	parts := append(slices.Clip(x.targetBody()), x.history.output)
	if size(parts) > historystore.MaxContentBytes {
		return errHistoryTooLarge
	}
	if err := x.reserveHistory(size(parts)); err != nil {
		return err
	}
	content := join(parts)
	draft := x.newDraft(content)
	if x.history.plan != nil && x.history.plan.staged {
		draft.StagedBytes = len(x.history.base) + size(x.body)
	}
	var holders []string
	err := historystore.ErrUnavailable
	for range keepAttempts {
		holders, err = x.storeTurn(draft)
		if !errors.Is(err, ledgerhost.ErrHolderRetired) {
			break
		}
	}
	fields := logrus.Fields{"event": "turn_kept", "request": x.call.ID, "previous": x.previousTurn(), "holders": fmt.Sprint(holders), "bytes": len(content), "took_ms": milliseconds(bootclock.Now() - start)}
	if err != nil {
		x.entry.options.Log.WithFields(fields).WithError(err).Warn("turn not kept")
		return err
	}
	x.entry.options.Log.WithFields(fields).Info("turn kept")
	return nil
}

// newDraft returns the draft of the turn's record with the given content.
func (x *exchange) newDraft(content []byte) historystore.Draft {
	draft := historystore.Draft{Turn: x.turn(x.call.ID), Retention: x.route.Retention(), Content: content}
	if x.history.loaded {
		previous := x.turn(x.call.PreviousTurn)
		draft.Previous, draft.BaseBytes = &previous, len(x.history.base)
	}
	return draft
}

// prepareKeep begins to store the turn when its target starts to respond: the part of the
// record that is known is sent to the store VMs, and the directory records them. If the turn
// is not completed, the directory names a turn that no VM holds, which nobody asks for.
func (x *exchange) prepareKeep() {
	if !x.route.KeepsHistory || x.history.plan != nil {
		return
	}
	plan, err := x.planKeep()
	if err != nil {
		// keepTurn tries again and reports the error.
		return
	}
	x.history.plan = plan
	known := x.targetBody()
	if len(known) > 1 && x.reserveHistory(size(known)) != nil {
		// Without memory for a copy, the whole record follows at the end of the turn.
		return
	}
	plan.staged = true
	go x.stage(x.newDraft(join(known)), plan.candidates[:x.entry.options.HistoryCopies])
}

// stage sends the known part of the record to store VMs. If that fails, the end of the turn
// is only later.
func (x *exchange) stage(d historystore.Draft, stores []history.Store) {
	if err := x.entry.options.Histories.Stage(x.ctx, d, stores); err != nil && x.ctx.Err() == nil {
		x.entry.options.Log.WithFields(logrus.Fields{"event": "turn_not_staged", "request": d.Turn.ID}).WithError(err).Warn("part of a record not sent in advance")
	}
}

// planKeep chooses the store VMs for the record of the turn and has the ledger record them.
func (x *exchange) planKeep() (*keepPlan, error) {
	t := x.turn(x.call.ID)
	candidates := history.Candidates(x.entry.options.HistoryStores(), t, history.Preference{Holders: x.history.holders, DataCentre: x.entry.options.DataCentre})
	copies := x.entry.options.HistoryCopies
	if len(candidates) < copies {
		return nil, historystore.ErrUnavailable
	}
	plan := &keepPlan{candidates: candidates, recorded: make(chan error, 1)}
	plan.keep = history.Keep{Turn: t, RetentionSeconds: int64(x.route.Retention() / time.Second)}
	for _, c := range candidates[:copies] {
		plan.keep.Holders = append(plan.keep.Holders, c.Storage)
	}
	go func() { plan.recorded <- x.entry.options.Ledger.Keep(x.ctx, plan.keep) }()
	return plan, nil
}

// storeTurn writes the record of a turn and waits until the ledger has recorded its
// holders.
func (x *exchange) storeTurn(d historystore.Draft) ([]string, error) {
	plan := x.history.plan
	// Another attempt makes another plan.
	x.history.plan = nil
	if plan == nil {
		var err error
		if plan, err = x.planKeep(); err != nil {
			return nil, err
		}
	}
	holders, err := x.entry.options.Histories.Write(x.ctx, d, plan.candidates, x.entry.options.HistoryCopies)
	if recordErr := <-plan.recorded; err == nil {
		err = recordErr
	}
	if err != nil {
		return holders, err
	}
	isRecorded := func(s string) bool { return slices.Contains(plan.keep.Holders, s) }
	if !slices.ContainsFunc(holders, func(s string) bool { return !isRecorded(s) }) {
		x.entry.options.Ledger.Stored(plan.keep.Turn, holders)
		return holders, nil
	}
	keep := plan.keep
	keep.Holders, keep.Copied = holders, true
	return holders, x.entry.options.Ledger.Keep(x.ctx, keep)
}
