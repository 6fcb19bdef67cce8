// Package program is the aggregate of one agent program: the order of its
// calls, its budget, its at-most-once records and its history.
package program

import (
	"time"

	"hemlockvale.dev/coord/fleet"
)

// Ref identifies a program. Two organisations may use the same id.
type Ref struct {
	// Organisation owns the program.
	Organisation string `json:"organisation"`
	// ID is unique within the organisation; a sub-agent's id is parent/child.
	ID string `json:"id"`
}

// BeginCall asks for the program's turn.
type BeginCall struct {
	// Program is the program, or its lineage when Lineage is set.
	Program Ref `json:"program"`
	// Key is the idempotency key; it may be empty.
	Key string `json:"key,omitempty"`
	// Fingerprint is the hash of route and body.
	Fingerprint uint64 `json:"fingerprint"`
	// NonIdempotent requests run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Lineage says that Program.ID was derived from the messages; Head then selects the program.
	Lineage bool `json:"lineage,omitempty"`
	// Head is the hash of the messages through the last answer; 0 for a first call.
	Head uint64 `json:"head,omitempty"`
	// EstimatedTokens are reserved from the budget until the call is settled.
	EstimatedTokens int64 `json:"estimated_tokens,omitempty"`
	// Budget bounds the program, from the profile in force.
	Budget fleet.Budget `json:"budget"`
	// IdleTimeout ends the program when it makes no call for this long.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// ResendWindow is how long the outcome is kept for retries.
	ResendWindow time.Duration `json:"resend_window"`
	// WaitLimit bounds the time in the program's queue.
	WaitLimit time.Duration `json:"wait_limit"`
	// CallTimeout bounds the call itself; a longer one is settled as unknown.
	CallTimeout time.Duration `json:"call_timeout"`
	// Runner is the entry that will dispatch the call.
	Runner fleet.VMRef `json:"runner"`
	// Request identifies this attempt: a message that is delivered twice gets the same ticket.
	Request string `json:"request,omitempty"`
	// Revision is the fleet revision at which the runner knew itself to be registered.
	Revision uint64 `json:"revision,omitempty"`
}

// Ticket allows its holder to dispatch one call.
type Ticket struct {
	// Shard and Epoch identify the ownership under which the ticket was issued.
	Shard int    `json:"shard"`
	Epoch uint64 `json:"epoch"`
	// Sequence is the call's place in the program.
	Sequence uint64 `json:"sequence"`
	// Program is the program, resolved from its lineage where needed.
	Program Ref `json:"program"`
	// AttainedTokens is the service that the program has had so far.
	AttainedTokens int64 `json:"attained_tokens"`
	// Targets hold cache of the program.
	Targets []string `json:"targets,omitempty"`
	// LastCall is the program's last completed call on an engine.
	LastCall LastCall `json:"last_call,omitzero"`
	// SinceLastCall is the time between the end of that call and the ticket.
	SinceLastCall time.Duration `json:"since_last_call,omitempty"`
	// TokenLimit is the number of tokens that were reserved for the call and that it
	// must not exceed; 0 means that the budget does not bound tokens.
	TokenLimit int64 `json:"token_limit,omitempty"`
	// TimeLimit is how long the call may run: its timeout or the rest of the
	// program's seconds, whichever is less; 0 means unbounded.
	TimeLimit time.Duration `json:"time_limit,omitempty"`
}

// LastCall says where a program's prefix was cached last.
type LastCall struct {
	// Target ran the call.
	Target string `json:"target,omitempty"`
	// Tokens is the length of prompt and answer, which the target then held.
	Tokens int64 `json:"tokens,omitempty"`
	// Ended is the shard time of the call's end.
	Ended time.Duration `json:"ended,omitempty"`
}

// Outcome is how a call ended.
type Outcome string

const (
	// Completed calls have an answer.
	Completed Outcome = "completed"
	// NotRun calls certainly had no effect.
	NotRun Outcome = "not_run"
	// Unknown calls may have had an effect.
	Unknown Outcome = "unknown"
)

// StoredResponse is an answer kept for retries.
type StoredResponse struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the answer's media type.
	ContentType string `json:"content_type,omitempty"`
	// Body is the whole answer.
	Body []byte `json:"body,omitempty"`
}

// FinishCall settles a call.
type FinishCall struct {
	// Ticket is the one from BeginCall.
	Ticket Ticket `json:"ticket"`
	// Outcome is how the call ended.
	Outcome Outcome `json:"outcome"`
	// TokensUsed is charged to the budget in place of the reservation.
	TokensUsed int64 `json:"tokens_used,omitempty"`
	// Target ran the call and may hold cache of the program.
	Target string `json:"target,omitempty"`
	// Response is kept for retries; nil when there is none.
	Response *StoredResponse `json:"response,omitempty"`
	// HistoryDelta is appended to the program's history.
	HistoryDelta []byte `json:"history_delta,omitempty"`
	// Head is the hash of the messages through this answer.
	Head uint64 `json:"head,omitempty"`
}

// Refusal says why a call did not run.
type Refusal struct {
	// Code is stable, for programs.
	Code string `json:"code"`
	// Executed is "no" or "unknown".
	Executed string `json:"executed"`
	// RetryAfterMS is a hint in milliseconds; 0 means none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Detail is for people.
	Detail string `json:"detail,omitempty"`
}

// BeginResult is the answer to BeginCall; exactly one field is set.
type BeginResult struct {
	Ticket  *Ticket         `json:"ticket,omitempty"`
	Replay  *StoredResponse `json:"replay,omitempty"`
	Refusal *Refusal        `json:"refusal,omitempty"`
}
