// Package world runs programs against fake targets through entries that decide
// with the policy under test. It is a queueing model in virtual time.
package world

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/bench/entry"
	"hemlockvale.dev/bench/sim"
	"hemlockvale.dev/bench/workload"
)

const (
	// announceInterval is the time between two announcements of a target.
	announceInterval = time.Second
	// minLag and maxLag bound the delay of announcements and cache events.
	minLag, maxLag = 50 * time.Millisecond, 500 * time.Millisecond
	// lossProbability is the part of batches of cache events that an entry
	// never receives.
	lossProbability = 0.02
	// timeLimit bounds a run in virtual time.
	timeLimit = 24 * time.Hour
)

// Contract is the rate of an organisation.
type Contract struct {
	// Rate is in calls per second, Burst in calls.
	Rate, Burst float64
}

// Config describes a run.
type Config struct {
	Deployment workload.Deployment
	Programs   []*workload.Program
	// Rate is the number of arriving programs per second.
	Rate float64
	// Contracts are the organisations' limits; nil admits everything.
	Contracts []Contract
	// Decider returns the decider of one entry.
	Decider func() entry.Decider
	Seed    uint64
	Fault   Fault
}

// Record is the outcome of one program.
type Record struct {
	Organisation int
	Flood        bool
	// Arrival is when the program started, Latency how long it took.
	Arrival, Latency time.Duration
	// Alone is its latency without queueing.
	Alone time.Duration
	// Finished is false if the caller gave up.
	Finished bool
}

// Result holds the outcome of a run.
type Result struct {
	// Programs are in the order of arrival.
	Programs []Record
	// Dispatched counts dispatches including retries.
	Dispatched int
	// Refused counts calls within the rate that the policy refused.
	Refused int
	// RefusedLate counts refusals of calls that had been dispatched before.
	RefusedLate int
	// Limited counts calls that the rate limit refused.
	Limited int
	// AdmittedOver counts calls that were admitted above the rate.
	AdmittedOver int
	// Uncached counts prefix tokens that targets computed.
	Uncached int64
	// Recomputed counts prefix tokens that were computed although some target
	// held them when the call was placed.
	Recomputed int64
	// LastArrival is when the last program of the usual load started.
	LastArrival time.Duration
}

type world struct {
	config   Config
	clock    *sim.Clock
	random   *rand.Rand
	engines  []*engine.Engine
	entries  []*entry.Entry
	deciders []entry.Decider
	buckets  []*entry.Bucket
	usage    *entry.Usage
	cacheOff bool
	running  map[*attempt]struct{} // only kept for the loss of an entry
	left     int
	result   Result
}

// Run executes the programs until all have ended.
func Run(c Config) Result {
	return build(c).run()
}

func build(c Config) *world {
	w := &world{config: c, clock: &sim.Clock{}, random: rand.New(rand.NewPCG(c.Seed, 3))}
	w.usage = entry.NewUsage(len(c.Deployment.Shares))
	w.running = map[*attempt]struct{}{}
	w.addTargets()
	for _, contract := range c.Contracts {
		w.buckets = append(w.buckets, entry.NewBucket(contract.Rate, contract.Burst))
	}
	w.scheduleFault()
	w.result.Programs = make([]Record, len(c.Programs))
	w.left = len(c.Programs)
	for i, p := range c.Programs {
		w.arrive(i, p)
	}
	return w
}

func (w *world) run() Result {
	w.clock.Run(timeLimit, func() bool { return w.left == 0 })
	for _, b := range w.buckets {
		w.result.AdmittedOver += b.Over
	}
	return w.result
}

func (w *world) addTargets() {
	d := w.config.Deployment
	ids := make([]string, d.Targets)
	for i := range ids {
		ids[i] = "target-" + strconv.Itoa(i)
		w.engines = append(w.engines, engine.New(d.Engine, w.clock))
		phase := announceInterval * time.Duration(i) / time.Duration(d.Targets)
		w.clock.After(phase, func() { w.announce(i) })
	}
	for range d.Entries {
		w.entries = append(w.entries, entry.New(ids, w.engines[0].Load()))
		w.deciders = append(w.deciders, w.config.Decider())
	}
}

// announce sends the target's load and cache events to all entries.
func (w *world) announce(i int) {
	e := w.engines[i]
	if !e.Alive() {
		return
	}
	measured, load, events := w.clock.Now(), e.Load(), e.TakeEvents()
	silent := w.cacheOff
	lag := minLag + time.Duration(w.random.Int64N(int64(maxLag-minLag)))
	w.clock.After(lag, func() {
		for _, view := range w.entries {
			view.Announce(w.clock.Now(), i, measured, load)
			if lost := w.random.Float64() < lossProbability; !lost && !silent {
				view.CacheEvents(i, measured, events)
			}
		}
	})
	w.clock.After(announceInterval, func() { w.announce(i) })
}

func (w *world) arrive(i int, p *workload.Program) {
	at := p.At
	if !p.Flood {
		at = time.Duration(p.Arrival / w.config.Rate * float64(time.Second))
		w.result.LastArrival = max(w.result.LastArrival, at)
	}
	record := &w.result.Programs[i]
	*record = Record{
		Organisation: p.Organisation, Flood: p.Flood, Arrival: at, Alone: p.Alone(w.config.Deployment),
	}
	w.clock.After(at, func() {
		w.start(p, 0, func(finished bool) {
			record.Finished = finished
			record.Latency = w.clock.Now() - at
			w.left--
		})
	})
}
