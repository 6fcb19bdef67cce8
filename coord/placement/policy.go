package placement

import "time"

// Policy holds the parameters of the placement and priority rules. They are the
// same for every profile; profiles differ only in their Weights.
type Policy struct {
	// SampleSize is the number of candidates that are evaluated in addition to those
	// that hold the program's prefix. If there are no more candidates than this, all
	// are evaluated.
	SampleSize int
	// ReportHalfLife is the age at which a load report has half of its weight. The
	// other half is the mean load of the evaluated candidates. Targets announce
	// their load every second; the default halves the weight of a report in the
	// middle of that interval. At 0, reports keep their full weight.
	ReportHalfLife time.Duration
	// EvictWeight is the cost, in prefill tokens, of one cached token of other
	// programs that is evicted because the target's memory overflows.
	EvictWeight float64
	// PrefillWeight is the factor on the cost of the request's prefill when the
	// target runs a full batch: prefill delays all calls that run on the target.
	PrefillWeight float64
	// ShareScale multiplies the organisation's share of recent tokens in the rank: a
	// share of 1/ShareScale or more has the maximum effect.
	ShareScale float64
	// ExcessWeight is the weight of an organisation's use above its entitlement,
	// relative to the sum of the profile's weights. It applies to every profile.
	ExcessWeight float64
	// QueueTokens is the cost, in prefill tokens, of a full batch of waiting
	// requests for a request that ranks last in its priority class. Requests of a
	// better rank overtake most of the queue and pay less.
	QueueTokens float64
	// BusyTokens is the cost, in prefill tokens, of a full running batch.
	BusyTokens float64
	// JitterTokens is the upper bound, in prefill tokens, of a random cost. It
	// spreads the requests of several entries that see the same reports.
	JitterTokens float64
	// MaxQueue is the number of waiting batches at which a target accepts no new
	// programs.
	MaxQueue float64
	// MaxQueueStarted is the number of waiting batches at which a target accepts
	// no further calls of started programs. It is above MaxQueue because refusing
	// such a call loses the work that the program has done so far.
	MaxQueueStarted float64
	// BatchTime is the typical time to serve a full batch; Decision.RetryAfter is
	// proportional to it.
	BatchTime time.Duration
}

// DefaultPolicy returns the parameters of the standard policy, which entries use
// and the policy bench checks.
func DefaultPolicy() Policy {
	return Policy{
		SampleSize:      24,
		ReportHalfLife:  500 * time.Millisecond,
		EvictWeight:     4,
		PrefillWeight:   4,
		ShareScale:      2,
		ExcessWeight:    0.5,
		QueueTokens:     10000,
		BusyTokens:      2000,
		JitterTokens:    1000,
		MaxQueue:        32,
		MaxQueueStarted: 64,
		BatchTime:       5 * time.Second,
	}
}

// These are the values of Decision.Reason.
const (
	// ReasonCached means that the chosen target holds a part of the prefix.
	ReasonCached = "cached"
	// ReasonConnected means that a connection to the chosen target is open.
	ReasonConnected = "connected"
	// ReasonLoad means that the chosen target has the lowest cost although it holds
	// no part of the prefix.
	ReasonLoad = "load"
	// ReasonSuspect means that every evaluated target with room has recent failures.
	ReasonSuspect = "suspect"
	// ReasonOverloaded means that the queue of every evaluated target is full.
	ReasonOverloaded = "overloaded"
	// ReasonNoTarget means that there are no candidates.
	ReasonNoTarget = "no_target"
)
