// Package ratelimit enforces an organisation's rate and burst over all entry
// VMs. The owner of the organisation's shard keeps a token bucket; entries
// acquire tokens from it for the requests that wait.
//
// A grant may be used for a short validity, counted from the moment at which
// the acquisition was sent, on the requester's clock. The owner decides after
// that moment, so a request is admitted less than the validity after the
// owner's decision. The admissions of any window of length T therefore stem
// from decisions in a window of length T + validity, and a bucket of capacity
// burst - rate x validity keeps them within rate x T + burst. No clock is ever
// compared with another VM's clock.
//
// Requests that exceed the tokens by a little reserve tokens that will arrive
// within MaxWait: the decision then counts from the token's arrival.
//
// A new owner starts with an empty bucket, and only after the previous owner's
// last decision: total admissions are then those of one bucket.
package ratelimit

import (
	"math"
	"time"

	"hemlockvale.dev/coord/fleet"
)

const (
	// MaxValidity bounds the validity of a grant. MaxWait + MaxValidity must stay
	// under the difference between membership.DeadAfter and LeaseDuration, so that
	// grants of a dead owner have expired when the next owner starts.
	MaxValidity = 100 * time.Millisecond
	// MinValidity is the shortest validity that a call between data centres fits in.
	MinValidity = 10 * time.Millisecond
)

// Terms are the bucket that enforces some limits.
type Terms struct {
	// Rate is the number of tokens per second.
	Rate float64
	// Capacity is the most tokens that the bucket holds.
	Capacity float64
	// Validity is how long a grant may be used.
	Validity time.Duration
}

// TermsFor returns the bucket for some limits, and false if they limit nothing.
//
// Half of the burst beyond the first request is given up for the validity at
// most. A burst that does not even cover the requests of MinValidity leaves no
// capacity beyond one request; the rate is then lowered just so far that
// windows with an integral number of admissions stay within the limits.
func TermsFor(l fleet.Limits) (Terms, bool) {
	if l.RatePerSecond <= 0 {
		return Terms{}, false
	}
	rate, burst := l.RatePerSecond, max(l.Burst, 1)
	validity := time.Duration(min((burst-1)/(2*rate), MaxValidity.Seconds()) * float64(time.Second))
	validity = max(validity, MinValidity)
	inFlight := rate * validity.Seconds()
	if burst-inFlight >= 1 {
		return Terms{Rate: rate, Capacity: burst - inFlight, Validity: validity}, true
	}
	// With capacity 1, a window of length T holds at most 1 + floor((T+V) r')
	// admissions. The tightest case is floor = whole, which gives this r'.
	whole := math.Floor(burst)
	lowered := rate * whole / (whole + 1 - burst + inFlight)
	return Terms{Rate: lowered, Capacity: 1, Validity: validity}, true
}
