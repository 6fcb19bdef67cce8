// Package entry models what an entry VM knows when it places a request: delayed load
// reports, cache events of which some are lost, and the requests that it dispatched
// itself. It also holds the deciders that are compared, and the rate limits and token
// counters of the organisations.
package entry

import (
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/coord/placement"
)

const (
	// announcementLease is how long a target stays usable after its last announcement.
	announcementLease = 3 * time.Second
	// suspectTime is how long a target stays suspect after a failed call.
	suspectTime = 5 * time.Second
)

// Entry is the view that one entry VM has of the targets.
type Entry struct {
	// Alive is false after the VM has failed.
	Alive         bool
	targets       []targetView
	candidates    []placement.Candidate
	targetIndexes []int // index in targets of each candidate
}

// targetView is what an entry knows about one target.
type targetView struct {
	id           string
	load         engine.Load
	measuredAt   time.Duration
	announcedAt  time.Duration
	suspectUntil time.Duration
	cacheSentAt  time.Duration // when the latest applied cache events were sent
	cachedTokens map[int]int64
	dispatched   []dispatch
}

// dispatch is a request that the latest load report may not include yet.
type dispatch struct {
	at     time.Duration // arrival at the target
	tokens int64
}

// New returns an entry that knows the targets with the given ids, all with the given
// load. The methods identify a target by its index in ids.
func New(ids []string, load engine.Load) *Entry {
	e := &Entry{Alive: true}
	for _, id := range ids {
		e.targets = append(e.targets, targetView{id: id, load: load, cachedTokens: map[int]int64{}})
	}
	return e
}

// ApplyAnnouncement renews the target's lease and applies the announced load report.
func (e *Entry) ApplyAnnouncement(now time.Duration, i int, measuredAt time.Duration, load engine.Load) {
	e.targets[i].announcedAt = now
	e.ApplyLoad(i, measuredAt, load)
}

// ApplyLoad applies a load report that was measured at the given time, unless a later
// report has been applied.
func (e *Entry) ApplyLoad(i int, measuredAt time.Duration, load engine.Load) {
	t := &e.targets[i]
	if measuredAt < t.measuredAt {
		return
	}
	t.measuredAt, t.load = measuredAt, load
	kept := t.dispatched[:0]
	for _, d := range t.dispatched {
		if d.at >= measuredAt {
			kept = append(kept, d)
		}
	}
	t.dispatched = kept
}

// ApplyCacheEvents applies the cache events that a target sent at the given time.
func (e *Entry) ApplyCacheEvents(i int, sentAt time.Duration, events []engine.CacheEvent) {
	e.targets[i].cacheSentAt = sentAt
	for _, event := range events {
		if event.Tokens == 0 {
			delete(e.targets[i].cachedTokens, event.Program)
			continue
		}
		e.targets[i].cachedTokens[event.Program] = event.Tokens
	}
}

// RecordDispatch records a request that arrives at the target at the given time.
func (e *Entry) RecordDispatch(i int, at time.Duration, tokens int64) {
	e.targets[i].dispatched = append(e.targets[i].dispatched, dispatch{at: at, tokens: tokens})
}

// MarkSuspect records that a call failed at the target.
func (e *Entry) MarkSuspect(now time.Duration, i int) {
	e.targets[i].suspectUntil = now + suspectTime
}

// Candidates returns the usable targets for a request of the program. The slice is
// valid until the next call of Candidates.
func (e *Entry) Candidates(now time.Duration, program int) []placement.Candidate {
	e.candidates, e.targetIndexes = e.candidates[:0], e.targetIndexes[:0]
	for i := range e.targets {
		t := &e.targets[i]
		if now-t.announcedAt > announcementLease {
			continue
		}
		c := placement.Candidate{
			ID: t.id, Running: t.load.Running, Waiting: t.load.Waiting, MaxBatch: t.load.MaxBatch,
			Outstanding: len(t.dispatched), KVUsed: t.load.KVUsed, KVCapacity: t.load.KVCapacity,
			CachedTokens: t.cachedTokens[program], CacheAge: now - t.cacheSentAt, ReportAge: now - t.measuredAt,
			TokensPerSecond: t.load.TokensPerSecond, Suspect: now < t.suspectUntil,
		}
		for _, d := range t.dispatched {
			c.OutstandingTokens += d.tokens
		}
		e.candidates = append(e.candidates, c)
		e.targetIndexes = append(e.targetIndexes, i)
	}
	return e.candidates
}

// TargetID returns the id of the target with the given index.
func (e *Entry) TargetID(i int) string {
	return e.targets[i].id
}

// TargetIndex returns the index of the target with the given id, or -1 if it was not
// among the candidates of the last call of Candidates.
func (e *Entry) TargetIndex(id string) int {
	for k := range e.candidates {
		if e.candidates[k].ID == id {
			return e.targetIndexes[k]
		}
	}
	return -1
}
