package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSuspectTime and maxSuspectTime bound how long a failed target is avoided.
	// The time doubles with each consecutive failure.
	minSuspectTime = 250 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// fullPause is how long a target gets no requests after it refused one because
	// it was full.
	fullPause = 30 * time.Millisecond
	// prefixCacheShare is the share of an engine's memory that is assumed to hold
	// cached prefixes; running requests need the rest.
	prefixCacheShare = 0.6
	// slotsPerQueued is the number of slots that a target needs for each request that
	// may queue at the target; every target may queue at least one.
	slotsPerQueued = 6
	// turnaround is the time from the end of a request at a target until the next
	// request arrives there, by way of the entry and the dispatcher. A target may
	// queue turnaroundHeadroom times the mean number of requests that end in that
	// time.
	turnaround         = 6 * time.Millisecond
	turnaroundHeadroom = 2.5
	// servingTime is how long after a complete answer a target is not suspected because one
	// VM can't connect to it.
	servingTime = 300 * time.Millisecond
	// brokenLimit is the number of consecutive broken answers that make a target
	// suspect.
	brokenLimit = 3
)

// target is a target with the requests that are granted to it and what is known
// about its health.
type target struct {
	Target
	outstanding int
	// tokens is the sum of the prompt and output tokens of the outstanding requests.
	tokens int64
	// cache is nil for plain services.
	cache *prefixCache
	// suspectUntil and failures describe a target that could not be reached: the end
	// of the current pause and the number of consecutive failures.
	suspectUntil time.Duration
	failures     int
	// broken is the number of consecutive broken answers.
	broken int
	// completedAt is when the latest answer was complete; 0 if there was none.
	completedAt time.Duration
	// fullUntil is when the pause after a refusal as full ends.
	fullUntil time.Duration
	// doubt is nil while the version of the target's software is certain. knownSince is when
	// the dispatcher heard of the incarnation, and certainAt a time at which the process
	// certainly was this one.
	doubt                 *doubt
	knownSince, certainAt time.Duration
	// rate is nil while the target states no rate limit.
	rate *targetRate
	// cold is nil while the target is warm.
	cold  *coldRate
	stats targetStats
	// column is the index of the target in the tables of connections, idle the number of
	// connections to it that are probably idle, and recentLoad the sum of the weights of its
	// recent grants for each slot.
	column     int
	idle       int
	recentLoad float64
	// hash is the hash of the id, from which the affinity of keys is derived.
	hash uint64
}

func newTarget(t Target) *target {
	n := &target{Target: t, hash: xxhash.Sum64String(t.ID)}
	if t.KVCapacity > 0 {
		n.cache = newPrefixCache(int64(float64(t.KVCapacity) * prefixCacheShare))
	}
	return n
}

// hasCapacity reports whether the target can take another request that needs the
// given number of tokens.
func (t *target) hasCapacity(now time.Duration, need int64) bool {
	// Every target may hold at least one request more than it has slots.
	if t.Draining || now < t.fullUntil || t.outstanding > max(t.Slots, 1) && t.outstanding >= t.maxOutstanding() {
		return false
	}
	if t.rate != nil && !t.rate.available(now) {
		return false
	}
	if !t.coldRateAllows(now) {
		return false
	}
	return t.KVCapacity == 0 || t.outstanding == 0 || t.tokens+need <= t.KVCapacity
}

// maxOutstanding returns how many requests the target may hold. A few of them queue
// at the target itself, so that its slots are not idle while a done report and the
// next request are on their way. At a plain service with short requests, several
// requests end in that time.
func (t *target) maxOutstanding() int {
	slots := max(t.Slots, 1)
	queued := max(1, slots/slotsPerQueued)
	if requestTime := t.stats.requestTime(); t.KVCapacity == 0 && requestTime > 0 {
		queued = max(queued, min(int(math.Ceil(turnaroundHeadroom*float64(slots)*turnaround.Seconds()/requestTime)), slots))
	}
	return slots + queued
}

// targetClass ranks targets for one request; lower is better.
type targetClass int

const (
	healthy targetClass = iota
	// excluded targets have already failed to run this request.
	excluded
	// suspected targets were recently unreachable or broke off several answers in a
	// row.
	suspected
	// suspectedExcluded targets are both.
	suspectedExcluded
	// unusable targets are draining.
	unusable
)

// classFor returns the class of the target for a request.
func (t *target) classFor(now time.Duration, r *Request) targetClass {
	if t.Draining {
		return unusable
	}
	isExcluded := slices.Contains(r.Exclude, t.ID)
	switch {
	case t.isSuspect(now) && isExcluded:
		return suspectedExcluded
	case t.isSuspect(now):
		return suspected
	case isExcluded:
		return excluded
	}
	return healthy
}

func (t *target) isSuspect(now time.Duration) bool { return now < t.suspectUntil }

// observe updates the health of a target from the result of a request.
func (t *target) observe(now time.Duration, r Result) {
	switch r {
	case Completed, Failed:
		t.failures, t.broken, t.suspectUntil, t.completedAt = 0, 0, 0, now
	case NotRun:
		t.fullUntil = now + fullPause
	case WrongTarget, Leaving:
		// The catalog from which this target was granted may be older than that of the sending
		// VM. Until it has caught up, each grant here costs a request another placement.
		t.markSuspect(now)
	case Unreachable:
		// The path of one VM may be broken while others are being served.
		if t.completedAt == 0 || now >= t.completedAt+servingTime {
			t.markSuspect(now)
		}
	case Broken:
		t.broken++
		if t.broken >= brokenLimit {
			t.markSuspect(now)
		}
	}
}

// markSuspect starts a pause in which the target is avoided.
func (t *target) markSuspect(now time.Duration) {
	pause := min(minSuspectTime<<min(t.failures, 8), maxSuspectTime)
	t.failures++
	t.suspectUntil = now + pause
}
