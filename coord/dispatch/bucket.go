package dispatch

import "time"

// bucket is the token bucket that limits the request rate of an organisation.
type bucket struct {
	limits     Limits
	tokens     float64
	refilledAt time.Duration
	// startedAt is when the dispatcher started to grant. The bucket then held only
	// the initial credit.
	startedAt time.Duration
}

// initialCredit is the time for which a new dispatcher credits the rate. The
// previous dispatcher has granted nothing for at least that long.
const initialCredit = 200 * time.Millisecond

// newBucket returns the bucket of a dispatcher that started to grant at startedAt.
func newBucket(startedAt time.Duration, l Limits) *bucket {
	b := &bucket{limits: l, refilledAt: startedAt, startedAt: startedAt}
	b.tokens = b.unusedLevel(startedAt)
	return b
}

// capacity returns the maximum number of tokens that the bucket holds.
func (b *bucket) capacity() float64 { return max(b.limits.Burst, 1) }

// unusedLevel returns the number of tokens that the bucket would hold if no request
// had been charged since startedAt.
func (b *bucket) unusedLevel(now time.Duration) float64 {
	return min(b.capacity(), max(1, b.limits.RatePerSecond*(initialCredit+now-b.startedAt).Seconds()))
}

// updateLimits applies the limits of a higher version; it ignores all others.
func (b *bucket) updateLimits(now time.Duration, l Limits) {
	if l.Version <= b.limits.Version {
		return
	}
	b.refill(now)
	b.limits = l
	b.tokens = min(b.tokens, b.capacity())
}

// refill adds the tokens that have become available since the last refill.
func (b *bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.capacity(), b.tokens+b.limits.RatePerSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

const (
	// maxRateWait bounds how long a request of a started program waits for a token.
	// Refusing the request would waste the work that the program has already done. The
	// tokens are paid for by the programs that the organisation starts later.
	maxRateWait = 2 * time.Second
	// rateWaitShare is the share of the caller's remaining time that this wait may
	// take.
	rateWaitShare = 0.8
)

// take charges one request and returns how long the request has to wait for its
// token. If ok is false, the request gets no token, and wait is the time until one
// may be available.
func (b *bucket) take(now time.Duration, r *Request) (wait time.Duration, ok bool) {
	if b.limits.RatePerSecond <= 0 {
		return 0, true
	}
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	wait = time.Duration((1 - b.tokens) / b.limits.RatePerSecond * float64(time.Second))
	maxWait := min(maxRateWait, time.Duration(rateWaitShare*float64(r.TimeLeft)))
	if r.ContinuesProgram && wait <= maxWait {
		b.tokens--
		return wait, true
	}
	return wait, false
}

// refund returns the token of a request that did not run.
func (b *bucket) refund() { b.tokens = min(b.capacity(), b.tokens+1) }
