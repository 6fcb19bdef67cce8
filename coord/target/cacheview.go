package target

import (
	"math"
	"slices"
	"time"
)

const (
	// reorderWindow is how long events wait for missing earlier ones. Events reach a
	// watcher through different entries, each of which batches them for up to 500 ms.
	reorderWindow = time.Second
	// eventDelay is the longest time until a change of the cache reaches the view:
	// targets publish events in batches, and entries batch them again when they
	// forward them.
	eventDelay = 1500 * time.Millisecond
	// maxPendingEvents limits the events that wait for earlier ones.
	maxPendingEvents = 1024
	// maxCachePrograms limits the programs in one target's view. A view that is full
	// is cleared.
	maxCachePrograms = 16_384
	// minConfidence is the confidence below which a prefix is no longer expected to
	// be cached.
	minConfidence = 0.05
)

// cacheView tracks which prefixes a target caches, as reported by its cache events.
//
// Lost events lower the confidence in all earlier reports: a gap of n events
// multiplies it by p/(p+n), where p is the number of programs in the view, because
// each lost event may have removed one of them. A program that is reported again
// after the gap has full confidence.
type cacheView struct {
	// index maps programs to the records of the targets that cache them; holder is
	// the record of this target.
	index    holderIndex
	holder   *record
	programs map[string]cachedPrefix
	// uncertainty is the sum of -ln(factor) over the factors of all gaps.
	uncertainty float64
	// nextSequence is the sequence number of the next event to apply; 0 before the
	// first event.
	nextSequence uint64
	pending      []CacheEvent
	// updated is when events last arrived; received is true once any have arrived.
	updated  time.Duration
	received bool
	// pendingSince is when the wait for the current gap began: when the first event
	// was buffered or the last gap was closed.
	pendingSince time.Duration
}

// age returns how old a change of the cache must be for the view to include it,
// unless its event was lost. It returns math.MaxInt64 before the first event and
// while earlier events are missing.
func (c *cacheView) age(now time.Duration) time.Duration {
	if !c.received || len(c.pending) > 0 {
		return math.MaxInt64
	}
	return now - c.updated + eventDelay
}

type cachedPrefix struct {
	tokens int64
	// uncertainty is the view's uncertainty when the prefix was reported.
	uncertainty float64
}

// add applies events in the order of their sequence numbers. Events that arrive
// before one with a lower number wait for up to reorderWindow. Repeated events and events of a
// gap that was already skipped are dropped.
func (c *cacheView) add(now time.Duration, events []CacheEvent) {
	if len(events) > 0 {
		c.updated, c.received = now, true
	}
	for _, e := range events {
		if e.Sequence == 0 || e.Sequence < c.nextSequence {
			continue
		}
		if c.nextSequence == 0 {
			c.nextSequence = firstSequence(e.Sequence)
		}
		at, found := slices.BinarySearchFunc(c.pending, e.Sequence, compareSequence)
		if found {
			continue
		}
		if len(c.pending) == 0 {
			c.pendingSince = now
		}
		c.pending = slices.Insert(c.pending, at, e)
		c.advance(now)
	}
	c.flush(now)
}

// firstSequence returns the sequence number to start with when the first event that
// arrives has the given one. A low number means that the incarnation has just begun and
// that its earlier events may still arrive. Otherwise the view starts with this event,
// and the earlier ones do not count as lost.
func firstSequence(sequence uint64) uint64 {
	if sequence <= maxPendingEvents {
		return 1
	}
	return sequence
}

func compareSequence(e CacheEvent, sequence uint64) int {
	switch {
	case e.Sequence < sequence:
		return -1
	case e.Sequence > sequence:
		return 1
	default:
		return 0
	}
}

// advance applies the pending events up to the next gap.
func (c *cacheView) advance(now time.Duration) {
	applied := 0
	for applied < len(c.pending) && c.pending[applied].Sequence == c.nextSequence {
		c.apply(c.pending[applied])
		c.nextSequence++
		applied++
	}
	if applied > 0 {
		c.pending = slices.Delete(c.pending, 0, applied)
		c.pendingSince = now
	}
}

// flush skips gaps that are older than reorderWindow or that delay more than
// maxPendingEvents events.
func (c *cacheView) flush(now time.Duration) {
	for len(c.pending) > 0 && (now-c.pendingSince >= reorderWindow || len(c.pending) > maxPendingEvents) {
		c.recordGap(c.pending[0].Sequence - c.nextSequence)
		c.nextSequence = c.pending[0].Sequence
		c.advance(now)
	}
}

// recordGap lowers the confidence in all earlier reports after events were lost.
func (c *cacheView) recordGap(lost uint64) {
	programs := float64(max(len(c.programs), 1))
	c.uncertainty += math.Log((programs + float64(lost)) / programs)
}

func (c *cacheView) apply(e CacheEvent) {
	switch e.Kind {
	case "cleared":
		c.clear()
	case "removed":
		if _, ok := c.programs[e.Program]; ok {
			delete(c.programs, e.Program)
			c.index.remove(e.Program, c.holder)
		}
	case "stored":
		c.store(e.Program, cachedPrefix{max(e.Tokens, 0), c.uncertainty})
	}
}

func (c *cacheView) store(program string, p cachedPrefix) {
	if c.programs == nil {
		c.programs = make(map[string]cachedPrefix)
	}
	if _, ok := c.programs[program]; !ok {
		if len(c.programs) >= maxCachePrograms {
			c.clear()
		}
		c.index.add(program, c.holder)
	}
	c.programs[program] = p
}

func (c *cacheView) clear() {
	for program := range c.programs {
		c.index.remove(program, c.holder)
	}
	clear(c.programs)
}

// expectedTokens returns the reported length of the program's prefix times the
// confidence in it, or 0 if the confidence is below minConfidence.
func (c *cacheView) expectedTokens(program string) int64 {
	p, ok := c.programs[program]
	if !ok {
		return 0
	}
	if p.uncertainty == c.uncertainty {
		return p.tokens
	}
	confidence := math.Exp(p.uncertainty - c.uncertainty)
	if confidence < minConfidence {
		return 0
	}
	return int64(float64(p.tokens) * confidence)
}

// holderIndex maps each program to the targets that reported a prefix of it. A
// request looks its program up once instead of once in each target's view.
type holderIndex map[string][]*record

func (x holderIndex) add(program string, r *record) { x[program] = append(x[program], r) }

func (x holderIndex) remove(program string, r *record) {
	remaining := slices.DeleteFunc(x[program], func(other *record) bool { return other == r })
	if len(remaining) == 0 {
		delete(x, program)
		return
	}
	x[program] = remaining
}
