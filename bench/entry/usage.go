package entry

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time in which the token counters decay to half their value.
	usageHalfLife = time.Minute
	// usagePublishInterval is the interval at which the entries receive the counters.
	usagePublishInterval = 500 * time.Millisecond
)

// Usage holds an exponentially decaying token counter for each organisation. The
// values that Read returns are up to usagePublishInterval old, because entries receive
// the counters in batches.
type Usage struct {
	counters    []float64
	decayedAt   time.Duration
	published   []float64
	publishedAt time.Duration
}

// NewUsage returns counters that are 0 for all organisations.
func NewUsage(organisations int) *Usage {
	return &Usage{counters: make([]float64, organisations), published: make([]float64, organisations)}
}

// Record adds tokens to the organisation's counter.
func (u *Usage) Record(now time.Duration, organisation int, tokens int64) {
	u.decay(now)
	u.counters[organisation] += float64(tokens)
}

// Read returns the organisation's counter and the counter's share of the sum of all
// counters, or zeros if the sum is 0.
func (u *Usage) Read(now time.Duration, organisation int) (int64, float64) {
	if now-u.publishedAt >= usagePublishInterval {
		u.decay(now)
		copy(u.published, u.counters)
		u.publishedAt = now
	}
	sum := 0.0
	for _, c := range u.published {
		sum += c
	}
	if sum == 0 {
		return 0, 0
	}
	return int64(u.published[organisation]), u.published[organisation] / sum
}

// decay reduces all counters for the time since the previous decay.
func (u *Usage) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-u.decayedAt) / float64(usageHalfLife))
	u.decayedAt = now
	for i := range u.counters {
		u.counters[i] *= factor
	}
}
