package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/target"
)

const (
	// maxOrderRecords is the maximum number of order records that are kept to recognise
	// retries.
	maxOrderRecords = 1024
)

// OrderFault is a network fault that affects an order.
type OrderFault int

const (
	// OrderFaultNone means that the order is executed and its response is sent.
	OrderFaultNone OrderFault = iota
	// OrderFaultRequestLost means that the connection breaks before the order is
	// executed.
	OrderFaultRequestLost
	// OrderFaultResponseLost means that the order is executed and the connection breaks
	// before the response.
	OrderFaultResponseLost
)

var (
	errStaleFencing   = errors.New("stale fencing number")
	errOrderDropped   = errors.New("deadline passed")
	errUnknownOrder   = errors.New("unknown order kind")
	errOrderRunning   = errors.New("order is still running")
	errOrderWithoutID = errors.New("order without id")
	errProgramAbsent  = errors.New("program not held")
)

// orderState is the engine's configuration that orders change, and the record of the
// orders. It is guarded by Engine.mu.
type orderState struct {
	// highestFencing is the highest fencing number of an accepted order.
	highestFencing uint64
	models         map[string]bool
	adapters       map[string]bool
	version        string
	role           string
	// records are the latest orders, oldest first.
	records []target.OrderRecord
}

func newOrderState(models []string) orderState {
	s := orderState{models: make(map[string]bool), adapters: make(map[string]bool)}
	for _, m := range models {
		s.models[m] = true
	}
	return s
}

// find returns the record of an order, or nil.
func (s *orderState) find(id string) *target.OrderRecord {
	for i := range s.records {
		if s.records[i].ID == id {
			return &s.records[i]
		}
	}
	return nil
}

// add records a running order and removes the oldest record above maxOrderRecords.
func (s *orderState) add(o target.Order) {
	s.records = append(s.records, target.OrderRecord{ID: o.ID, Kind: o.Kind, Program: o.Program, Fencing: o.Fencing, Status: "running"})
	if len(s.records) > maxOrderRecords {
		s.records = s.records[1:]
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, ok := e.inspector.readBody(w, r)
	if !ok {
		return
	}
	var o target.Order
	if err := json.Unmarshal(body, &o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_order", err.Error())
		return
	}
	fault := OrderFaultNone
	if e.options.OrderFault != nil {
		fault = e.options.OrderFault(o)
	}
	if fault == OrderFaultRequestLost {
		panic(http.ErrAbortHandler)
	}
	err := e.execute(r.Context(), o)
	if fault == OrderFaultResponseLost {
		panic(http.ErrAbortHandler)
	}
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, errStaleFencing):
		writeError(w, http.StatusPreconditionFailed, "stale_fencing", err.Error())
	case errors.Is(err, errOrderDropped):
		writeError(w, http.StatusGatewayTimeout, "deadline_exceeded", err.Error())
	case errors.Is(err, errOrderRunning):
		writeError(w, http.StatusConflict, "order_running", err.Error())
	default:
		writeError(w, http.StatusUnprocessableEntity, "order_failed", err.Error())
	}
}

// execute executes an order at most once. An order with a known ID returns the outcome
// of the first execution.
func (e *Engine) execute(ctx context.Context, o target.Order) error {
	deadline := orderDeadline(o, time.Now())
	isNew, err := e.recordOrder(o)
	if !isNew {
		return err
	}
	err = e.perform(ctx, o, deadline)
	e.mu.Lock()
	defer e.mu.Unlock()
	if record := e.orders.find(o.ID); record != nil {
		record.Status, record.Error = orderStatus(err)
	}
	return err
}

// orderStatus returns the status and the error text for the record of an order that
// ended with err.
func orderStatus(err error) (status, message string) {
	switch {
	case err == nil:
		return "done", ""
	case errors.Is(err, errOrderDropped):
		return "dropped", err.Error()
	default:
		return "failed", err.Error()
	}
}

// orderDeadline returns the earlier of the order's expiry time and DeadlineMS after now,
// the time of arrival.
func orderDeadline(o target.Order, now time.Time) time.Time {
	deadline := now.Add(time.Duration(o.DeadlineMS) * time.Millisecond)
	if o.ExpiresUnixMS > 0 {
		if expiry := time.UnixMilli(o.ExpiresUnixMS); expiry.Before(deadline) {
			return expiry
		}
	}
	return deadline
}

// recordOrder records a new order and refuses one with a stale fencing number. For an
// order with a known ID it returns the outcome of the first execution, or
// errOrderRunning.
func (e *Engine) recordOrder(o target.Order) (isNew bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.ID == "" {
		return false, errOrderWithoutID
	}
	if e.options.Fencing == target.FencingEnforced && o.Fencing < e.orders.highestFencing {
		return false, errStaleFencing
	}
	record := e.orders.find(o.ID)
	if record == nil {
		e.orders.highestFencing = max(e.orders.highestFencing, o.Fencing)
		e.orders.add(o)
		return true, nil
	}
	switch record.Status {
	case "done":
		return false, nil
	case "running":
		return false, errOrderRunning
	case "dropped":
		return false, errOrderDropped
	default:
		return false, errors.New(record.Error)
	}
}

// perform executes a new order. It returns errOrderDropped if the deadline passes before
// the order takes effect.
func (e *Engine) perform(ctx context.Context, o target.Order, deadline time.Time) error {
	if e.options.OrderDelay > 0 {
		time.Sleep(min(e.options.OrderDelay, max(0, time.Until(deadline))))
	}
	var imported []segment
	if o.Kind == "import" {
		var err error
		if imported, err = fetchPrefix(ctx, o.Argument, o.Program); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(deadline) {
		return errOrderDropped
	}
	return e.apply(o, imported)
}

// apply applies the effect of an order. The caller holds e.mu.
func (e *Engine) apply(o target.Order, imported []segment) error {
	switch o.Kind {
	case "load_model":
		e.orders.models[o.Model] = true
	case "unload_model":
		delete(e.orders.models, o.Model)
	case "load_adapter":
		e.orders.adapters[o.Argument] = true
	case "set_version":
		e.orders.version = o.Argument
	case "set_role":
		e.orders.role = o.Argument
	case "keep":
		e.batch.cache.keep(o.Program)
	case "release":
		e.batch.cache.release(o.Program)
	case "export":
		if e.batch.cache.entries[o.Program] == nil {
			return errProgramAbsent
		}
	case "import":
		return e.storeImported(o.Program, imported)
	default:
		return fmt.Errorf("%w: %q", errUnknownOrder, o.Kind)
	}
	e.batch.admit()
	return nil
}

func (e *Engine) handleState(w http.ResponseWriter, r *http.Request) {
	e.inspector.inspect(r, nil)
	writeJSON(w, http.StatusOK, e.State())
}

// State returns the state that GET /v1/orders serves.
func (e *Engine) State() target.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.EngineState{
		ID: e.options.ID, Incarnation: e.Incarnation(), HighestFencing: e.orders.highestFencing,
		Models: slices.Sorted(maps.Keys(e.orders.models)), Adapters: slices.Sorted(maps.Keys(e.orders.adapters)),
		Version: e.orders.version, Role: e.orders.role, Held: e.batch.cache.list(), Orders: slices.Clone(e.orders.records),
	}
}

// exportedSegment is the JSON encoding of a segment.
type exportedSegment struct {
	Hash   uint64 `json:"hash"`
	Tokens int64  `json:"tokens"`
}

// handleExport serves the cached prefix of one program to another engine.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	var exported []exportedSegment
	if entry := e.batch.cache.entries[mux.Vars(r)["program"]]; entry != nil {
		for _, s := range entry.segments {
			exported = append(exported, exportedSegment{s.hash, s.tokens})
		}
	}
	e.mu.Unlock()
	if len(exported) == 0 {
		writeError(w, http.StatusNotFound, "program_absent", "")
		return
	}
	writeJSON(w, http.StatusOK, exported)
}

// fetchPrefix fetches the program's prefix from the engine at address.
func fetchPrefix(ctx context.Context, address, program string) ([]segment, error) {
	source := url.URL{Scheme: "http", Host: address, Path: "/v1/export/" + program}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("import: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("import: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("import: %w", errProgramAbsent)
	}
	var exported []exportedSegment
	if err := json.NewDecoder(resp.Body).Decode(&exported); err != nil {
		return nil, fmt.Errorf("import: %w", err)
	}
	prefix := make([]segment, 0, len(exported))
	for _, s := range exported {
		prefix = append(prefix, segment{s.Hash, s.Tokens})
	}
	return prefix, nil
}

// storeImported stores a prefix from another engine and evicts other prefixes if needed.
// The caller holds e.mu.
func (e *Engine) storeImported(program string, prefix []segment) error {
	if len(prefix) == 0 {
		return errProgramAbsent
	}
	cache := e.batch.cache
	tokens := prefix[len(prefix)-1].tokens
	if !cache.reserve(program, tokens) {
		return errors.New("no memory for the import")
	}
	cache.reservedTokens -= tokens
	cache.store(program, prefix)
	return nil
}
