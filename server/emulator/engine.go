// Package emulator contains stand-ins for targets: an engine and a plain
// service. They speak the protocol in docs/operations/targets.md and have the
// properties of real ones that matter to a scheduler: limited batches and
// memory, lagging load reports, cache events that are late and have gaps, and
// orders with or without fencing.
//
// An answer reports usage and load: complete answers in the fields "usage" and
// "load" and the X-Load header, streams in the last chunk before [DONE], which
// has no choices.
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

// EngineOptions describe one emulated engine. Zero values take defaults.
type EngineOptions struct {
	// ID and Service are announced.
	ID, Service string
	// Address is the address to listen on, as IP:port; port 0 takes a free one.
	Address string
	// DataCentre is announced.
	DataCentre string
	// Models are loaded at the start; none means that any model is accepted.
	Models []string
	// Fencing is "enforced" or "ignored".
	Fencing string
	// Entries are the HTTP addresses to announce to.
	Entries []string
	// TokensPerSecond is the prefill speed.
	TokensPerSecond float64
	// DecodeInterval is the time for each token of an answer.
	DecodeInterval time.Duration
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// KVCapacity is the engine memory in tokens.
	KVCapacity int64
	// LoadLag is the age of the announced load.
	LoadLag time.Duration
	// CacheEventLoss is the probability that a cache event is never published.
	CacheEventLoss float64
	// Seed selects which cache events are lost.
	Seed uint64
	// CrashOn ends the target abruptly when a request contains this text.
	CrashOn string
	// OrderDelay is how long each order takes.
	OrderDelay time.Duration
	// OrderFault selects a fault for an order; nil means none. It is called
	// when the order has arrived and may block, like a paused process.
	OrderFault func(target.Order) OrderFault
	// StopGrace is the shortest time between the announcement of a graceful stop and its end.
	StopGrace time.Duration
	// Log receives the engine's events; nil discards them.
	Log *logrus.Entry
}

// Engine is an emulated model engine.
type Engine struct {
	*host
	options EngineOptions
	load    *laggedLoad
	events  *eventLog

	mu       sync.Mutex
	batch    batch
	requests map[string]*request
	active   int
	orders   orderState
}

// NewEngine returns an engine that already listens; Run makes it answer.
func NewEngine(o EngineOptions) (*Engine, error) {
	o.setDefaults()
	h, err := newHost(o.Address, o.StopGrace, o.Log)
	if err != nil {
		return nil, err
	}
	e := &Engine{host: h, options: o, requests: make(map[string]*request)}
	e.load = &laggedLoad{lag: o.LoadLag, current: e.Load}
	e.events = newEventLog(o.CacheEventLoss, o.Seed)
	e.batch = batch{size: o.MaxBatch, cache: newPrefixCache(o.KVCapacity, e.events.add)}
	e.orders = newOrderState(o.Models)
	h.active = e.unfinished
	h.announcer = newAnnouncer(target.Announcement{
		ID: o.ID, Incarnation: uuid.NewString(), Kind: "engine", Service: o.Service, Address: e.Address(),
		DataCentre: o.DataCentre, Fencing: o.Fencing, LeaseMS: LeaseDuration.Milliseconds(),
	}, o.Entries, h.log, e.describe)
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

// Run answers and announces until ctx ends, then stops gracefully: it announces
// that it leaves, finishes its requests and returns. It returns ErrCrashed after Crash.
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
		KVUsed: e.batch.cache.held + e.batch.cache.reserved, KVCapacity: e.options.KVCapacity,
		TokensPerSecond: e.options.TokensPerSecond,
	}
}

// describe fills in what changes between announcements.
func (e *Engine) describe(a *target.Announcement) {
	a.Load = e.load.report(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Role = e.orders.role
	a.Models = slices.Sorted(maps.Keys(e.orders.models))
}

func (e *Engine) unfinished() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

func (e *Engine) hasModel(model string) bool {
	return len(e.orders.models) == 0 || e.orders.models[model]
}
