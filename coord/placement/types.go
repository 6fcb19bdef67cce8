// Package placement implements the policy that chooses the target and the priority
// of each request.
package placement

import "time"

// Weights are the relative importance of a profile's goals. Negative weights count
// as 0; if both are 0, only latency counts.
type Weights struct {
	// Latency is the weight of program latency.
	Latency float64
	// Fairness is the weight of the service to the worst-served organisation.
	Fairness float64
}

// Request holds what the policy needs to know about a call before it runs.
type Request struct {
	// Organisation is the id of the organisation that owns the program.
	Organisation string
	// Program is the program's id.
	Program string
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int64
	// LastTarget is the id of the target that ran the program's last call; empty
	// if unknown. It comes from the program's record, which is available before
	// the target's cache event arrives.
	LastTarget string
	// LastTargetTokens is the length in tokens of that call's prompt and answer, which
	// LastTarget held after the call.
	LastTargetTokens int64
	// SinceLastCall is the time since that call ended; zero if unknown.
	SinceLastCall time.Duration
	// AttainedTokens is the attained service of the program: the tokens charged to
	// it so far. It is 0 for a new program.
	AttainedTokens int64
	// OrganisationTokens is the organisation's recent tokens, as a decaying counter.
	OrganisationTokens int64
	// OrganisationShare is the organisation's share of all recent tokens, from 0 to 1.
	OrganisationShare float64
	// OrganisationEntitlement is the organisation's share of all contracted rates,
	// from 0 to 1; zero if unknown.
	OrganisationEntitlement float64
	// Priority is the priority class of the profile; lower runs first.
	Priority int
	// Weights are the goals of the profile.
	Weights Weights
}

// Candidate is a target as one entry sees it. The fields that every decision
// reads for every candidate come first, so that they share one cache line.
type Candidate struct {
	// ID is the target's id.
	ID string
	// CachedTokens is the number of tokens of the program's prefix that the target
	// holds according to its cache events.
	CachedTokens int64
	// CacheAge is the age of the newest cache events received from the target.
	// While it is at least Request.SinceLastCall, the events are older than the
	// program's last call and the program's record is the better source.
	CacheAge time.Duration
	// DataCentre is the data centre in which the target runs.
	DataCentre string
	// Running and Waiting are the reported numbers of running and queued requests.
	Running, Waiting int
	// MaxBatch is the number of requests that the target runs at once; 0 if unknown.
	MaxBatch int
	// Outstanding is the number of requests that this entry has dispatched to the
	// target since the report.
	Outstanding int
	// OutstandingTokens is the work of the outstanding requests, in tokens.
	OutstandingTokens int64
	// KVUsed and KVCapacity are the used and the total size of the target's KV
	// cache in tokens. KVUsed includes cached prefixes of programs that have no
	// call running. KVCapacity is 0 if unknown.
	KVUsed, KVCapacity int64
	// ReportAge is the age of the load report.
	ReportAge time.Duration
	// TokensPerSecond is the reported prefill speed; 0 if unknown.
	TokensPerSecond float64
	// Suspect is set for a target with recent failures.
	Suspect bool
	// DistanceTokens is the cost of the network path to the target, in prefill tokens.
	DistanceTokens int64
	// Connected is set if the target is preferred because a connection to it is open. The
	// cost of a new connection is part of the DistanceTokens of other candidates.
	Connected bool
}

// Action is the outcome of a placement decision.
type Action int

const (
	// Dispatch sends the request to Decision.Target.
	Dispatch Action = iota
	// Refuse answers the caller that the request was not run.
	Refuse
)

// Decision is the result of Place.
type Decision struct {
	// Action is Dispatch or Refuse.
	Action Action
	// Target is the id of the chosen target; empty for refused requests.
	Target string
	// Priority is sent to the engine; lower runs first.
	Priority int
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Reason is the reason for the decision, one of the Reason constants.
	Reason string
	// Candidates is the number of candidates that were evaluated.
	Candidates int
	// CachedTokens is the number of prompt tokens expected to be cached on the
	// chosen target.
	CachedTokens int64
}
