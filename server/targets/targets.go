// Package targets is an entry's adapter for targets. It receives announcements
// and cache events over HTTP, forwards them to the entries that watch the
// target, gives orders to the targets whose shards this VM owns, and answers
// which targets may get a request.
//
// The decisions are made in coord/target; this package owns the lock, the
// clock, HTTP and RPC. RPC methods: targets.forward carries announcements and
// cache events, targets.order gives one order, targets.release frees programs.
package targets

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/rpc"
)

const (
	// tickInterval is the resolution of leases, order deadlines and retries.
	tickInterval = 100 * time.Millisecond
	// forwardInterval keeps an announcement on its way to the watchers below 500 ms.
	forwardInterval = 200 * time.Millisecond
	// releaseInterval is how often an unconfirmed release is repeated to the owner.
	releaseInterval = 500 * time.Millisecond
	// rpcTimeout bounds one call to another entry.
	rpcTimeout = time.Second
)

// FleetView is the part of the configuration that this package reads;
// *fleet.State implements it.
type FleetView interface {
	// Revision changes with every change of the configuration.
	Revision() uint64
	// Shards is the number of shards; 0 before the deployment is configured.
	Shards() int
	// VMs lists all registered VMs.
	VMs() []fleet.VM
	// Assignment returns who holds a shard.
	Assignment(shard int) (fleet.Assignment, bool)
	// TargetDrains lists the targets that are excluded from new work.
	TargetDrains() []fleet.TargetDrain
}

// Options connect the adapter to the rest of the VM.
type Options struct {
	// Self is this VM.
	Self fleet.VMRef
	// Pool reaches the other entries.
	Pool *rpc.Pool
	// State returns the current configuration, or the nil interface before the
	// first one is known. State and Owns are called with the adapter's lock held:
	// they must not call its methods.
	State func() FleetView
	// ShardOf is fleet.ShardOf.
	ShardOf func(shards int, organisation, program string) int
	// Owns returns the epoch under which this VM owns a shard now, by a valid lease.
	Owns func(shard int) (epoch uint64, ok bool)
	// Networks are those in which targets run; messages from elsewhere are refused.
	// None means that every sender is accepted, callers included.
	Networks []netip.Prefix
	// Log receives one line for each change of a target.
	Log *logrus.Entry
	// Metrics receives the counters; nil means none.
	Metrics gometrics.Registry
}

// Targets is the adapter. Its methods are safe for concurrent use.
type Targets struct {
	options Options
	log     *logrus.Entry
	started time.Time
	client  *http.Client
	metrics counters
	inbox   releaseInbox

	mu       sync.Mutex
	registry *target.Registry
	book     *target.OrderManager
	topology topology
	outbox   outbox
	// waiters receive the end of the orders that this VM was asked to give.
	waiters map[string]chan error
	// releases are those that Release was called for, until their owner confirms them.
	releases map[releaseKey]*pendingRelease
	// pendingOf counts the pending releases of each program.
	pendingOf map[string]int
	// asked are the programs that EnsureReleased was called for.
	asked map[string]*askedRelease
	// effects are carried out by the goroutines of Run.
	effects chan effect
}

// New returns an adapter without targets; Run makes it work.
func New(o Options) *Targets {
	if o.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(silent)
	}
	t := &Targets{
		options: o, log: o.Log, started: time.Now(), client: newOrderClient(), metrics: newCounters(o.Metrics),
		registry: target.NewRegistry(), book: target.NewOrderManager(), outbox: newOutbox(),
		waiters: make(map[string]chan error), releases: make(map[releaseKey]*pendingRelease),
		pendingOf: make(map[string]int), asked: make(map[string]*askedRelease),
		effects: make(chan effect, effectQueue),
	}
	return t
}

// Register adds the RPC methods that other entries call.
func (t *Targets) Register(s *rpc.Server) {
	s.Handle(methodForward, t.handleForward)
	s.Handle(methodOrder, t.handleOrder)
	s.Handle(methodRelease, t.handleRelease)
}

// Mount adds the HTTP routes that targets call.
func (t *Targets) Mount(r *mux.Router) {
	r.HandleFunc("/v1/targets/announce", t.fromTarget(t.handleAnnounce)).Methods(http.MethodPost)
	r.HandleFunc("/v1/targets/{id}/cache-events", t.fromTarget(t.handleCacheEvents)).Methods(http.MethodPost)
}

// Run forwards, gives orders and lets leases lapse until ctx ends.
func (t *Targets) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { periodic.Every(ctx, tickInterval, t.tick); return nil })
	g.Go(func() error { periodic.Every(ctx, forwardInterval, func() { t.flush(ctx) }); return nil })
	g.Go(func() error { periodic.Every(ctx, releaseInterval, func() { t.repeatReleases(ctx) }); return nil })
	for range effectWorkers {
		g.Go(func() error { t.work(ctx); return nil })
	}
	_ = g.Wait()
	t.client.CloseIdleConnections()
}

// now is the time on the scale of the cores.
func (t *Targets) now() time.Duration { return time.Since(t.started) }

// viewBuffers spares each request the allocation of the registry's views.
var viewBuffers = sync.Pool{New: func() any { return new([]target.View) }}

// Candidates returns the targets that may get a request now. Program may be zero.
func (t *Targets) Candidates(service, model string, ref program.Ref) []placement.Candidate {
	key := ""
	if ref.ID != "" {
		key = CacheKey(ref)
	}
	buffer := viewBuffers.Get().(*[]target.View)
	defer viewBuffers.Put(buffer)
	t.mu.Lock()
	views := t.registry.AppendCandidates((*buffer)[:0], t.now(), service, model, key)
	t.mu.Unlock()
	*buffer = views
	candidates := make([]placement.Candidate, 0, len(views))
	for i := range views {
		candidates = append(candidates, candidate(&views[i]))
	}
	return candidates
}

func candidate(v *target.View) placement.Candidate {
	return placement.Candidate{
		ID: v.ID, DataCentre: v.DataCentre, Running: v.Load.Running, Waiting: v.Load.Waiting, MaxBatch: v.Load.MaxBatch,
		Outstanding: v.Outstanding, OutstandingTokens: v.OutstandingTokens, KVUsed: v.Load.KVUsed, KVCapacity: v.Load.KVCapacity,
		CachedTokens: v.CachedTokens, CacheAge: v.CacheAge, ReportAge: v.ReportAge, TokensPerSecond: v.Load.TokensPerSecond, Suspect: v.Suspect,
	}
}

// Dispatched counts a request that was sent to the target.
func (t *Targets) Dispatched(id string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Dispatched(t.now(), id, tokens)
}

// Completed settles a dispatch, however it ended. A load from the answer, which
// may be nil, replaces the report and ends the suspicion against the target.
func (t *Targets) Completed(id string, tokens int64, load *target.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Completed(t.now(), id, tokens, load)
}

// Failed makes a target suspect for a time that doubles with each failure. The
// dispatch itself is settled by Completed.
func (t *Targets) Failed(id string) {
	t.mu.Lock()
	t.registry.Failed(t.now(), id)
	t.mu.Unlock()
	t.metrics.failures.Inc(1)
	t.log.WithFields(logrus.Fields{"event": "target_failed", "target": id}).Warn("target is suspect")
}

// Address returns where a known target is reached.
func (t *Targets) Address(id string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.registry.Find(t.now(), id)
	return v.Address, ok
}

// Views returns everything that this VM knows about targets, for operators.
func (t *Targets) Views() []target.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.All(t.now())
}

// CacheKey returns the value of the X-Hemlockvale-Program header: the program's
// name in cache events and in orders.
func CacheKey(ref program.Ref) string { return target.CacheKey(ref.Organisation, ref.ID) }

func newID() string { return uuid.NewString() }
