package ledger

import (
	"maps"
	"time"
)

// knownRateRetention is how long an entry remembers the rate limit of a target that no
// response has confirmed.
const knownRateRetention = time.Minute

// knownRates holds the rate limits of targets that an entry knows, so that it can repeat
// them to a new leader, which knows none. It is not safe for concurrent use.
type knownRates map[string]knownRate

// knownRate is the limit of one target in requests per second.
type knownRate struct {
	perSecond   float64
	confirmedAt time.Time
}

// RateObservation is what a target's response to a granted request says about the target's
// rate limit.
type RateObservation struct {
	TargetRate
	// Granted is the limit that the leader knew when it granted the request, and GrantedAt
	// is when the grant arrived.
	Granted   *float64
	GrantedAt time.Time
}

// Changed reports whether the response says something that the leader did not know when it
// granted the request.
func (o RateObservation) Changed() bool {
	if o.Granted == nil || o.PerSecond == nil {
		return o.Granted != o.PerSecond
	}
	return *o.Granted != *o.PerSecond
}

// confirm stores a limit that a response or a grant states.
func (k knownRates) confirm(target string, perSecond float64) {
	if _, known := k[target]; !known {
		k.dropUnconfirmed()
	}
	k[target] = knownRate{perSecond, time.Now()}
}

// observe stores what a response says. A response without a limit ends the known one if its
// request was granted after that was last confirmed.
func (k knownRates) observe(o RateObservation) {
	if o.PerSecond != nil {
		k.confirm(o.Target, *o.PerSecond)
		return
	}
	if known, ok := k[o.Target]; ok && o.GrantedAt.After(known.confirmedAt) {
		delete(k, o.Target)
	}
}

// dropUnconfirmed removes the limits that have not been confirmed for knownRateRetention.
func (k knownRates) dropUnconfirmed() {
	maps.DeleteFunc(k, func(_ string, rate knownRate) bool { return time.Since(rate.confirmedAt) > knownRateRetention })
}

// reports returns the confirmed limits as reports to a new leader.
func (k knownRates) reports() []TargetRate {
	k.dropUnconfirmed()
	reports := make([]TargetRate, 0, len(k))
	for target, rate := range k {
		reports = append(reports, TargetRate{Target: target, PerSecond: &rate.perSecond})
	}
	return reports
}

// ObserveRate records what a target's response says about its rate limit, and reports it to
// the leader if that did not know it. A leader that is elected later gets the known limits
// before it gets requests.
func (c *Client) ObserveRate(o RateObservation) {
	c.mu.Lock()
	c.rates.observe(o)
	l := c.link
	c.mu.Unlock()
	if l == nil || !o.Changed() {
		return
	}
	if err := l.send(kindTargetRates, []TargetRate{o.TargetRate}); err != nil {
		c.connectionFailed(l, err)
	}
}
