package entry

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the decay of the organisations' token counters.
	usageHalfLife = time.Minute
	// usageLag is the interval at which entries learn the counters.
	usageLag = 500 * time.Millisecond
)

// Usage keeps the decayed token counter of each organisation. Readers see the
// values of the last interval, as entries do that receive them in batches.
type Usage struct {
	counters  []float64
	updated   time.Duration
	published []float64
	at        time.Duration
}

// NewUsage returns counters of zero.
func NewUsage(organisations int) *Usage {
	return &Usage{counters: make([]float64, organisations), published: make([]float64, organisations)}
}

// Record adds tokens to the organisation's counter.
func (u *Usage) Record(now time.Duration, organisation int, tokens int64) {
	u.decay(now)
	u.counters[organisation] += float64(tokens)
}

// Read returns the organisation's counter and its part of all counters.
func (u *Usage) Read(now time.Duration, organisation int) (int64, float64) {
	if now-u.at >= usageLag {
		u.decay(now)
		copy(u.published, u.counters)
		u.at = now
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

func (u *Usage) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-u.updated) / float64(usageHalfLife))
	u.updated = now
	for i := range u.counters {
		u.counters[i] *= factor
	}
}
