package dispatch

import (
	"time"

	"hemlockvale.dev/coord/placement"
)

const (
	// maxLookahead is the number of waiting requests that are compared when a target has
	// capacity.
	maxLookahead = 32
	// maxOvertaking is how long the first request may be overtaken, and how far the rank of a
	// request may be behind it to overtake. Each engine completes several requests in that
	// time, so that most requests get the one that has their prompt.
	maxOvertaking = 100 * time.Millisecond
	// minLocalitySaving is the number of prompt tokens that have to be saved to change the
	// order of the queue. Fewer cost an engine less than the step of a batch.
	minLocalitySaving = 128
)

// ReasonLocality is the reason of a grant to a request that overtook others, because the target
// has most of its prompt cached.
const ReasonLocality = "locality"

// placeFirst grants the first of the waiting requests from an index on, or one shortly behind it
// of which the chosen target has more of the prompt cached. While requests wait, mostly one
// target has capacity at a time; in strict order, each turn of a program would run at another
// target, and engines would spend much of their time on prompts that others have cached.
func (d *Dispatcher) placeFirst(now time.Duration, q *queue, at int) (*waitingRequest, Outcome, bool) {
	first := q.waiting[at]
	r := &first.request
	prompt := r.promptTokens()
	decision := d.choose(now, r, prompt, prompt+r.OutputTokens)
	if decision.Action != placement.Dispatch {
		return first, Outcome{}, false
	}
	if first.firstSince == 0 {
		first.firstSince = now
	}
	w, cached := d.mostCached(now, q, at, d.targets[decision.Target], decision.CachedTokens)
	if w != first {
		decision.CachedTokens, decision.Reason = cached, ReasonLocality
	}
	return w, d.grantAt(now, w, decision), true
}

// mostCached returns the request, among the first ones from an index on, of whose prompt the
// target has most cached, and the number of those tokens. cached is that of the first one.
func (d *Dispatcher) mostCached(now time.Duration, q *queue, at int, t *target, cached int64) (*waitingRequest, int64) {
	best := q.waiting[at]
	if t.cache == nil || best.request.pinned() || now-best.firstSince >= maxOvertaking {
		return best, cached
	}
	latestRank := best.rank + maxOvertaking
	threshold := cached + minLocalitySaving
	for _, w := range q.waiting[at+1 : min(at+maxLookahead, len(q.waiting))] {
		if w.rank > latestRank {
			break
		}
		if tokens := t.cache.cachedTokens(w.request.Parts); tokens > threshold && d.mayRunAt(now, w, t) {
			best, cached, threshold = w, tokens, tokens
		}
	}
	return best, cached
}

// mayRunAt reports whether a request that any target may get can be granted at a target.
func (d *Dispatcher) mayRunAt(now time.Duration, w *waitingRequest, t *target) bool {
	r := &w.request
	return !r.pinned() && r.allows(t) && r.reaches(t) && r.mayContinue(t) && t.classFor(now, r) == healthy && t.hasCapacity(now, r.promptTokens()+r.OutputTokens)
}
