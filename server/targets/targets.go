// Package targets connects an entry VM to the targets. It receives announcements and
// cache events over HTTP, forwards them to the entries that watch the target, sends
// orders to the targets whose shards this VM owns, and lists the targets that may
// receive a request.
//
// The logic is in the state machines of coord/target; this package adds locking, the
// clock, HTTP and RPC. The RPC method targets.forward carries announcements and cache
// events, targets.order submits one order, and targets.release releases the engine
// memory of programs.
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
	// tickInterval is the interval at which leases, order deadlines and retries are
	// checked.
	tickInterval = 100 * time.Millisecond
	// forwardInterval is the interval at which queued messages are forwarded. It
	// keeps the delay until an announcement reaches the watchers below 500 ms.
	forwardInterval = 200 * time.Millisecond
	// releaseInterval is the interval at which an unconfirmed release is retried.
	releaseInterval = 500 * time.Millisecond
	// rpcTimeout bounds one RPC for forwarding or releases.
	rpcTimeout = time.Second
)

// FleetView is the part of the configuration that this package reads. *fleet.State
// implements it.
type FleetView interface {
	// Revision returns the revision, which changes with every change of the configuration.
	Revision() uint64
	// Shards returns the number of shards, which is 0 until the deployment is configured.
	Shards() int
	// VMs returns all registered VMs.
	VMs() []fleet.VM
	// Assignment returns the assignment of a shard and whether the shard is assigned.
	Assignment(shard int) (fleet.Assignment, bool)
	// TargetDrains returns the drains of targets. A draining target gets no new work.
	TargetDrains() []fleet.TargetDrain
}

// Options configure a Targets.
type Options struct {
	// Self identifies this VM and its incarnation.
	Self fleet.VMRef
	// Pool holds the connections for RPCs to other VMs.
	Pool *rpc.Pool
	// State returns the current configuration, or a nil interface until the first one
	// is known. State and OwnedEpoch are called while Targets holds its lock, so they
	// must not call methods of Targets.
	State func() FleetView
	// ShardOf maps a target to the shard that its orders belong to. A deployment sets
	// it to fleet.ShardOf. The organisation is empty and the target's id is passed as
	// the program.
	ShardOf func(shards int, organisation, program string) int
	// OwnedEpoch returns the epoch under which this VM owns a shard. The result ok is
	// false if the VM does not own the shard or its lease has expired.
	OwnedEpoch func(shard int) (epoch uint64, ok bool)
	// Networks are the networks in which targets run. Messages from other addresses
	// are refused. If it is empty, every sender is accepted, including callers.
	Networks []netip.Prefix
	// Log receives the changes of targets and the failures; nil disables logging.
	Log *logrus.Entry
	// Metrics is the registry for counters and gauges; nil selects a private one.
	Metrics gometrics.Registry
}

// Targets holds the state of the known targets and their orders. Its methods are
// safe for concurrent use.
type Targets struct {
	options   Options
	log       *logrus.Entry
	start     time.Time
	client    *http.Client
	metrics   targetMetrics
	requested requestedReleases

	mu            sync.Mutex // guards the fields below, except effects
	registry      *target.Registry
	orders        *target.OrderManager
	topology      topology
	forwardQueues forwardQueues
	// waiters receive the results of the orders submitted to this VM, by order id.
	waiters map[string]chan error
	// pendingReleases holds the requested releases until the owners of the targets'
	// shards confirm them.
	pendingReleases map[releaseKey]*pendingRelease
	// pendingCount is the number of pending releases by program.
	pendingCount map[string]int
	// ensured holds the programs that EnsureReleased was called for.
	ensured map[string]*ensuredRelease
	// effects queues the orders and state reads for the workers.
	effects chan effect
}

// New returns a Targets that knows no targets. Its background work starts with Run.
func New(o Options) *Targets {
	if o.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(silent)
	}
	t := &Targets{
		options: o, log: o.Log, start: time.Now(), client: newOrderClient(), metrics: newTargetMetrics(o.Metrics),
		registry: target.NewRegistry(), orders: target.NewOrderManager(), forwardQueues: newForwardQueues(),
		waiters: make(map[string]chan error), pendingReleases: make(map[releaseKey]*pendingRelease),
		pendingCount: make(map[string]int), ensured: make(map[string]*ensuredRelease),
		effects: make(chan effect, effectQueueSize),
	}
	return t
}

// Register adds the RPC methods that other entries call to the server.
func (t *Targets) Register(s *rpc.Server) {
	s.Handle(methodForward, t.handleForward)
	s.Handle(methodOrder, t.handleOrder)
	s.Handle(methodRelease, t.handleRelease)
}

// Mount adds the HTTP routes that targets call to the router.
func (t *Targets) Mount(r *mux.Router) {
	r.HandleFunc("/v1/targets/announce", t.requireTargetNetwork(t.handleAnnounce)).Methods(http.MethodPost)
	r.HandleFunc("/v1/targets/{id}/cache-events", t.requireTargetNetwork(t.handleCacheEvents)).Methods(http.MethodPost)
}

// Run forwards messages, sends orders, retries releases and ends expired leases until
// ctx ends.
func (t *Targets) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { periodic.Every(ctx, tickInterval, t.tick); return nil })
	g.Go(func() error { periodic.Every(ctx, forwardInterval, func() { t.flush(ctx) }); return nil })
	g.Go(func() error { periodic.Every(ctx, releaseInterval, func() { t.sendPendingReleases(ctx) }); return nil })
	for range effectWorkers {
		g.Go(func() error { t.runWorker(ctx); return nil })
	}
	_ = g.Wait()
	t.client.CloseIdleConnections()
}

// now returns the monotonic time since t was created, which is the clock of the state
// machines.
func (t *Targets) now() time.Duration { return time.Since(t.start) }

// viewBuffers reuses the slices for the registry's views, to save an allocation per
// request.
var viewBuffers = sync.Pool{New: func() any { return new([]target.View) }}

// Candidates returns the targets of the service that may receive a request for the
// model. If ref.ID is not empty, they include how many tokens of the program each
// target has cached.
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

// candidate converts a view of a target to a candidate for placement.
func candidate(v *target.View) placement.Candidate {
	return placement.Candidate{
		ID: v.ID, DataCentre: v.DataCentre, Running: v.Load.Running, Waiting: v.Load.Waiting, MaxBatch: v.Load.MaxBatch,
		Outstanding: v.Outstanding, OutstandingTokens: v.OutstandingTokens, KVUsed: v.Load.KVUsed, KVCapacity: v.Load.KVCapacity,
		CachedTokens: v.CachedTokens, CacheAge: v.CacheAge, ReportAge: v.ReportAge, TokensPerSecond: v.Load.TokensPerSecond, Suspect: v.Suspect,
	}
}

// Dispatched records that a request of the given number of tokens was sent to the
// target.
func (t *Targets) Dispatched(id string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Dispatched(t.now(), id, tokens)
}

// Completed records that a dispatched request has ended, with any result. A load from
// the response, which may be nil, replaces the reported load, and the target is no
// longer suspect.
func (t *Targets) Completed(id string, tokens int64, load *target.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Completed(t.now(), id, tokens, load)
}

// Failed marks a target as suspect for a time that doubles with each failure. The
// caller must also call Completed for the request.
func (t *Targets) Failed(id string) {
	t.mu.Lock()
	t.registry.Failed(t.now(), id)
	t.mu.Unlock()
	t.metrics.targetFailures.Inc(1)
	t.log.WithFields(logrus.Fields{"event": "target_failed", "target": id}).Warn("target is suspect")
}

// Address returns the address of a target and whether the target is known.
func (t *Targets) Address(id string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.registry.Find(t.now(), id)
	return v.Address, ok
}

// Views returns the views of all known targets, for operators.
func (t *Targets) Views() []target.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.All(t.now())
}

// CacheKey returns the name of the program in cache events, in orders and in the
// X-Hemlockvale-Program header.
func CacheKey(ref program.Ref) string { return target.CacheKey(ref.Organisation, ref.ID) }

func newID() string { return uuid.NewString() }
