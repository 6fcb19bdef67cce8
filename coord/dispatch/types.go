// Package dispatch decides where and when requests run. One dispatcher sees every
// request of a deployment from admission to completion, so it knows the load of each
// target without reports. It charges the organisation's rate limit, places the
// request with coord/placement, and queues it while all targets of its service are
// busy.
//
// The package is a state machine without I/O: callers pass the time and execute the
// returned grants. It is not safe for concurrent use.
//
// Invariants:
//   - A request that has an outcome (grant or refusal) gets no second one, unless
//     it is admitted again under the same id.
//   - An organisation's admissions in any window of length T are at most rate x T +
//     burst.
//   - A target that is draining or gone gets no new grant.
package dispatch

import (
	"slices"
	"time"
)

// Target describes a target as the catalog records it.
type Target struct {
	// ID identifies the target.
	ID string
	// Service is the name of the service that the target belongs to.
	Service string
	// DataCentre is the data centre in which the target runs.
	DataCentre string
	// Software is the version of the target's software; empty if it states none.
	Software string
	// Started is when the process of the target started, in Unix milliseconds.
	Started int64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// KVCapacity is the size of an engine's KV cache in tokens; 0 for plain
	// services.
	KVCapacity int64
	// Draining is set while the target gets no new requests.
	Draining bool
	// Evacuated is set, in addition to Draining, while its data centre is evacuated.
	Evacuated bool
	// ColdUntil is the time until which the target is cold, and ColdPerSecond the number of
	// requests per second that it accepts until then; 0 means no limit.
	ColdUntil     time.Duration
	ColdPerSecond float64
	// MaxConnections is the maximum number of connections that the target accepts from all
	// VMs together; 0 means no limit.
	MaxConnections int
}

// Part is a section of a prompt that several requests may share.
type Part struct {
	// ID identifies the content of the part.
	ID string `json:"i"`
	// Tokens is the length of the part in tokens.
	Tokens int64 `json:"t"`
}

// Limits holds the rate limit of an organisation.
type Limits struct {
	// Version is the configuration version of the limits; the highest version
	// applies.
	Version int64 `json:"v"`
	// RatePerSecond is the sustained number of requests per second, and Burst the
	// capacity of the token bucket in requests. A rate of 0 means no limit.
	RatePerSecond float64 `json:"r,omitempty"`
	Burst         float64 `json:"b,omitempty"`
}

// Request describes a request that needs a target.
type Request struct {
	// ID identifies the attempt; a request with the same id replaces an earlier one.
	ID string `json:"id"`
	// Organisation is the organisation whose rate limit is charged; empty for public
	// routes.
	Organisation string `json:"o,omitempty"`
	// Limits is the organisation's rate limit as the sending VM knows it.
	Limits Limits `json:"l"`
	// Fingerprint identifies the content of the request within its organisation; 0
	// if unknown.
	Fingerprint uint64 `json:"f,omitempty"`
	// Service is the name of the service whose targets may run the request.
	Service string `json:"s"`
	// Program is the id of the request's program; empty if it has none.
	Program string `json:"g,omitempty"`
	// StartsProgram marks the first request of a program, ContinuesProgram any later
	// one. Neither is set for requests without a program.
	StartsProgram    bool `json:"n,omitempty"`
	ContinuesProgram bool `json:"u,omitempty"`
	// Priority is the priority of the organisation, or of the route if the
	// organisation has none; 0 is the most urgent.
	Priority int `json:"p,omitempty"`
	// RoutePriority is the priority of the route, which orders requests of equal
	// Priority; 0 is the most urgent.
	RoutePriority int `json:"rp,omitempty"`
	// TimeLeft is how long the caller still waits for the answer.
	TimeLeft time.Duration `json:"w"`
	// ProgramTimeLeft is the time in which the program should end; 0 without a
	// program, negative if the program is already late.
	ProgramTimeLeft time.Duration `json:"pl,omitempty"`
	// OutputTokens is the maximum number of tokens that an engine generates for the
	// request.
	OutputTokens int64 `json:"ot,omitempty"`
	// BudgetTurns is the number of turns that the token budget of the program allows; 0 if
	// unknown. It is set for the first request of a program.
	BudgetTurns float64 `json:"bt,omitempty"`
	// Parts holds the sections of the prompt, in order.
	Parts []Part `json:"q,omitempty"`
	// Target is the id of the only target that may get the request, because it continues a
	// stream there; empty if any target of the service may.
	Target string `json:"tg,omitempty"`
	// Stream is set if the response is a stream of events.
	Stream bool `json:"st,omitempty"`
	// Continues is set if the caller already has events of the stream.
	Continues bool `json:"ct,omitempty"`
	// Origin is what began the stream that the request continues; nil if the sending VM
	// does not know it. Resumes is the id of the request that began it.
	Origin  *Origin `json:"og,omitempty"`
	Resumes string  `json:"rs,omitempty"`
	// Exclude lists the ids of targets that have already failed to run this request.
	Exclude []string `json:"x,omitempty"`
	// Unreachable lists the ids of targets that the sending VM can't reach.
	Unreachable []string `json:"ur,omitempty"`
	// DataCentre is the data centre of the sending VM.
	DataCentre string `json:"d,omitempty"`
	// SameProcess is set if the sending VM continues the stream on a connection to Target that
	// it had opened before the stream began. It is not a part of the encoded request, whose
	// fields earlier releases count.
	SameProcess bool `json:"-" msgpack:"-"`
	// Affinity is the hash of the object that the request is about; 0 if it has none, or if its
	// route is not sticky. Like SameProcess, it is not a part of the encoded request.
	Affinity uint64 `json:"-" msgpack:"-"`

	// origin is the request whose grant states the origin of the stream that the request
	// continues, and inDoubt is set while the software of that origin is uncertain.
	origin  string
	inDoubt bool
	// Entry identifies the sending VM; empty if unknown. The receiver sets it, so it is not
	// part of the message.
	Entry string `json:"-" msgpack:"-"`
}

// pinned reports whether only some targets of the service may get the request.
func (r *Request) pinned() bool { return r.Target != "" || r.Origin != nil }

// allows reports whether the request may run at a target of its service.
func (r *Request) allows(t *target) bool {
	if r.Origin != nil && r.Origin.Software != t.Software {
		return false
	}
	return r.Target == "" || r.Target == t.ID
}

// reaches reports whether the sending VM can reach a target.
func (r *Request) reaches(t *target) bool { return !slices.Contains(r.Unreachable, t.ID) }

func (r *Request) promptTokens() int64 {
	total := int64(0)
	for _, p := range r.Parts {
		total += p.Tokens
	}
	return total
}

// Refusal is the reason why a request does not run.
type Refusal string

const (
	// OverRate means that the organisation has exceeded its rate limit.
	OverRate Refusal = "over_rate"
	// NoTarget means that no target of the service is known.
	NoTarget Refusal = "no_target"
	// Evacuated means that the only targets of the service are in evacuated data centres.
	Evacuated Refusal = "evacuated"
	// SoftwareGone means that no target with the software that began the stream accepts
	// requests. The caller has to start over.
	SoftwareGone Refusal = "software_gone"
	// OriginUnknown means that it is not known any more which software began the stream.
	// The caller has to start over.
	OriginUnknown Refusal = "origin_unknown"
	// PathLost means that there are targets for the request, but the sending VM can reach
	// none of them. Another VM may be able to.
	PathLost Refusal = "path_lost"
	// Overloaded means that no target is expected to be free before the caller's
	// time runs out.
	Overloaded Refusal = "overloaded"
	// Expired means that the caller's time ran out while the request waited.
	Expired Refusal = "expired"
)

// Outcome is the decision about one request. Either Target or Refusal is set, or
// neither while the request waits.
type Outcome struct {
	// ID identifies the request.
	ID string
	// Target is the id of the target that the request is granted to.
	Target string
	// Refusal is the reason why the request does not run.
	Refusal Refusal
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Waited is how long the request waited for its outcome.
	Waited time.Duration
	// Cached is the number of prompt tokens that the target is expected to have
	// cached.
	Cached int64
	// Reason explains the choice of the target, for logs.
	Reason string
	// FairShare is set if a new program is refused because its organisation is above its
	// share of a scarce capacity.
	FairShare *FairShare
}

// Waiting reports whether the request is queued.
func (o Outcome) Waiting() bool { return o.Target == "" && o.Refusal == "" }

// Result is the way in which a request ended at its target.
type Result string

const (
	// Completed means that the target answered.
	Completed Result = "ok"
	// Failed means that the target answered with an error.
	Failed Result = "failed"
	// NotRun means that the target refused the request because it is full.
	NotRun Result = "not_run"
	// WrongTarget means that another target uses the address now.
	WrongTarget Result = "wrong_target"
	// Unreachable means that no connection could be made.
	Unreachable Result = "unreachable"
	// NoPath means that no connection could be made by a VM that has lost the links to all
	// targets. It says nothing about the target.
	NoPath Result = "no_path"
	// Leaving means that the request was not sent, because the target has stated that it
	// leaves, or is draining or gone in the catalog of the sending VM.
	Leaving Result = "leaving"
	// NotSentEvacuated means that the request was not sent, because the target's data centre is
	// evacuated.
	NotSentEvacuated Result = "evacuated"
	// NotSentLate means that the request was not sent, because its target is cold and the grant
	// was too old.
	NotSentLate Result = "late_grant"
	// Broken means that the answer was lost or incomplete.
	Broken Result = "broken"
	// Abandoned means that the caller disconnected or its time ran out.
	Abandoned Result = "abandoned"
)
