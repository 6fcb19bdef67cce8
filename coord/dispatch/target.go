package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// suspectMin and suspectMax bound the time for which a failed target is
	// avoided; it doubles with each failure in a row.
	suspectMin = 250 * time.Millisecond
	suspectMax = 4 * time.Second
	// fullPause is how long a target that refused a request as full gets no other.
	fullPause = 30 * time.Millisecond
	// engineShare is the part of an engine's memory that the prefix estimate
	// covers; running requests need the rest.
	engineShare = 0.6
	// waitingShare is the part of a target's slots (one in so many) that may wait at the target.
	waitingShare = 6
	// turnaround is the time from an end at a target until the next request
	// arrives there, over the entry and the dispatcher. endsHeadroom is for how
	// many times the mean number of ends in that time a target holds requests.
	turnaround   = 6 * time.Millisecond
	endsHeadroom = 2.5
	// brokenLimit is the number of broken answers in a row that make a target suspect.
	brokenLimit = 3
)

// target is a target and the requests that were granted to it.
type target struct {
	Target
	outstanding int
	// tokens are the prompts and outputs of the outstanding requests.
	tokens int64
	// cache is nil for plain services.
	cache *prefixes
	// suspectUntil and failures describe a target that could not be reached.
	suspectUntil time.Duration
	failures     int
	broken       int
	fullUntil    time.Duration
	experience   experience
}

func newTarget(t Target) *target {
	n := &target{Target: t}
	if t.KVCapacity > 0 {
		n.cache = newPrefixes(int64(float64(t.KVCapacity) * engineShare))
	}
	return n
}

// free says whether the target takes another request now.
func (t *target) free(now time.Duration, need int64) bool {
	if t.Draining || now < t.fullUntil || t.outstanding >= t.limit() {
		return false
	}
	return t.KVCapacity == 0 || t.outstanding == 0 || t.tokens+need <= t.KVCapacity
}

// limit is how many requests the target may hold. A few wait at the target
// itself, so that its slots are not idle while an end is reported and the next
// request is on its way: at a plain service with short requests, several end in
// that time.
func (t *target) limit() int {
	slots := max(t.Slots, 1)
	ahead := max(1, slots/waitingShare)
	if each := t.experience.requestTime(); t.KVCapacity == 0 && each > 0 {
		ahead = max(ahead, min(int(math.Ceil(endsHeadroom*float64(slots)*turnaround.Seconds()/each)), slots))
	}
	return slots + ahead
}

// targetKind ranks targets for one request; lower is better.
type targetKind int

const (
	sound targetKind = iota
	// excluded targets have failed this request already.
	excluded
	// suspected targets could not be reached lately.
	suspected
	// unusable targets are draining.
	unusable
)

func (t *target) kindFor(now time.Duration, r *Request) targetKind {
	switch {
	case t.Draining:
		return unusable
	case t.suspect(now):
		return suspected
	case slices.Contains(r.Exclude, t.ID):
		return excluded
	}
	return sound
}

func (t *target) suspect(now time.Duration) bool { return now < t.suspectUntil }

// observe updates the belief about a target from the end of a request.
func (t *target) observe(now time.Duration, r Result) {
	switch r {
	case Completed, Failed:
		t.failures, t.broken, t.suspectUntil = 0, 0, 0
	case NotRun:
		t.fullUntil = now + fullPause
	case Unreachable, WrongTarget:
		t.fail(now)
	case Broken:
		t.broken++
		if t.broken >= brokenLimit {
			t.fail(now)
		}
	}
}

func (t *target) fail(now time.Duration) {
	pause := min(suspectMin<<min(t.failures, 8), suspectMax)
	t.failures++
	t.suspectUntil = now + pause
}
