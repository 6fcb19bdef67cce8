// Package entry models what one entry VM knows when it places a request: lagged
// load reports, cache events with gaps, and its own dispatches.
package entry

import (
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/coord/placement"
)

const (
	// lease is how long a target stays usable after its last announcement.
	lease = 3 * time.Second
	// suspicion is how long a target stays suspect after a failed call.
	suspicion = 5 * time.Second
)

// Entry is one entry VM.
type Entry struct {
	// Alive is false after the VM was lost.
	Alive      bool
	targets    []target
	candidates []placement.Candidate
	index      []int // target of each candidate
}

type target struct {
	id           string
	load         engine.Load
	measured     time.Duration
	announced    time.Duration
	suspectUntil time.Duration
	cacheAt      time.Duration // when the last applied cache events were sent
	cached       map[int]int64
	dispatched   []dispatch
}

// dispatch is a request that the last report may not contain.
type dispatch struct {
	at     time.Duration
	tokens int64
}

// New returns an entry that knows the targets by their ids, all idle.
func New(ids []string, load engine.Load) *Entry {
	e := &Entry{Alive: true}
	for _, id := range ids {
		e.targets = append(e.targets, target{id: id, load: load, cached: map[int]int64{}})
	}
	return e
}

// Announce takes over a load report that was measured at the given time.
func (e *Entry) Announce(now time.Duration, i int, measured time.Duration, load engine.Load) {
	e.targets[i].announced = now
	e.Observe(i, measured, load)
}

// Observe takes over a load report that came with a response.
func (e *Entry) Observe(i int, measured time.Duration, load engine.Load) {
	t := &e.targets[i]
	if measured < t.measured {
		return
	}
	t.measured, t.load = measured, load
	kept := t.dispatched[:0]
	for _, d := range t.dispatched {
		if d.at >= measured {
			kept = append(kept, d)
		}
	}
	t.dispatched = kept
}

// CacheEvents applies events that one target sent at the given time.
func (e *Entry) CacheEvents(i int, sent time.Duration, events []engine.CacheEvent) {
	e.targets[i].cacheAt = sent
	for _, event := range events {
		if event.Tokens == 0 {
			delete(e.targets[i].cached, event.Program)
			continue
		}
		e.targets[i].cached[event.Program] = event.Tokens
	}
}

// Dispatched records a request that arrives at the target at the given time.
func (e *Entry) Dispatched(i int, at time.Duration, tokens int64) {
	e.targets[i].dispatched = append(e.targets[i].dispatched, dispatch{at: at, tokens: tokens})
}

// Failed marks a target that dropped a call.
func (e *Entry) Failed(now time.Duration, i int) {
	e.targets[i].suspectUntil = now + suspicion
}

// Candidates returns the usable targets. The slice is valid until the next
// invocation.
func (e *Entry) Candidates(now time.Duration, program int) []placement.Candidate {
	e.candidates, e.index = e.candidates[:0], e.index[:0]
	for i := range e.targets {
		t := &e.targets[i]
		if now-t.announced > lease {
			continue
		}
		c := placement.Candidate{
			ID: t.id, Running: t.load.Running, Waiting: t.load.Waiting, MaxBatch: t.load.MaxBatch,
			Outstanding: len(t.dispatched), KVUsed: t.load.KVUsed, KVCapacity: t.load.KVCapacity,
			CachedTokens: t.cached[program], CacheAge: now - t.cacheAt, ReportAge: now - t.measured,
			TokensPerSecond: t.load.TokensPerSecond, Suspect: now < t.suspectUntil,
		}
		for _, d := range t.dispatched {
			c.OutstandingTokens += d.tokens
		}
		e.candidates = append(e.candidates, c)
		e.index = append(e.index, i)
	}
	return e.candidates
}

// ID is the id of the target with the given index.
func (e *Entry) ID(i int) string {
	return e.targets[i].id
}

// Target is the index of the target with the given id among the candidates of
// the last invocation of Candidates.
func (e *Entry) Target(id string) int {
	for k := range e.candidates {
		if e.candidates[k].ID == id {
			return e.index[k]
		}
	}
	return -1
}
