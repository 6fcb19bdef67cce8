package placement

import "time"

// Policy holds the constants of the placement and priority rules. They are the
// same for every profile; profiles differ in Weights only.
type Policy struct {
	// Sample is how many candidates are weighed besides those that hold the
	// program's prefix.
	Sample int
	// ReportHalfLife is the age at which a load report counts half. The other
	// half is the mean load of the weighed candidates. Targets announce their load
	// every second, so that a report is half trusted at the middle of the interval.
	ReportHalfLife time.Duration
	// EvictWeight is the cost of a token that others lose when the target's
	// memory overflows, in prefill tokens.
	EvictWeight float64
	// PrefillWeight scales the cost of own prefill on a full batch: prefill
	// delays all calls that run on the target.
	PrefillWeight float64
	// ShareScale multiplies the organisation's share in the priority: a share of
	// 1/ShareScale or more counts in full.
	ShareScale float64
	// ExcessWeight is how much an organisation's use above its entitlement counts,
	// relative to the sum of the profile's weights. It applies to every profile.
	ExcessWeight float64
	// QueueTokens is the cost of a full batch of waiting requests to a request of
	// the last level, as a number of prefill tokens. Requests of earlier levels
	// overtake most of the queue.
	QueueTokens float64
	// BusyTokens is the cost of a full running batch, as a number of prefill
	// tokens.
	BusyTokens float64
	// JitterTokens bounds a random cost that spreads the requests of entries which
	// see the same reports, as a number of prefill tokens.
	JitterTokens float64
	// MaxQueue is the number of waiting batches at which a target takes no new
	// programs.
	MaxQueue float64
	// MaxQueueStarted is the number of waiting batches at which a target takes
	// no further calls of started programs. It is above MaxQueue because a
	// refusal there loses the work done so far.
	MaxQueueStarted float64
	// BatchTime is the usual time in which a full batch is served; it scales
	// RetryAfter.
	BatchTime time.Duration
}

// DefaultPolicy returns the constants that the policy bench has checked.
func DefaultPolicy() Policy {
	return Policy{
		Sample:          24,
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

// Reasons of decisions.
const (
	// ReasonCached means that the target holds a part of the prefix.
	ReasonCached = "cached"
	// ReasonLoad means that the target has the lowest cost without a prefix.
	ReasonLoad = "load"
	// ReasonSuspect means that only suspect targets were left.
	ReasonSuspect = "suspect"
	// ReasonOverloaded means that every weighed target is full.
	ReasonOverloaded = "overloaded"
	// ReasonNoTarget means that there are no candidates.
	ReasonNoTarget = "no_target"
)
