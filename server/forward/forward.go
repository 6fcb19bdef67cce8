// Package forward is the entry role for callers that speak plain HTTP: it
// selects the route, authenticates the key, has the request admitted by the
// ledger's leader, and forwards it to the granted target.
//
// Invariants:
//   - a request that is not repeatable is sent to a target at most once, unless
//     the target said that it did not run it;
//   - "not run" statuses (429, 503) are answered only if that is certain; an
//     unknown outcome is answered 502 or 504, or by closing the connection;
//   - a caller gets a success only with the complete body of one target;
//   - of a stream, only whole events are passed on, in order and once;
//   - no event of a turn is passed on before its reservation is durable.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/registry"
)

const (
	// defaultTimeLeft applies to callers that do not say how long they wait.
	defaultTimeLeft = 30 * time.Second
	// maxPlaces bounds how often one request is placed, together with the route's limit.
	maxPlaces = 6
	// unavailableRetryAfter is for requests that could not be admitted.
	unavailableRetryAfter = 300 * time.Millisecond
	// maxAnswerBytes bounds a buffered answer.
	maxAnswerBytes = 16 << 20
	// firstViewWait bounds the wait for the first configuration, firstViewPoll is the time between two looks.
	firstViewWait = 300 * time.Millisecond
	firstViewPoll = 10 * time.Millisecond
	// sweepInterval is the time between two looks for old connections.
	sweepInterval = time.Second
	// defaultMaxBody bounds a body where the configuration does not.
	defaultMaxBody = 8 << 20
)

// Ledger admits requests and hears how they ended. *ledger.Client implements it.
type Ledger interface {
	// Admit returns a target, a refusal, or an error if neither was to be had; the request has not run then.
	Admit(ctx context.Context, r ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error)
	// Confirm returns nil once the turn's reservation is durable.
	Confirm(ctx context.Context, r ledger.Reserve) error
	// Done reports an end; it never blocks.
	Done(e ledgerhost.DoneReport)
}

// Options configure an entry.
type Options struct {
	// View returns the newest catalog.
	View func() *registry.View
	// Current says whether control has answered lately.
	Current func() bool
	// Age is the time since control answered.
	Age func() time.Duration
	// Ledger admits requests.
	Ledger Ledger
	// Wire translates headers.
	Wire Wire
	// DataCentre is where this VM runs.
	DataCentre string
	// Log receives one line for each request.
	Log *logrus.Entry
	// Metrics receives counters and latencies.
	Metrics gometrics.Registry
}

// Entry forwards requests; it is an http.Handler.
type Entry struct {
	o           Options
	connections *connections
	active      atomic.Int64
}

// New returns an entry; Run performs its duties.
func New(o Options) *Entry {
	e := &Entry{o: o, connections: newConnections()}
	gometrics.NewRegisteredFunctionalGauge("forward_active", o.Metrics, e.active.Load)
	gometrics.NewRegisteredFunctionalGauge("forward_connections_opened", o.Metrics, e.connections.opened.Load)
	return e
}

// Run closes idle connections until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	periodic.Every(ctx, sweepInterval, func() {
		view := e.o.View()
		e.connections.sweep(func(id string) bool { _, ok := view.Target(id); return ok })
	})
}

// Active returns the number of requests under way.
func (e *Entry) Active() int64 { return e.active.Load() }

// exchange is one request under way.
type exchange struct {
	entry  *Entry
	view   *registry.View
	call   Call
	route  *routing.Route
	org    *routing.Organisation
	write  http.ResponseWriter
	read   *http.Request
	body   []byte
	ctx    context.Context
	began  time.Duration
	until  time.Duration
	record record

	service *routing.Service
	reserve *ledger.Reserve
	// confirmed receives the outcome of the reservation; nil without one or once it was received.
	confirmed chan error
	attempt   int
	excluded  []string
	// sent is set once a target may have begun to run the request.
	sent bool
	// events is how many events of a stream the caller has; last is the newest id.
	events  int64
	last    string
	started bool
}

// ServeHTTP answers one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	x := &exchange{entry: e, view: e.firstView(r.Context()), write: w, read: r, began: bootclock.Now()}
	defer x.finish()
	if !x.accept() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.left())
	defer cancel()
	x.ctx = ctx
	x.run()
}

// firstView returns the view; a process that has just started waits a little
// for the first configuration, which is a few round trips away.
func (e *Entry) firstView(ctx context.Context) *registry.View {
	view := e.o.View()
	for waited := time.Duration(0); view.Table == nil && waited < firstViewWait && ctx.Err() == nil; waited += firstViewPoll {
		time.Sleep(firstViewPoll)
		view = e.o.View()
	}
	return view
}

// accept decides whether the request may run at all, and answers it if not.
func (x *exchange) accept() bool {
	table := x.view.Table
	if table == nil {
		return x.refuse(http.StatusServiceUnavailable, "no_configuration", unavailableRetryAfter)
	}
	var err error
	if x.call, err = x.entry.o.Wire.DecodeCall(x.read.Header); err != nil {
		return x.refuse(http.StatusBadRequest, "bad_request", 0)
	}
	path, _, _ := strings.Cut(x.read.RequestURI, "?")
	x.route = table.Match(hostname(x.read.Host), path)
	if x.route == nil {
		return x.deny(http.StatusNotFound, "no_route")
	}
	if table.RequiresKey(x.route) {
		if x.org = table.Authenticate(x.call.Key); x.org == nil {
			return x.deny(http.StatusUnauthorized, "unknown_key")
		}
	}
	left := x.call.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	x.until = x.began + min(left, x.route.Timeout())
	x.service = table.Service(x.route.ChooseService(rand.Float64()))
	if x.service == nil {
		return x.refuse(http.StatusServiceUnavailable, "no_service", unavailableRetryAfter)
	}
	x.reserve = x.reservation()
	return x.readBody(table.Configuration.Limits)
}

// deny refuses for good, but only if the configuration is known to be current.
func (x *exchange) deny(status int, reason string) bool {
	if !x.entry.o.Current() {
		return x.refuse(http.StatusServiceUnavailable, "stale_configuration", unavailableRetryAfter)
	}
	return x.refuse(status, reason, 0)
}

func hostname(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		return host[:at]
	}
	return host
}

// reservation returns what the turn reserves of its program's budget, or nil.
func (x *exchange) reservation() *ledger.Reserve {
	if x.call.Program == "" || x.call.TokenBudget <= 0 || x.route.Kind != routing.Streaming {
		return nil
	}
	p := ledger.Program{ID: x.call.Program}
	if x.org != nil {
		p.Organisation = x.org.Name
	}
	return &ledger.Reserve{Program: p, Request: x.call.ID, Budget: x.call.TokenBudget, Tokens: x.call.OutputTokens, RetentionSeconds: int64(x.route.RetentionSeconds + 0.5)}
}

func (x *exchange) readBody(l routing.Limits) bool {
	limit := l.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if l.MaxHeaderBytes > 0 && headerBytes(x.read.Header) > l.MaxHeaderBytes {
		return x.refuse(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
	}
	if x.read.ContentLength > limit {
		return x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.write, x.read.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	if err != nil {
		return x.refuse(http.StatusBadRequest, "body_incomplete", 0)
	}
	x.body = body
	return true
}

func headerBytes(h http.Header) int64 {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(total)
}

// left returns how much of the caller's time and the route's timeout remains.
func (x *exchange) left() time.Duration { return x.until - bootclock.Now() }

// refuse answers without a target. It returns false for the convenience of accept.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) bool {
	x.record.status, x.record.reason = status, reason
	h := x.write.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.write.WriteHeader(status)
	// A failed write means that the caller has left; its request has ended anyway.
	_, _ = fmt.Fprintln(x.write, reason)
	return false
}

// run places the request until it has an answer.
func (x *exchange) run() {
	for {
		grant, ok := x.admit()
		if !ok {
			return
		}
		again := x.forward(grant)
		if !again {
			return
		}
		x.attempt++
		if x.attempt >= maxPlaces || x.left() <= 0 {
			x.giveUp()
			return
		}
	}
}

// giveUp answers a request that no target has run, or whose outcome is unknown.
func (x *exchange) giveUp() {
	switch {
	case x.started:
		x.abort("stream_broken")
	case x.sent && x.left() <= 0:
		x.refuse(http.StatusGatewayTimeout, "target_timeout", 0)
	case x.sent:
		x.refuse(http.StatusBadGateway, "answer_lost", 0)
	default:
		x.refuse(http.StatusServiceUnavailable, "no_target", unavailableRetryAfter)
	}
}

// abort closes the caller's connection, so that the answer is seen to be incomplete.
func (x *exchange) abort(reason string) {
	x.record.reason, x.record.aborted = reason, true
}
