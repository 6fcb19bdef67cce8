package target

import (
	"math"
	"slices"
	"time"
)

const (
	// reorderWindow is how long events wait for earlier ones: they reach a
	// watcher through different entries, each of which batches for up to 500 ms.
	reorderWindow = time.Second
	// eventDelay is how long a change of the cache may take to show here: targets
	// publish in batches, and entries forward these in batches of their own.
	eventDelay = 1500 * time.Millisecond
	// maxWaitingEvents bounds the events that wait for earlier ones.
	maxWaitingEvents = 1024
	// maxCachePrograms bounds the programs of one target's view.
	maxCachePrograms = 16_384
	// minTrust is the trust below which a prefix is no longer expected.
	minTrust = 0.05
)

// cacheView is what cache events say about a target's prefixes.
//
// Lost events lower the trust in what was reported before them: a gap of n
// events multiplies it by p/(p+n), where p is the number of programs in the
// view, because each lost event may have removed one of them. A program that is
// reported again after the gap is fully trusted.
type cacheView struct {
	// index and owner make the programs findable across targets.
	index    holderIndex
	owner    *record
	programs map[string]cachedPrefix
	// distrust is the sum of -ln(factor) over all gaps.
	distrust float64
	// next is the sequence number of the next event; 0 before the first one.
	next    uint64
	waiting []CacheEvent
	// updated is when events last arrived; heard says whether any did.
	updated time.Duration
	heard   bool
	// waitingSince is when the oldest of the waiting events arrived.
	waitingSince time.Duration
}

// age is the age of what the view certainly shows: a change that is older has
// arrived if its event was not lost. It is math.MaxInt64 while nothing is certain.
func (c *cacheView) age(now time.Duration) time.Duration {
	if !c.heard || len(c.waiting) > 0 {
		return math.MaxInt64
	}
	return now - c.updated + eventDelay
}

type cachedPrefix struct {
	tokens int64
	// distrust is the view's value when the prefix was reported.
	distrust float64
}

// add applies events in the order of their sequence. Events that come early wait
// for a while; repeated ones and those that come after their gap was given up
// are dropped.
func (c *cacheView) add(now time.Duration, events []CacheEvent) {
	if len(events) > 0 {
		c.updated, c.heard = now, true
	}
	for _, e := range events {
		if e.Sequence == 0 || e.Sequence < c.next {
			continue
		}
		if c.next == 0 {
			c.next = firstExpected(e.Sequence)
		}
		at, found := slices.BinarySearchFunc(c.waiting, e.Sequence, compareSequence)
		if found {
			continue
		}
		if len(c.waiting) == 0 {
			c.waitingSince = now
		}
		c.waiting = slices.Insert(c.waiting, at, e)
		c.advance(now)
	}
	c.flush(now)
}

// firstExpected returns the sequence to start with. Near the beginning of a run
// the earlier events may still be on their way; later they are simply unknown.
func firstExpected(sequence uint64) uint64 {
	if sequence <= maxWaitingEvents {
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

// advance applies the waiting events that have no gap before them.
func (c *cacheView) advance(now time.Duration) {
	applied := 0
	for applied < len(c.waiting) && c.waiting[applied].Sequence == c.next {
		c.apply(c.waiting[applied])
		c.next++
		applied++
	}
	if applied > 0 {
		c.waiting = slices.Delete(c.waiting, 0, applied)
		c.waitingSince = now
	}
}

// flush gives up gaps that have lasted for too long.
func (c *cacheView) flush(now time.Duration) {
	for len(c.waiting) > 0 && (now-c.waitingSince >= reorderWindow || len(c.waiting) > maxWaitingEvents) {
		c.gap(c.waiting[0].Sequence - c.next)
		c.next = c.waiting[0].Sequence
		c.advance(now)
	}
}

// gap notes lost events.
func (c *cacheView) gap(lost uint64) {
	known := float64(max(len(c.programs), 1))
	c.distrust += math.Log((known + float64(lost)) / known)
}

func (c *cacheView) apply(e CacheEvent) {
	switch e.Kind {
	case "cleared":
		c.clear()
	case "removed":
		if _, ok := c.programs[e.Program]; ok {
			delete(c.programs, e.Program)
			c.index.remove(e.Program, c.owner)
		}
	case "stored":
		c.store(e.Program, cachedPrefix{max(e.Tokens, 0), c.distrust})
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
		c.index.add(program, c.owner)
	}
	c.programs[program] = p
}

func (c *cacheView) clear() {
	for program := range c.programs {
		c.index.remove(program, c.owner)
	}
	clear(c.programs)
}

// expected returns the reported prefix length times the trust in it.
func (c *cacheView) expected(program string) int64 {
	p, ok := c.programs[program]
	if !ok {
		return 0
	}
	if p.distrust == c.distrust {
		return p.tokens
	}
	trust := math.Exp(p.distrust - c.distrust)
	if trust < minTrust {
		return 0
	}
	return int64(float64(p.tokens) * trust)
}

// holderIndex finds the targets that reported a prefix of a program. A request
// looks its program up once, instead of once in each target's view.
type holderIndex map[string][]*record

func (x holderIndex) add(program string, r *record) { x[program] = append(x[program], r) }

func (x holderIndex) remove(program string, r *record) {
	left := slices.DeleteFunc(x[program], func(other *record) bool { return other == r })
	if len(left) == 0 {
		delete(x, program)
		return
	}
	x[program] = left
}
