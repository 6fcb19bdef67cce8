// Package forward implements the entry role for callers that use plain HTTP. It
// selects the route, authenticates the key, requests admission from the ledger's
// leader, and forwards the request to the granted target.
//
// Invariants:
//   - A request that is not repeatable is sent to at most one target, unless the
//     target states that it did not run the request.
//   - The statuses that mean "not run" (429, 503) are returned only if that is
//     certain. For an unknown outcome, the caller gets 502 or 504, or its
//     connection is closed.
//   - A caller gets a successful response only with the complete body of one target, and an
//     incomplete response never looks complete.
//   - Of a stream, only whole events are relayed, in order and once each.
//   - No event of a request with a reservation is relayed before the reservation is
//     durable.
//   - The end of a turn on a route that keeps histories is sent only once the turn is
//     stored on enough disks.
//   - The bytes that are buffered on behalf of others are reserved before they are read, and
//     released when the request ends at the latest.
package forward

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/memquota"
	"hemlockvale.dev/server/bootclock"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/relay"
)

const (
	// defaultTimeLeft is the time limit of a request whose caller states none.
	defaultTimeLeft = 30 * time.Second
	// maxPlacements bounds how often one request is placed at a target, in addition
	// to the route's limit.
	maxPlacements = 6
	// unavailableRetryAfter is the Retry-After value of requests that could not be
	// admitted.
	unavailableRetryAfter = 300 * time.Millisecond
	// reasonAnswerLost is the reason of a request that a target may have run.
	reasonAnswerLost = "answer_lost"
	// maxResponseBytes bounds the body of a buffered response.
	maxResponseBytes = 8 << 20
	// firstViewTimeout bounds the wait for the first configuration after the start of
	// the process, and firstViewPollInterval is the time between two checks.
	firstViewTimeout      = 300 * time.Millisecond
	firstViewPollInterval = 10 * time.Millisecond
	// cleanupInterval is the time between two checks for expired idle connections.
	cleanupInterval = time.Second
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
)

// Ledger admits requests and receives done reports. *ledger.Client implements it.
type Ledger interface {
	// Admit returns a target or a refusal. It returns an error if the ledger gave
	// neither; the request has not run in that case.
	Admit(ctx context.Context, r ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error)
	// Confirm returns nil once the reservation is durable.
	Confirm(ctx context.Context, r ledger.Reserve) error
	// Done queues a done report for the ledger. It never blocks.
	Done(r ledgerhost.DoneReport)
	// ObserveRate records what a target's response says about the target's rate limit.
	ObserveRate(o ledgerhost.RateObservation)
	// ReportLeaving records that a target has stated that it leaves.
	ReportLeaving(i catalog.Incarnation)
	// ReportCold records that a target has stated that it is cold.
	ReportCold(s ledgerhost.ColdStatement)
	// ReportLoss records that the response to a request was lost.
	ReportLoss(r ledgerhost.LossReport)
	// ReportBreak records that a connection to a target failed while it served a request that
	// was granted at the time grantedAt of the boot clock.
	ReportBreak(i catalog.Incarnation, grantedAt time.Duration)
	// InDoubt reports whether a connection to a target failed, and nothing has shown since that
	// its process is the same.
	InDoubt(i catalog.Incarnation) bool
	// ReportServing records that a target responds on a connection that was opened at the time
	// openedAt, to what it was sent at the time aliveAt or later.
	ReportServing(i catalog.Incarnation, openedAt, aliveAt time.Duration)
	// Stored tells the ledger, without waiting, that storages have the record of a turn.
	Stored(t history.Turn, holders []string)
	// Keep returns nil once the directory of histories durably has the holders of a turn.
	Keep(ctx context.Context, k history.Keep) error
}

// Options holds the configuration and the dependencies of an Entry.
type Options struct {
	// View returns the latest configuration and the known targets.
	View func() *registry.View
	// Current reports whether the control role has responded recently, so that the
	// view is up to date.
	Current func() bool
	// Age returns the time since the control role last responded.
	Age func() time.Duration
	// Ledger admits requests and receives done reports.
	Ledger Ledger
	// Histories reads and writes the histories of programs.
	Histories Histories
	// HistoryStores returns the store VMs that serve histories.
	HistoryStores func() []history.Store
	// HistoryCopies is the number of store VMs that hold each history.
	HistoryCopies int
	// HeaderCodec translates the headers of callers and targets.
	HeaderCodec HeaderCodec
	// DataCentre is the data centre of this VM, and Address its RPC address.
	DataCentre, Address string
	// Connect makes a TCP connection to a target; nil for the default.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Entries returns the number of entries of the deployment, 0 if unknown; the function may be
	// nil.
	Entries func() int
	// Peers returns the RPC addresses of entries that can reach targets; nil if requests are
	// never relayed.
	Peers func(ctx context.Context) ([]string, error)
	// Stop returns the planned stop that has begun; nil if there is none. The function may be
	// nil.
	Stop func() *Stop
	// OnIsolation is called, in order, when this VM has lost the links to all targets, and when
	// it has them back. It must not block; it may be nil.
	OnIsolation func(isolated bool)
	// MemoryQuota bounds the bytes that are buffered on behalf of others; 0 for the default.
	MemoryQuota int64
	// StallTimeout is how long a caller may leave a response unread; 0 for the default.
	StallTimeout time.Duration
	// Log receives one line for each request.
	Log *logrus.Entry
	// Metrics receives request counters and latencies.
	Metrics gometrics.Registry
}

// Entry is an http.Handler that forwards requests to targets.
type Entry struct {
	options Options
	pool    *connPool
	paths   *paths
	memory  *memory
	peers   peers
	leaving leavingTargets
	sends   sendCounters
	active  atomic.Int64
	// ending ends when requests in progress must end; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc
	// relayed counts the requests in progress that other entries have passed on, and offers
	// those that this one has offered to others so far.
	relayed, offers atomic.Int64
}

// New returns an entry. Run must be called to close its expired idle connections.
func New(options Options) *Entry {
	e := &Entry{options: options}
	e.pool = newConnPool(options.Connect, e.maxIdle)
	e.paths = newPaths(e)
	e.memory = newMemory(cmp.Or(options.MemoryQuota, memquota.Total(0)), options.Log, options.Metrics)
	e.ending, e.endRequests = context.WithCancel(context.Background())
	gometrics.NewRegisteredFunctionalGauge("forward_active", options.Metrics, e.active.Load)
	gometrics.NewRegisteredFunctionalGauge("forward_connections_opened", options.Metrics, e.pool.opened.Load)
	gometrics.NewRegisteredFunctionalGauge("forward_connections_reused", options.Metrics, e.pool.reused.Load)
	return e
}

// Run closes expired idle connections until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	periodic.Every(ctx, cleanupInterval, func() {
		view := e.options.View()
		e.pool.closeExpired(func(id string) bool { _, ok := view.Target(id); return ok })
		e.leaving.expire(func(i catalog.Incarnation) bool { t, ok := view.Target(i.Target); return ok && t.Incarnation() == i })
	})
}

// maxIdle returns how many idle connections to a target this entry may keep: its share of
// what the requests in progress at the target leave of the target's limit.
func (e *Entry) maxIdle(target string) int {
	view := e.options.View()
	t, ok := view.Target(target)
	if !ok || view.Table == nil || e.options.Entries == nil {
		return dispatch.MaxIdleConnections
	}
	service, entries := view.Table.Service(t.Service), e.options.Entries()
	if service == nil || service.MaxConnections == 0 || entries == 0 {
		return dispatch.MaxIdleConnections
	}
	// A target holds up to twice as many requests as it has slots. With a share below one, the
	// ledger's leader avoids targets that have as many connections as they accept.
	left := service.MaxConnections - 2*max(t.Slots, 1)
	return min(max(left/entries, 1), dispatch.MaxIdleConnections)
}

// Active returns the number of requests in progress.
func (e *Entry) Active() int64 { return e.active.Load() }

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	x := &exchange{entry: e, view: e.awaitView(r.Context()), writer: w, request: r, startedAt: bootclock.Now(), offer: relay.OfferFrom(r.Context())}
	if x.offer != nil {
		e.relayed.Add(1)
		defer e.relayed.Add(-1)
		x.startedAt -= x.offer.Elapsed
		x.attempt, x.mayHaveRun = x.offer.Attempt, x.offer.Runs > 0
	}
	x.initHoldings()
	defer x.releaseHoldings()
	defer x.finish()
	if !x.prepare() || !x.awaitHistoryStores() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.timeLeft())
	defer cancel()
	defer context.AfterFunc(e.ending, cancel)()
	x.ctx = ctx
	x.run()
}

// awaitView returns the current view. In a process that has just started, it waits
// up to firstViewTimeout for the first configuration, which takes a few round trips
// to arrive.
func (e *Entry) awaitView(ctx context.Context) *registry.View {
	view := e.options.View()
	for waited := time.Duration(0); view.Table == nil && waited < firstViewTimeout && ctx.Err() == nil; waited += firstViewPollInterval {
		time.Sleep(firstViewPollInterval)
		view = e.options.View()
	}
	return view
}

// timeLeft returns the time until the caller's deadline or the route's timeout,
// whichever is earlier.
func (x *exchange) timeLeft() time.Duration { return x.deadline - bootclock.Now() }

// respondError sends the caller an error status of this entry, with the reason as the
// body. A retryAfter of 0 omits the Retry-After header. If a target may have run the request,
// a status that denies it is replaced. The result is always false, so that prepare can return
// it.
func (x *exchange) respondError(status int, reason string, retryAfter time.Duration) bool {
	if x.mayHaveRun && deniesRun(status) {
		x.entry.options.Log.WithFields(logrus.Fields{"event": "refusal_withheld", "request": x.call.ID, "status": status, "reason": reason}).Info("a target may have run a request that is refused now")
		status, reason, retryAfter = http.StatusBadGateway, reasonAnswerLost, 0
	}
	x.record.status, x.record.reason = status, reason
	h := x.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.writer.WriteHeader(status)
	// A failed write means that the caller has disconnected; its request ends anyway.
	_, _ = fmt.Fprintln(x.writer, reason)
	return false
}

// deniesRun reports whether an error status of an entry says that no target has run the
// request.
func deniesRun(status int) bool {
	return status != http.StatusBadGateway && status != http.StatusGatewayTimeout
}

// run requests admission and forwards the request, again at another target after a
// failure, until the caller has a response. If this VM has lost its links, another entry
// does so.
func (x *exchange) run() {
	for placements := 1; ; placements++ {
		if !x.ignorePaths && x.entry.paths.isolated() {
			if x.relay() {
				return
			}
			x.ignorePaths = true
		}
		if !x.mayPlace() {
			// Another entry passed the request on after as many targets as allowed.
			x.settle()
			x.failRequest()
			return
		}
		grant, ok := x.admit()
		if !ok {
			return
		}
		retry := x.forward(grant)
		if !retry {
			return
		}
		x.attempt++
		x.entry.paths.awaitSurvey(x.ctx)
		if placements < maxPlacements && x.timeLeft() > 0 {
			continue
		}
		if x.cannotConnect() && x.relay() {
			return
		}
		x.settle()
		x.failRequest()
		return
	}
}

// cannotConnect reports whether the latest target could not be reached, while other entries
// may be able to.
func (x *exchange) cannotConnect() bool {
	outcomes := x.record.outcomes
	return !x.ignorePaths && x.timeLeft() > 0 && len(outcomes) > 0 && outcomes[len(outcomes)-1].result == dispatch.Unreachable
}

// failRequest ends a request that no target has run or whose outcome is unknown. The
// status tells the caller which of the two is the case. If a part of a response has been
// sent, it aborts the response.
func (x *exchange) failRequest() {
	switch {
	case x.responseStarted:
		x.abort("stream_broken")
	case x.mayHaveRun && x.timeLeft() <= 0:
		x.respondError(http.StatusGatewayTimeout, "target_timeout", 0)
	case x.mayHaveRun:
		x.respondError(http.StatusBadGateway, reasonAnswerLost, 0)
	default:
		x.respondError(http.StatusServiceUnavailable, "no_target", unavailableRetryAfter)
	}
}
