package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of the newest end in the averages.
	sampleWeight = 0.15
	// experienceHalfLife is the age at which an average counts half. A target
	// that was slow or failing and gets no work is thus tried again.
	experienceHalfLife = time.Second
	// minSamples is the number of ends before an average counts.
	minSamples = 4
	// usualSpread is the ratio to the service's median that is not worth avoiding.
	usualSpread = 1.6
	// maxSlowness bounds the ratio.
	maxSlowness = 8.0
	// slowTokens is the cost of each multiple of the median time, and failTokens
	// that of a target which always fails, in prefill tokens.
	slowTokens = 1500
	failTokens = 12000
	// usualFailures is the share of failures that every target has now and then.
	usualFailures = 0.15
)

// experience is how fast and how reliably a target has answered lately. Health
// checks may be wrong either way, so outcomes decide.
type experience struct {
	samples int
	// unitTime is the average time for one unit of work: a request of a plain
	// service, a token of an engine.
	unitTime float64
	failures float64
	at       time.Duration
}

// add records the end of a request.
func (e *experience) add(now, took time.Duration, units int64, failed bool) {
	// An end after a long pause says more than the averages from before it.
	weight := max(sampleWeight, 1-e.decay(now))
	e.at = now
	e.samples++
	outcome := 0.0
	if failed {
		outcome = 1
	}
	e.failures += (outcome - e.failures) * weight
	if failed || units <= 0 {
		return
	}
	each := took.Seconds() / float64(units)
	if e.unitTime == 0 {
		e.unitTime = each
		return
	}
	e.unitTime += (each - e.unitTime) * weight
}

// requestTime returns the average time of a request of a plain service in
// seconds, or 0 while too few have ended.
func (e *experience) requestTime() float64 {
	if e.samples < minSamples {
		return 0
	}
	return e.unitTime
}

// decay is how much the averages still count.
func (e *experience) decay(now time.Duration) float64 {
	return math.Exp2(-float64(now-e.at) / float64(experienceHalfLife))
}

// cost is the penalty of a target, in prefill tokens.
func (e *experience) cost(now time.Duration, median float64) int64 {
	if e.samples < minSamples {
		return 0
	}
	cost := 0.0
	if median > 0 && e.unitTime > usualSpread*median {
		cost += slowTokens * (min(e.unitTime/median, maxSlowness) - 1)
	}
	if e.failures > usualFailures {
		cost += failTokens * e.failures
	}
	return int64(cost * e.decay(now))
}

// medianTime returns the median of the targets' unit times, or 0.
func medianTime(ts []*target) float64 {
	var times []float64
	for _, t := range ts {
		if t.experience.samples >= minSamples && t.experience.unitTime > 0 {
			times = append(times, t.experience.unitTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
