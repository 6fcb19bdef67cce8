package dispatch

import (
	"math"
	"time"
)

const (
	// coldBurst is the time for which the unused rate of a cold target is saved up. It covers
	// the interval between two calls of Tick. Together with MaxColdGrantAge it determines how
	// many requests can arrive at the target within one second: at most 1.5 times the rate
	// and one more.
	coldBurst = 100 * time.Millisecond
	// MaxColdGrantAge is the age up to which a grant at a cold target may be used. Grants that
	// arrive later could meet the ones that were made meanwhile.
	MaxColdGrantAge = 400 * time.Millisecond
	// ReasonCold is the reason of a grant at a cold target.
	ReasonCold = "cold"
)

// coldRate paces the grants of a target that is cold.
type coldRate struct {
	// until is the end of the cold period.
	until  time.Duration
	bucket bucket
}

// updateCold applies the cold period of the catalog. The bucket of a target that becomes cold is
// empty: an earlier leader may have granted all that the rate allowed so far, and grants from before
// the period may be under way.
func (t *target) updateCold(now time.Duration) {
	if t.ColdPerSecond <= 0 || now >= t.ColdUntil {
		t.cold = nil
		return
	}
	if t.cold == nil {
		t.cold = &coldRate{bucket: bucket{refilledAt: now, startedAt: now}}
	}
	c := t.cold
	c.bucket.refill(now)
	c.until = t.ColdUntil
	c.bucket.limits = Limits{RatePerSecond: t.ColdPerSecond, Burst: max(1, t.ColdPerSecond*coldBurst.Seconds())}
	c.bucket.tokens = min(c.bucket.tokens, c.bucket.capacity())
}

// isCold reports whether the target is cold.
func (t *target) isCold(now time.Duration) bool { return t.cold != nil && now < t.cold.until }

// coldRateAllows reports whether the target is warm, or its rate allows a request now.
func (t *target) coldRateAllows(now time.Duration) bool {
	if !t.isCold(now) {
		return true
	}
	t.cold.bucket.refill(now)
	return t.cold.bucket.tokens >= 1
}

// grantRate returns the number of requests per second that the limits of the target allow, and
// false if it has none.
func (t *target) grantRate() (float64, bool) {
	rate := math.Inf(1)
	if t.rate != nil {
		rate = t.rate.bucket.limits.RatePerSecond
	}
	if t.cold != nil {
		rate = min(rate, t.cold.bucket.limits.RatePerSecond)
	}
	return rate, !math.IsInf(rate, 1)
}

// noteColdEnd records the end of a cold period if it is the next one.
func (d *Dispatcher) noteColdEnd(t *target) {
	if t.cold != nil && (d.nextColdEnd == 0 || t.cold.until < d.nextColdEnd) {
		d.nextColdEnd = t.cold.until
	}
}

// endColdPeriods lifts the limits of targets that are not cold any more. It does nothing until the
// next period ends.
func (d *Dispatcher) endColdPeriods(now time.Duration) {
	if d.nextColdEnd == 0 || now < d.nextColdEnd {
		return
	}
	d.nextColdEnd = 0
	ended := make(map[string]bool)
	for _, t := range d.targets {
		if t.cold != nil && !t.isCold(now) {
			t.cold = nil
			ended[t.Service] = true
		}
		d.noteColdEnd(t)
	}
	for service := range ended {
		d.updateServiceRate(service)
	}
}
