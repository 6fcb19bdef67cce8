package entry

import "time"

// Bucket is an exact token bucket that limits the calls of one organisation through all
// entries together.
type Bucket struct {
	// Rate is in calls per second, Burst in calls.
	Rate, Burst float64
	available   float64
	lastRefill  time.Duration
	// excess is the largest number of calls admitted above rate x time in any window that
	// ends at lastAudit. It lets audit verify the bucket independently of available.
	excess    float64
	lastAudit time.Duration
	// AdmittedOverLimit is the number of calls that were admitted above
	// rate x time + burst.
	AdmittedOverLimit int
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64) *Bucket {
	return &Bucket{Rate: rate, Burst: burst, available: burst}
}

// Take admits one call, or returns the time until the next one can be admitted.
func (b *Bucket) Take(now time.Duration) (bool, time.Duration) {
	b.available = min(b.Burst, b.available+(now-b.lastRefill).Seconds()*b.Rate)
	b.lastRefill = now
	if b.available < 1 {
		return false, max(1, time.Duration((1-b.available)/b.Rate*float64(time.Second)))
	}
	b.available--
	b.audit(now)
	return true, 0
}

// auditTolerance absorbs rounding, in calls.
const auditTolerance = 1e-6

// audit checks an admitted call against the limit.
func (b *Bucket) audit(now time.Duration) {
	b.excess = max(0, b.excess-(now-b.lastAudit).Seconds()*b.Rate) + 1
	b.lastAudit = now
	if b.excess > b.Burst+auditTolerance {
		b.AdmittedOverLimit++
	}
}
