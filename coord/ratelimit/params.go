// Package ratelimit enforces an organisation's rate and burst across all entry VMs.
// The owner of the organisation's shard keeps a token bucket, and the entry VMs acquire
// tokens from it for their waiting requests.
//
// A grant can be used only for a short validity. The validity is measured on the
// requester's clock and starts when the requester sends the acquisition. The owner
// decides after that moment, so a request is admitted less than the validity after the
// owner's decision. The admissions in any window of length T therefore result from
// decisions in a window of length T + validity, and a bucket of capacity
// burst - rate x validity keeps them within rate x T + burst. The clocks of different
// VMs are never compared.
//
// Requests for which the bucket has too few tokens reserve tokens that will arrive
// within MaxWait. For them, the arrival of the tokens replaces the owner's decision
// in the argument above.
//
// A new owner starts after the previous owner's last decision, either with empty buckets
// or with those that the previous owner handed over. The admissions of both together are
// therefore those of a single bucket.
package ratelimit

import (
	"math"
	"time"

	"hemlockvale.dev/coord/fleet"
)

const (
	// MaxValidity is the longest validity of a grant. MaxWait + MaxValidity must be less
	// than membership.DeadAfter - membership.LeaseDuration, so that the grants of a dead
	// owner have expired when the next owner starts.
	MaxValidity = 100 * time.Millisecond
	// MinValidity is the shortest validity of a grant; a call to another data centre fits
	// into it.
	MinValidity = 10 * time.Millisecond
)

// BucketParams holds the parameters of a token bucket that enforces a rate and a burst.
type BucketParams struct {
	// Rate is the number of tokens that the bucket gains per second.
	Rate float64
	// Capacity is the largest number of tokens that the bucket holds.
	Capacity float64
	// Validity is how long a grant can be used after its acquisition was sent.
	Validity time.Duration
}

// BucketParamsFor returns the parameters of the bucket that enforces l, or false if l
// sets no limit.
//
// The capacity is the burst minus the tokens that arrive during the validity. The validity
// is chosen so that these are at most half of (burst - 1), unless MinValidity requires
// more. If the burst is smaller than one request plus the tokens that arrive during
// MinValidity, the capacity is one request and the rate is reduced just far enough that
// windows with a whole number of admissions stay within the limits.
func BucketParamsFor(l fleet.Limits) (BucketParams, bool) {
	if l.RatePerSecond <= 0 {
		return BucketParams{}, false
	}
	rate, burst := l.RatePerSecond, max(l.Burst, 1)
	validity := time.Duration(min((burst-1)/(2*rate), MaxValidity.Seconds()) * float64(time.Second))
	validity = max(validity, MinValidity)
	validityTokens := rate * validity.Seconds()
	if burst-validityTokens >= 1 {
		return BucketParams{Rate: rate, Capacity: burst - validityTokens, Validity: validity}, true
	}
	// With capacity 1, validity V and reduced rate r', a window of length T holds at most
	// 1 + floor((T+V) r') admissions. The tightest case is floor = wholeBurst, and
	// reducedRate is the r' that meets the limit there.
	wholeBurst := math.Floor(burst)
	reducedRate := rate * wholeBurst / (wholeBurst + 1 - burst + validityTokens)
	return BucketParams{Rate: reducedRate, Capacity: 1, Validity: validity}, true
}
