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

// record stores what a response or a grant says about the limit of a target.
func (k knownRates) record(target string, perSecond *float64) {
	if perSecond == nil {
		delete(k, target)
		return
	}
	if _, known := k[target]; !known {
		k.dropUnconfirmed()
	}
	k[target] = knownRate{*perSecond, time.Now()}
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

// ReportRate tells the leader what a target's response says about its rate limit. A leader
// that is elected later gets the limit before it gets requests.
func (c *Client) ReportRate(r TargetRate) {
	c.mu.Lock()
	c.rates.record(r.Target, r.PerSecond)
	l := c.link
	c.mu.Unlock()
	if l == nil {
		return
	}
	if err := l.send(kindTargetRates, []TargetRate{r}); err != nil {
		c.connectionFailed(l, err)
	}
}
