package entry

import "time"

// Bucket is an exact token bucket for the requests of one organisation over all
// entries.
type Bucket struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
	tokens      float64
	updated     time.Duration
	// excess is the largest number of admitted requests above rate x time over
	// all windows that end at audited. It verifies the bucket independently.
	excess  float64
	audited time.Duration
	// Over counts the requests that were admitted above rate x time + burst.
	Over int
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64) *Bucket {
	return &Bucket{Rate: rate, Burst: burst, tokens: burst}
}

// Take admits one request or returns the time until the next one fits.
func (b *Bucket) Take(now time.Duration) (bool, time.Duration) {
	b.tokens = min(b.Burst, b.tokens+(now-b.updated).Seconds()*b.Rate)
	b.updated = now
	if b.tokens < 1 {
		return false, max(1, time.Duration((1-b.tokens)/b.Rate*float64(time.Second)))
	}
	b.tokens--
	b.audit(now)
	return true, 0
}

// auditTolerance absorbs rounding, in requests.
const auditTolerance = 1e-6

func (b *Bucket) audit(now time.Duration) {
	b.excess = max(0, b.excess-(now-b.audited).Seconds()*b.Rate) + 1
	b.audited = now
	if b.excess > b.Burst+auditTolerance {
		b.Over++
	}
}
