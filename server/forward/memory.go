package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/memquota"
	"hemlockvale.dev/server/metrics"
)

const (
	// reservationWait bounds the wait for one reservation. It lets short bursts pass and is
	// well below the time limits of requests.
	reservationWait = 250 * time.Millisecond
	// memoryLogInterval is the time between two log lines about rejected reservations.
	memoryLogInterval = time.Second
	// exchangeBytes is reserved for each request that is admitted: the read buffer of the
	// connection to the target, and the first headStepBytes of the response.
	exchangeBytes = readBufferBytes + headStepBytes
	// reasonMemory is the reason of requests that are rejected because the entry has no memory
	// for their bytes.
	reasonMemory = "memory_quota"
)

// errMemory is returned for a reservation that can't be made in time. The quota's reason is
// that of a memoryError.
var errMemory = errors.New("no memory for the bytes to buffer")

// memoryError is an errMemory with its reason.
type memoryError struct {
	class  memquota.Class
	reason memquota.Reason
}

func (e *memoryError) Error() string {
	return fmt.Sprintf("%v: %v: %s", errMemory, e.class, e.reason)
}

func (e *memoryError) Unwrap() error { return errMemory }

// memory makes the reservations of an entry. It is safe for concurrent use.
type memory struct {
	log     *logrus.Entry
	metrics gometrics.Registry

	mu    sync.Mutex
	quota *memquota.Quota
	// loggedAt is the time of the latest log line about a rejection, and unlogged counts the
	// rejections since then.
	loggedAt time.Time
	unlogged int
}

// newMemory returns a memory with a quota of the given bytes, and registers its metrics.
func newMemory(total int64, log *logrus.Entry, registry gometrics.Registry) *memory {
	m := &memory{log: log, metrics: registry, quota: memquota.New(memquota.DefaultLimits(total))}
	for c := range memquota.Classes {
		gometrics.NewRegisteredFunctionalGauge(metrics.Name("forward_memory_held", "class", c.String()), registry, func() int64 { return m.read(func(q *memquota.Quota) int64 { return q.Held(c) }) })
	}
	gometrics.NewRegisteredFunctionalGauge("forward_memory_peak", registry, func() int64 { return m.read((*memquota.Quota).Peak) })
	gometrics.NewRegisteredFunctionalGauge("forward_memory_quota", registry, func() int64 { return total })
	return m
}

// read returns a value of the quota.
func (m *memory) read(value func(*memquota.Quota) int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return value(m.quota)
}

// reserve adds bytes to a holding. It waits up to reservationWait, and returns a *memoryError
// if the bytes are not available by then, or the error of ctx.
func (m *memory) reserve(ctx context.Context, h *memquota.Holding, n int) error {
	m.mu.Lock()
	reason := m.quota.Grow(h, int64(n))
	if reason == memquota.Granted {
		m.mu.Unlock()
		return nil
	}
	w := &memquota.Waiter{Holding: h, Bytes: int64(n), Ready: make(chan struct{})}
	waits := m.quota.Wait(w)
	m.mu.Unlock()
	if waits && m.await(ctx, w) {
		return nil
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	m.reject(h, reason)
	return &memoryError{h.Class, reason}
}

// await reports whether a waiter is granted in time.
func (m *memory) await(ctx context.Context, w *memquota.Waiter) bool {
	timer := time.NewTimer(reservationWait)
	defer timer.Stop()
	select {
	case <-w.Ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.quota.Cancel(w)
}

// release takes bytes from a holding.
func (m *memory) release(h *memquota.Holding, n int64) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	granted := m.quota.Shrink(h, n)
	m.mu.Unlock()
	for _, w := range granted {
		close(w.Ready)
	}
}

// releaseAll empties some holdings.
func (m *memory) releaseAll(holdings ...*memquota.Holding) {
	for _, h := range holdings {
		m.release(h, h.Bytes())
	}
}

// reject counts a rejection, and writes a log line for the first one in memoryLogInterval.
func (m *memory) reject(h *memquota.Holding, reason memquota.Reason) {
	gometrics.GetOrRegisterCounter(metrics.Name("forward_memory_rejected", "class", h.Class.String(), "reason", string(reason)), m.metrics).Inc(1)
	m.mu.Lock()
	m.unlogged++
	unlogged, total := m.unlogged, m.quota.Total()
	isDue := time.Since(m.loggedAt) >= memoryLogInterval
	if isDue {
		m.loggedAt, m.unlogged = time.Now(), 0
	}
	m.mu.Unlock()
	if isDue {
		m.log.WithFields(logrus.Fields{
			"event": "memory_rejected", "class": h.Class.String(), "reason": string(reason), "caller": h.Caller, "target": h.Target,
			"held": total, "quota": m.quota.Limits().Total, "rejections": unlogged,
		}).Warn("no memory for bytes to buffer")
	}
}

// ReservePeer reserves memory for a message of another VM. release must be called once the
// message has been decoded.
func (e *Entry) ReservePeer(ctx context.Context, n int) (release func(), err error) {
	h := &memquota.Holding{Class: memquota.PeerMessages}
	if err := e.memory.reserve(ctx, h, n); err != nil {
		return nil, err
	}
	return func() { e.memory.releaseAll(h) }, nil
}

// holdings are the bytes that one request holds.
type holdings struct {
	// exchange is exchangeBytes, and request the body of the request.
	exchange, request memquota.Holding
	// response is the response of the granted target, or of the entry that the request was
	// relayed to. stream is the event of the response that is being read.
	response, stream memquota.Holding
	// history is the history of the program, with the output of this turn.
	history memquota.Holding
}

// initHoldings names the classes and the owner of the holdings.
func (x *exchange) initHoldings() {
	caller := x.request.RemoteAddr
	if colon := strings.LastIndexByte(caller, ':'); colon >= 0 {
		caller = caller[:colon]
	}
	h := &x.held
	h.exchange = memquota.Holding{Class: memquota.ResponseBodies, Caller: caller}
	h.request = memquota.Holding{Class: memquota.RequestBodies, Caller: caller}
	h.response = memquota.Holding{Class: memquota.ResponseBodies, Caller: caller}
	h.stream = memquota.Holding{Class: memquota.StreamEvents, Caller: caller}
	h.history = memquota.Holding{Class: memquota.PeerMessages, Caller: caller}
	if x.offer != nil {
		h.request.Class = memquota.Relays
	}
}

// releaseHoldings releases all that the request holds. It is called when the request ends, also
// by a panic.
func (x *exchange) releaseHoldings() {
	h := &x.held
	x.entry.memory.releaseAll(&h.stream, &h.response, &h.history, &h.request, &h.exchange)
}

// expectResponse prepares the holdings for the response of a target, or of another entry if
// target is empty. Those of an earlier response are released.
func (x *exchange) expectResponse(target string) {
	response, stream := &x.held.response, &x.held.stream
	x.entry.memory.releaseAll(stream, response)
	response.Target, stream.Target = target, target
	if target == "" {
		response.Class, stream.Class = memquota.Relays, memquota.Relays
	}
}

// reserveResponse adds bytes to the holding of the response.
func (x *exchange) reserveResponse(n int) error {
	return x.entry.memory.reserve(x.ctx, &x.held.response, n)
}

// reserveEvent adds bytes to the holding of the event that is being read.
func (x *exchange) reserveEvent(n int) error {
	return x.entry.memory.reserve(x.ctx, &x.held.stream, n)
}

// releaseEvent releases the event that has been written.
func (x *exchange) releaseEvent() { x.entry.memory.releaseAll(&x.held.stream) }

// reserveHistory adds bytes to the holding of the history.
func (x *exchange) reserveHistory(n int) error {
	return x.entry.memory.reserve(x.ctx, &x.held.history, n)
}

// lostResult returns the result of a response that could not be read. A lack of memory that the
// target has not caused does not count against it.
func lostResult(err error) dispatch.Result {
	var lack *memoryError
	if errors.As(err, &lack) && lack.reason != memquota.TargetShare {
		return dispatch.Abandoned
	}
	return dispatch.Broken
}

// countClosed counts the connection to a target that is closed because its response exceeds a
// limit.
func (x *exchange) countClosed(err error) {
	reason := ""
	switch {
	case errors.Is(err, errMemory):
		reason = reasonMemory
	case errors.Is(err, errBodyTooLarge):
		reason = "body_too_large"
	case errors.Is(err, errHeadTooLarge):
		reason = "head_too_large"
	case errors.Is(err, errEventTooLarge):
		reason = "event_too_large"
	default:
		return
	}
	x.entry.countClosed("target", reason)
}

// countClosed counts a connection that this entry closes. peer is "target" or "caller".
func (e *Entry) countClosed(peer, reason string) {
	gometrics.GetOrRegisterCounter(metrics.Name("forward_connections_closed", "peer", peer, "reason", reason), e.options.Metrics).Inc(1)
}

// reserveRequest makes the reservation that each request needs. It returns false, after
// responding to the caller, if there is no memory.
func (x *exchange) reserveRequest() bool {
	if err := x.entry.memory.reserve(x.request.Context(), &x.held.exchange, exchangeBytes); err != nil {
		return x.respondError(http.StatusServiceUnavailable, reasonMemory, unavailableRetryAfter)
	}
	return true
}
