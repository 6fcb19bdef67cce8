// Package emulator provides emulated targets for tests and demonstrations: a model
// engine and a plain service. They implement the protocol in
// docs/operations/targets.md and have the properties of real targets that matter to a
// scheduler: limited batch size and memory, load reports with a lag, cache events that
// are late and have gaps, and orders with or without fencing.
//
// Each chat response reports the usage and the load. A complete response has them in the
// fields "usage" and "load", and the load also in the X-Load header. A stream has them in
// its last chunk before [DONE], which has no choices.
package emulator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/target"
)

const (
	defaultTokensPerSecond = 100_000
	defaultDecodeInterval  = time.Millisecond
	defaultMaxBatch        = 16
	defaultKVCapacity      = 1_000_000
)

// EngineOptions configure an emulated engine. Zero values select defaults.
type EngineOptions struct {
	// ID is the target's unique name, and Service the service that it belongs to. Both are
	// announced.
	ID, Service string
	// Address is the address to listen on, as IP:port. Port 0 selects a free port.
	Address string
	// DataCentre is the announced data centre.
	DataCentre string
	// Models are the models that are loaded at the start. If there are none, requests for
	// any model are accepted.
	Models []string
	// Fencing is "enforced" or "ignored".
	Fencing string
	// Entries are the HTTP addresses of the entries to announce to.
	Entries []string
	// TokensPerSecond is the prefill speed, in tokens per second.
	TokensPerSecond float64
	// DecodeInterval is the time to generate one token.
	DecodeInterval time.Duration
	// MaxBatch is the maximum number of requests that run at once.
	MaxBatch int
	// KVCapacity is the size of the KV cache, in tokens.
	KVCapacity int64
	// LoadLag is the age of the announced load.
	LoadLag time.Duration
	// CacheEventLoss is the probability that a cache event is lost, from 0 to 1.
	CacheEventLoss float64
	// Seed seeds the random choice of lost cache events.
	Seed uint64
	// CrashOn crashes the target when the body of a chat request contains this text. An
	// empty text matches nothing.
	CrashOn string
	// OrderDelay is the time that the execution of each order takes.
	OrderDelay time.Duration
	// OrderFault selects a fault for each order; nil means no faults. It is called when
	// the order has arrived, and may block to emulate a paused process.
	OrderFault func(target.Order) OrderFault
	// StopGrace is the minimum time between the announcement of a graceful stop and the
	// end of Run. It defaults to DefaultStopGrace.
	StopGrace time.Duration
	// Log receives the engine's log messages; nil discards them.
	Log *logrus.Entry
}

// Engine is an emulated model engine.
type Engine struct {
	*targetServer
	options EngineOptions
	load    *laggedLoad
	events  *eventBuffer

	// mu guards the fields below.
	mu    sync.Mutex
	batch batch
	// requests holds the unfinished requests that have an ID, by ID.
	requests map[string]*request
	// active counts all unfinished requests.
	active int
	orders orderState
}

// NewEngine returns an engine that listens on its address. Run serves the requests.
func NewEngine(o EngineOptions) (*Engine, error) {
	o.setDefaults()
	server, err := newTargetServer(o.Address, o.StopGrace, o.Log)
	if err != nil {
		return nil, err
	}
	e := &Engine{targetServer: server, options: o, requests: make(map[string]*request)}
	e.load = &laggedLoad{lag: o.LoadLag, current: e.Load}
	e.events = newEventBuffer(o.CacheEventLoss, o.Seed)
	e.batch = batch{maxRunning: o.MaxBatch, cache: newPrefixCache(o.KVCapacity, e.events.add)}
	e.orders = newOrderState(o.Models)
	// Without a sample from before the first request, the first announcement could not
	// lag behind it.
	e.load.report(time.Now())
	server.countUnfinished = e.unfinished
	server.announcer = newAnnouncer(target.Announcement{
		ID: o.ID, Incarnation: uuid.NewString(), Kind: "engine", Service: o.Service, Address: e.Address(),
		DataCentre: o.DataCentre, Fencing: o.Fencing, LeaseMS: LeaseDuration.Milliseconds(),
	}, o.Entries, server.log, e.refreshAnnouncement)
	return e, nil
}

func (o *EngineOptions) setDefaults() {
	if o.Fencing == "" {
		o.Fencing = target.FencingEnforced
	}
	if o.TokensPerSecond <= 0 {
		o.TokensPerSecond = defaultTokensPerSecond
	}
	if o.DecodeInterval <= 0 {
		o.DecodeInterval = defaultDecodeInterval
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.KVCapacity <= 0 {
		o.KVCapacity = defaultKVCapacity
	}
}

// Run serves requests and sends announcements until ctx ends. It then stops gracefully:
// it announces that the target is leaving, finishes all requests and returns. It returns
// ErrCrashed after Crash.
func (e *Engine) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go e.events.run(background, e.announcer.publish)
	r := e.router
	r.HandleFunc("/v1/chat/completions", e.handleChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", e.handleCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.handleState).Methods(http.MethodGet)
	r.HandleFunc("/v1/export/{program:.*}", e.handleExport).Methods(http.MethodGet)
	return e.serve(ctx)
}

// Load returns the current load.
func (e *Engine) Load() target.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.Load{
		Running: e.batch.running, Waiting: len(e.batch.waiting), MaxBatch: e.options.MaxBatch,
		KVUsed: e.batch.cache.cachedTokens + e.batch.cache.reservedTokens, KVCapacity: e.options.KVCapacity,
		TokensPerSecond: e.options.TokensPerSecond,
	}
}

// refreshAnnouncement sets the fields that change between announcements.
func (e *Engine) refreshAnnouncement(a *target.Announcement) {
	a.Load = e.load.report(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Role = e.orders.role
	a.Models = slices.Sorted(maps.Keys(e.orders.models))
}

// unfinished returns the number of unfinished requests.
func (e *Engine) unfinished() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// hasModel reports whether requests for the model are accepted. The caller holds e.mu.
func (e *Engine) hasModel(model string) bool {
	return len(e.orders.models) == 0 || e.orders.models[model]
}
