package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/rpc"
)

const (
	// commitTimeout bounds the commit of a retirement or of copies.
	commitTimeout = 500 * time.Millisecond
	// askTimeout bounds the questions to a VM that is being retired, so that a suspended one leaves
	// time for the rest of the request.
	askTimeout = 400 * time.Millisecond
)

// MethodTurn is the RPC method that tells where the history of a turn lies. The leader
// executes it.
const MethodTurn = "ledger.turn"

// TurnResponse is the response of MethodTurn to a history.Turn.
type TurnResponse struct {
	// Known is set if the directory has the turn.
	Known bool `json:"known"`
	// Holders are the store VMs that hold its record and reported recently; Absent are the
	// storages of the others. Unconfirmed are the storages among them that are not known to have
	// the record.
	Holders     []history.Store `json:"holders,omitempty"`
	Absent      []string        `json:"absent,omitempty"`
	Unconfirmed []string        `json:"unconfirmed,omitempty"`
}

// previousHolders returns the storages that hold the previous turn of a request. It
// returns false if there is no such turn; the leader's state is complete, because it holds
// a lease. The caller holds h.mu.
func (h *Host) previousHolders(r *AdmitRequest) (holders []string, known bool) {
	if r.PreviousTurn == "" {
		return nil, true
	}
	t := history.Turn{Organisation: r.Organisation, ID: r.PreviousTurn}
	h.options.Machine.readTurns(func(turns *history.Directory, _ int64) {
		holders, known = turns.Lookup(t)
	})
	return holders, known
}

// keep proposes to record the holders of a turn and sends the outcome to the entry, if it waits
// for it.
func (h *Host) keep(r keepRequest, l *link) {
	if r.Number == unansweredKeep {
		h.batcher.add(operation{keep: &r.Keep})
		return
	}
	h.batcher.add(operation{keep: &r.Keep, onOutcome: func(accepted bool, err error) {
		outcome := keepOutcome{Number: r.Number, State: keepDurable}
		switch {
		case err != nil:
			outcome.State = keepUnknown
		case !accepted:
			outcome.State = keepRefused
		}
		l.send(kindKeepOutcome, &outcome)
	}})
}

// commit waits for the outcome of an operation.
func (h *Host) commit(ctx context.Context, op operation) (accepted bool, err error) {
	done := make(chan error, 1)
	op.onOutcome = func(ok bool, err error) {
		accepted = ok
		done <- err
	}
	h.batcher.add(op)
	select {
	case err := <-done:
		return accepted, err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// emptyStorage excludes a storage from holding histories and reports whether none depends
// on it any more. A VM that cannot be asked, because it is suspended or gone, may have each record
// that names it as a holder.
func (h *Host) emptyStorage(ctx context.Context, storage string) (bool, error) {
	stores := h.options.Stores()
	if !h.options.Machine.Retired(storage) {
		commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		if _, err := h.commit(commitCtx, operation{retiredStorage: storage}); err != nil {
			return false, err
		}
	}
	asked := false
	if i := slices.IndexFunc(stores, func(s history.Store) bool { return s.Storage == storage }); i >= 0 {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		asked = h.confirmAll(askCtx, stores[i]) == nil
	}
	needed := false
	h.options.Machine.readTurns(func(turns *history.Directory, unixSeconds int64) {
		needed = turns.Needs(unixSeconds, storage, asked, stores, h.options.Copies)
	})
	if check := (retireCheck{storage, asked, needed}); h.retireCheck.Swap(check) != check {
		h.options.Log.WithFields(logrus.Fields{"event": "retire_checked", "storage": storage, "asked": asked, "needed": needed}).Info("store VM that is being retired was checked for histories that depend on it")
	}
	return !needed, nil
}

// retireCheck is the result of a check whether a VM that is being retired may leave. asked is set if
// the VM has told what it has, and needed if histories depend on it.
type retireCheck struct {
	storage       string
	asked, needed bool
}

// storageAt returns the storage of the store VM at an address, for requests of earlier releases;
// "" if it is not known.
func (h *Host) storageAt(address string) string {
	for _, s := range h.options.Stores() {
		if s.RPCAddress == address {
			return s.Storage
		}
	}
	for _, m := range h.options.Quorum.Describe().Members {
		if m.Address == address {
			return m.Storage
		}
	}
	return ""
}

// handleRemoveVoter moves all histories off a store VM that is being retired and removes
// its replica.
func (h *Host) handleRemoveVoter(ctx context.Context, params json.RawMessage) (any, error) {
	var r registry.RemoveVoterRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "remove voter: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	// A new leader may not have applied all turns, and a former one does not get them.
	if err := h.options.Quorum.ReadBarrier(ctx); err != nil {
		return nil, rpc.Errorf("not_leader", "this store VM does not lead: %v", err)
	}
	storage := r.Storage
	if storage == "" {
		storage = h.storageAt(r.Address)
	}
	if storage == "" {
		return nil, rpc.Errorf("unavailable", "the storage of the store VM at %s is not known", r.Address)
	}
	empty, err := h.emptyStorage(ctx, storage)
	if err != nil {
		return nil, rpc.Errorf("unavailable", "%v", err)
	}
	if !empty {
		return registry.RemoveVoterResponse{}, nil
	}
	removed, err := h.options.Quorum.Retire(ctx, storage)
	if err != nil {
		return nil, rpc.Errorf("unavailable", "%v", err)
	}
	return registry.RemoveVoterResponse{Removed: removed}, nil
}

var errNotLeading = errors.New("this store VM does not admit requests")

// handleTurn tells where the history of a turn lies.
func (h *Host) handleTurn(_ context.Context, params json.RawMessage) (any, error) {
	var t history.Turn
	if err := json.Unmarshal(params, &t); err != nil {
		return nil, rpc.Errorf("bad_request", "turn: %v", err)
	}
	if !h.canAdmit() {
		return nil, rpc.Errorf("not_leader", "%v", errNotLeading)
	}
	var response TurnResponse
	var holders []string
	h.options.Machine.readTurns(func(turns *history.Directory, _ int64) {
		holders, response.Known = turns.Lookup(t)
		response.Unconfirmed = turns.Named(t)
	})
	response.Holders, response.Absent = history.Resolve(h.options.Stores(), holders)
	return response, nil
}
