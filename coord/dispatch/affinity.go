package dispatch

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReasonAffinity is the reason of a grant at the target that a key prefers, and
	// ReasonAffinityNext that of a grant at a further one, because the ones before are overruled.
	ReasonAffinity     = "affinity"
	ReasonAffinityNext = "affinity_next"

	// affinityLoadFactor is the multiple of the mean load of a service up to which a target gets
	// requests by affinity.
	affinityLoadFactor = 1.25
	// affinitySlowTokens is the slowness penalty at which a target gets no requests by affinity:
	// half of the least one. Penalties halve each second without a result, so a target that was
	// slow is tried again after 1 to 5 s.
	affinitySlowTokens = (toleratedSlowness - 1) * slownessPenalty / 2
	// fewRecentGrants is the number of recent grants, about two a second, up to which the recent
	// load of a target does not overrule it. On a quiet service, an object keeps its target even
	// if all requests are for it.
	fewRecentGrants = 30
)

// hasAffinity reports whether the request is placed by its affinity key. One with prompt parts is
// placed by the parts that targets have cached.
func (r *Request) hasAffinity() bool { return r.Affinity != 0 && len(r.Parts) == 0 }

// chooseByAffinity chooses among d.free, the healthy and warm targets with capacity, by rendezvous
// hashing with bounded load: the target that the key prefers most among those that are not
// overruled. It returns nil if all are. It keeps no state for a key and uses no random numbers.
func (d *Dispatcher) chooseByAffinity(now time.Duration, r *Request, median float64, p *preference) (*target, string) {
	bound := d.affinityBound(now, d.targetsByService[r.Service], median)
	var best *target
	nearest, nearestOverruled := math.Inf(1), math.Inf(1)
	for _, t := range d.free {
		distance := t.affinityDistance(r.Affinity)
		switch {
		case !t.mayHoldObjects(now, median) || !bound.allows(t) || t.connectionLimitReached() && !p.open(t):
			nearestOverruled = min(nearestOverruled, distance)
		case distance < nearest:
			best, nearest = t, distance
		}
	}
	if best == nil {
		return nil, ""
	}
	if nearestOverruled < nearest || len(d.free) < bound.accepting && d.anyNearer(r, nearest) {
		return best, ReasonAffinityNext
	}
	return best, ReasonAffinity
}

// anyNearer reports whether a target that accepts requests is nearer to the key of a request.
func (d *Dispatcher) anyNearer(r *Request, distance float64) bool {
	return slices.ContainsFunc(d.targetsByService[r.Service], func(t *target) bool {
		return !t.Draining && t.affinityDistance(r.Affinity) < distance
	})
}

// affinityDistance ranks targets for a key; the lowest distance is preferred most. It depends only
// on the key, the id and the slots of the target, so targets that join or leave move no key
// between others. The distances are exponentially distributed with the slots as their rate, so
// that each target is preferred by a share of the keys in proportion to its slots.
func (t *target) affinityDistance(key uint64) float64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:], key)
	binary.LittleEndian.PutUint64(data[8:], t.hash)
	const bits = 53 // precision of a float64's significand
	uniform := (float64(xxhash.Sum64(data[:])>>(64-bits)) + 0.5) / (1 << bits)
	return -math.Log(uniform) / float64(max(t.Slots, 1))
}

// mayHoldObjects reports whether a target gets requests by affinity: it is healthy, warm and not slow.
func (t *target) mayHoldObjects(now time.Duration, median float64) bool {
	return !t.Draining && !t.isSuspect(now) && !t.isCold(now) && t.stats.penalty(now, median) < affinitySlowTokens
}

// affinityBound bounds the load of targets that get requests by affinity.
type affinityBound struct {
	// running is the number of requests for each slot that a target may hold, and recent the
	// recent load up to which a target gets requests for which running has to be rounded up.
	running, recent float64
	// few is the load of fewRecentGrants at a target with one slot.
	few float64
	// freeSlots is set while a slow target has free slots.
	freeSlots bool
	// accepting is the number of targets that accept requests.
	accepting int
}

// affinityBound returns the bound for one more request of a service: affinityLoadFactor times the
// mean of the targets that may hold objects.
func (d *Dispatcher) affinityBound(now time.Duration, targets []*target, median float64) affinityBound {
	weight := d.connections.loadWeight(now)
	b := affinityBound{few: fewRecentGrants * weight}
	running, slots, recent, n := 1, 0, 0.0, 0
	for _, t := range targets {
		if t.Draining {
			continue
		}
		b.accepting++
		switch {
		case t.mayHoldObjects(now, median):
			running += t.outstanding
			slots += max(t.Slots, 1)
			recent += t.recentLoad
			n++
		case !t.isSuspect(now) && !t.isCold(now):
			b.freeSlots = b.freeSlots || t.outstanding < t.Slots
		}
	}
	if n > 0 {
		b.running = affinityLoadFactor * float64(running) / float64(slots)
		// A difference of one grant from the mean may be chance.
		b.recent = affinityLoadFactor * (recent/float64(n) + weight*float64(n)/float64(slots))
	}
	return b
}

// allows reports whether a target may hold one more request. The bound is rounded up to whole
// requests, to one at least: rounded down, it would be the mean itself at two requests a target.
// With few requests a target, rounding allows twice the mean or more, so a target gets those
// requests only while its recent load is within the bound as well. A request does not queue at a
// target for its key while a slow target has free slots; the placement policy weighs the two.
func (b *affinityBound) allows(t *target) bool {
	slots := max(t.Slots, 1)
	if b.freeSlots && t.outstanding >= slots {
		return false
	}
	held, bound := float64(t.outstanding+1), b.running*float64(slots)
	return held <= bound || (held == 1 || held < bound+1) && t.recentLoad <= max(b.recent, b.few/float64(slots))
}
