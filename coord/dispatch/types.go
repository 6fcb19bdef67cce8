// Package dispatch decides where and when requests run. One dispatcher sees
// every request of a deployment from admission to completion, so it knows the
// load of each target without reports: it charges the organisation's rate,
// places the request with coord/placement, and holds it back while all targets
// of its service are busy.
//
// The package is a state machine without I/O: callers pass the time and
// execute the returned grants. It is not safe for concurrent use.
//
// Invariants:
//   - a request that has an outcome (grant or refusal) gets no second one,
//     unless it is admitted again under the same id;
//   - an organisation's admissions in any window of length T are at most
//     rate x T + burst;
//   - a target that is draining or gone gets no new grant.
package dispatch

import "time"

// Target is a target as the catalog describes it.
type Target struct {
	// ID is the target's id.
	ID string
	// Service is what it serves.
	Service string
	// DataCentre is where it runs.
	DataCentre string
	// Slots is how many requests it runs at once.
	Slots int
	// KVCapacity is an engine's memory in tokens; 0 for plain services.
	KVCapacity int64
	// Draining targets get no new request.
	Draining bool
}

// Part is a piece of a prompt that requests may share.
type Part struct {
	// ID identifies the content.
	ID string `json:"i"`
	// Tokens is its length.
	Tokens int64 `json:"t"`
}

// Limits are an organisation's rate and burst.
type Limits struct {
	// Version is the configuration that they come from; the highest is in force.
	Version int64 `json:"v"`
	// RatePerSecond of 0 means no limit.
	RatePerSecond float64 `json:"r,omitempty"`
	Burst         float64 `json:"b,omitempty"`
}

// Request asks for a target.
type Request struct {
	// ID identifies the attempt; asking again under the same id replaces the first question.
	ID string `json:"id"`
	// Organisation is charged; empty for public routes.
	Organisation string `json:"o,omitempty"`
	// Limits are the organisation's as the asking VM knows them.
	Limits Limits `json:"l"`
	// Fingerprint identifies the content of the request for its organisation; 0 if unknown.
	Fingerprint uint64 `json:"f,omitempty"`
	// Service selects the targets.
	Service string `json:"s"`
	// Program is the program's id; empty without one.
	Program string `json:"g,omitempty"`
	// Newcomer marks the first request of a program, UnderWay any later one;
	// neither is set for requests without a program.
	Newcomer bool `json:"n,omitempty"`
	UnderWay bool `json:"u,omitempty"`
	// Priority ranks the request's organisation, or its route where the
	// organisation has no rank; 0 is the most urgent.
	Priority int `json:"p,omitempty"`
	// RoutePriority ranks the route; it decides among requests of equal Priority.
	RoutePriority int `json:"rp,omitempty"`
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration `json:"w"`
	// ProgramLeft is the time in which the program should end; 0 without a
	// program, negative if it is late already.
	ProgramLeft time.Duration `json:"pl,omitempty"`
	// OutputTokens bounds what an engine generates.
	OutputTokens int64 `json:"ot,omitempty"`
	// Parts are the prompt, in order.
	Parts []Part `json:"q,omitempty"`
	// Exclude are targets that have already failed this request.
	Exclude []string `json:"x,omitempty"`
	// DataCentre is where the asking VM runs.
	DataCentre string `json:"d,omitempty"`
}

func (r *Request) promptTokens() int64 {
	total := int64(0)
	for _, p := range r.Parts {
		total += p.Tokens
	}
	return total
}

// Refusal says why a request does not run.
type Refusal string

const (
	// OverRate means that the organisation has no tokens left.
	OverRate Refusal = "over_rate"
	// NoTarget means that no target of the service is known.
	NoTarget Refusal = "no_target"
	// Quarantined means that the request has taken targets down.
	Quarantined Refusal = "quarantined"
	// Overloaded means that no target will be free in time.
	Overloaded Refusal = "overloaded"
	// Expired means that the caller's time ran out while the request waited.
	Expired Refusal = "expired"
)

// Outcome is the decision about one request: Target, Refusal, or neither while it waits.
type Outcome struct {
	// ID is the request's.
	ID string
	// Target is where it runs.
	Target string
	// Refusal says that it does not run.
	Refusal Refusal
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Waited is how long it was held back.
	Waited time.Duration
	// Cached is how many tokens of its prompt the target is expected to hold.
	Cached int64
	// Reason explains the choice.
	Reason string
}

// Waiting says that the request has been queued.
func (o Outcome) Waiting() bool { return o.Target == "" && o.Refusal == "" }

// Result is how a request ended at its target.
type Result string

const (
	// Completed means that the target answered.
	Completed Result = "ok"
	// Failed means that the target answered with an error of its own.
	Failed Result = "failed"
	// NotRun means that the target refused the request because it is full.
	NotRun Result = "not_run"
	// WrongTarget means that another target has the address.
	WrongTarget Result = "wrong_target"
	// Unreachable means that no connection could be made.
	Unreachable Result = "unreachable"
	// Broken means that the answer was lost or incomplete.
	Broken Result = "broken"
	// Abandoned means that the caller left or its time ran out.
	Abandoned Result = "abandoned"
)
