package dispatch

import "time"

const (
	// targetBurst is the time for which a target's unused rate is saved up. It covers the
	// interval between two calls of Tick.
	targetBurst = 200 * time.Millisecond
	// minTargetRate is the rate in requests per second at which a target with a lower limit
	// still gets requests, because only its responses show that the limit has ended.
	minTargetRate = 0.5
	// targetRateRetention is how long the limit of a target that is not in the catalog is
	// kept. A new leader may learn of the limit before it learns of the target.
	targetRateRetention = time.Minute
)

// targetRate paces the grants of a target that states a rate limit.
type targetRate struct {
	// stated is the limit in requests per second.
	stated float64
	// statedAt is when the dispatcher last learned that the target has the limit.
	statedAt time.Duration
	bucket   bucket
}

// newTargetRate returns a rate with an empty bucket: an earlier leader may have granted all
// that the limit allowed so far.
func newTargetRate(now time.Duration) *targetRate {
	return &targetRate{bucket: bucket{refilledAt: now, startedAt: now}}
}

// set applies a limit in requests per second.
func (r *targetRate) set(now time.Duration, perSecond float64) {
	r.bucket.refill(now)
	r.stated, r.statedAt = perSecond, now
	rate := max(perSecond, minTargetRate)
	r.bucket.limits = Limits{RatePerSecond: rate, Burst: max(1, rate*targetBurst.Seconds())}
	r.bucket.tokens = min(r.bucket.tokens, r.bucket.capacity())
}

// available reports whether the limit allows a request now.
func (r *targetRate) available(now time.Duration) bool {
	r.bucket.refill(now)
	return r.bucket.tokens >= 1
}

// LimitTarget records the rate limit that a target states, in requests per second for all
// VMs together, and reports whether it differs from the limit known before.
func (d *Dispatcher) LimitTarget(now time.Duration, targetID string, perSecond float64) (changed bool) {
	r := d.rates[targetID]
	if r == nil {
		r = newTargetRate(now)
		d.rates[targetID] = r
		changed = true
	}
	changed = changed || r.stated != perSecond
	r.set(now, perSecond)
	if t := d.targets[targetID]; t != nil {
		t.rate = r
		d.updateServiceRate(t.Service)
	}
	return changed
}

// UnlimitTarget handles a response without a limit to the request with the given id. The
// limit of the target ends if the request was granted after the target last stated it;
// an earlier response may have been overtaken. It reports whether a limit ended, and
// returns the outcomes of waiting requests that can now be decided.
func (d *Dispatcher) UnlimitTarget(now time.Duration, targetID, requestID string) ([]Outcome, bool) {
	r, g := d.rates[targetID], d.grants[requestID]
	if r == nil || g == nil || g.target.ID != targetID || g.grantedAt <= r.statedAt {
		return nil, false
	}
	delete(d.rates, targetID)
	t := d.targets[targetID]
	if t == nil {
		return nil, true
	}
	t.rate = nil
	d.updateServiceRate(t.Service)
	return d.grantWaiting(now, t.Service), true
}

// TargetRate returns the rate limit of a target in requests per second, and whether it has
// one.
func (d *Dispatcher) TargetRate(targetID string) (float64, bool) {
	if r := d.rates[targetID]; r != nil {
		return r.stated, true
	}
	return 0, false
}

// attachRates connects the rate limits to a new set of targets, and drops those of targets
// that have long been unknown.
func (d *Dispatcher) attachRates(now time.Duration) {
	for id, r := range d.rates {
		if t := d.targets[id]; t != nil {
			t.rate = r
		} else if now > r.statedAt+targetRateRetention {
			delete(d.rates, id)
		}
	}
	for service := range d.targetsByService {
		d.updateServiceRate(service)
	}
}

// updateServiceRate records the sum of the rate limits if all targets of a service that
// accept requests have one or are cold.
func (d *Dispatcher) updateServiceRate(service string) {
	total := 0.0
	for _, t := range d.targetsByService[service] {
		if t.Draining {
			continue
		}
		rate, limited := t.grantRate()
		if !limited {
			d.queue(service).maxRate = 0
			return
		}
		total += rate
	}
	d.queue(service).maxRate = total
}
