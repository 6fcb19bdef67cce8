package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of the newest result in the moving averages.
	sampleWeight = 0.15
	// statsHalfLife is the age at which the averages have lost half of their
	// influence. A target that was slow or failing and gets no work is therefore
	// tried again.
	statsHalfLife = time.Second
	// minSamples is the number of results that are needed before the averages are
	// used.
	minSamples = 4
	// toleratedSlowness is the ratio of a target's unit time to the median of its
	// service up to which the target has no penalty.
	toleratedSlowness = 1.6
	// maxSlowness bounds the ratio that is used for the penalty.
	maxSlowness = 8.0
	// slownessPenalty is the cost of each multiple of the median time above the
	// first, and failurePenalty the cost of a target that always fails, both in
	// prefill tokens.
	slownessPenalty = 1500
	failurePenalty  = 12000
	// toleratedFailureRate is the failure rate up to which a target has no penalty,
	// because any target fails a request from time to time.
	toleratedFailureRate = 0.15
)

// targetStats holds moving averages of the recent speed and failure rate of a
// target. Health checks can be wrong in both directions, so placement uses the
// results of requests.
type targetStats struct {
	samples int
	// unitTime is the average time in seconds for one unit of work: a request of a
	// plain service, or a token of an engine.
	unitTime    float64
	failureRate float64
	updatedAt   time.Duration
}

// record adds the result of one request.
func (s *targetStats) record(now, duration time.Duration, units int64, failed bool) {
	// A result after a long pause is more relevant than the averages from before the
	// pause.
	weight := max(sampleWeight, 1-s.decay(now))
	s.updatedAt = now
	s.samples++
	failure := 0.0
	if failed {
		failure = 1
	}
	s.failureRate += (failure - s.failureRate) * weight
	if failed || units <= 0 {
		return
	}
	unitTime := duration.Seconds() / float64(units)
	if s.unitTime == 0 {
		s.unitTime = unitTime
		return
	}
	s.unitTime += (unitTime - s.unitTime) * weight
}

// requestTime returns the average time of a request of a plain service in seconds,
// or 0 if there are fewer than minSamples results.
func (s *targetStats) requestTime() float64 {
	if s.samples < minSamples {
		return 0
	}
	return s.unitTime
}

// decay returns the weight that the averages still have, from 1 down to 0.
func (s *targetStats) decay(now time.Duration) float64 {
	return math.Exp2(-float64(now-s.updatedAt) / float64(statsHalfLife))
}

// penalty returns the placement penalty of the target, in prefill tokens. The
// argument median is the median unit time of the service, in seconds.
func (s *targetStats) penalty(now time.Duration, median float64) int64 {
	if s.samples < minSamples {
		return 0
	}
	penalty := 0.0
	if median > 0 && s.unitTime > toleratedSlowness*median {
		penalty += slownessPenalty * (min(s.unitTime/median, maxSlowness) - 1)
	}
	if s.failureRate > toleratedFailureRate {
		penalty += failurePenalty * s.failureRate
	}
	if penalty == 0 {
		return 0
	}
	return int64(penalty * s.decay(now))
}

// medianUnitTime returns the median of the targets' unit times in seconds, or 0 if
// none is known.
func medianUnitTime(ts []*target) float64 {
	var times []float64
	for _, t := range ts {
		if t.stats.samples >= minSamples && t.stats.unitTime > 0 {
			times = append(times, t.stats.unitTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
