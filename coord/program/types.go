// Package program implements the replicated state of agent programs. For each program
// it keeps the order of calls, the budget, the at-most-once records and the history.
package program

import (
	"time"

	"hemlockvale.dev/coord/fleet"
)

// Ref identifies a program. Two organisations may use the same program id.
type Ref struct {
	// Organisation is the id of the organisation that owns the program.
	Organisation string `json:"organisation"`
	// ID is unique within the organisation; the id of a sub-agent is that of its
	// parent, a slash and its own name.
	ID string `json:"id"`
}

// BeginCall is a request to start a call. A program runs one call at a time.
type BeginCall struct {
	// Program is the program of the call, or its lineage if Lineage is set.
	Program Ref `json:"program"`
	// Key is the idempotency key; it may be empty.
	Key string `json:"key,omitempty"`
	// Fingerprint is the hash of the request's route and body.
	Fingerprint uint64 `json:"fingerprint"`
	// NonIdempotent is set for requests that must run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Lineage is set if Program.ID was derived from the conversation's messages and
	// names a group of programs, of which Head selects one.
	Lineage bool `json:"lineage,omitempty"`
	// Head is the hash of the messages through the last answer; 0 for the first call
	// of a program.
	Head uint64 `json:"head,omitempty"`
	// EstimatedTokens is the number of tokens to reserve until the call is settled. If
	// it is 0 and a budget limits tokens, all remaining tokens are reserved.
	EstimatedTokens int64 `json:"estimated_tokens,omitempty"`
	// Budget is the budget of the program, from the profile in force.
	Budget fleet.Budget `json:"budget"`
	// IdleTimeout is the time without calls after which the program ends; 0 selects
	// DefaultIdleTimeout.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// ResendWindow is the time for which the outcome is kept for retries; 0 selects
	// DefaultResendWindow if there is a Key.
	ResendWindow time.Duration `json:"resend_window"`
	// WaitLimit is the maximum time that the call waits in the program's queue.
	WaitLimit time.Duration `json:"wait_limit"`
	// CallTimeout is the maximum run time of the call, after which it is settled as
	// unknown; 0 means no limit.
	CallTimeout time.Duration `json:"call_timeout"`
	// Runner is the VM of the entry that will dispatch the call.
	Runner fleet.VMRef `json:"runner"`
	// Request identifies this attempt, so that a message that is delivered twice gets
	// the same ticket.
	Request string `json:"request,omitempty"`
	// Revision is the fleet revision at which the runner knew itself to be registered.
	Revision uint64 `json:"revision,omitempty"`
}

// Ticket allows its holder to dispatch one call.
type Ticket struct {
	// Shard is the shard of the program.
	Shard int `json:"shard"`
	// Epoch is the epoch of the shard's owner that issued the ticket.
	Epoch uint64 `json:"epoch"`
	// Sequence is the call's sequence number; it increases with each call of a program.
	Sequence uint64 `json:"sequence"`
	// Program is the program, resolved from its lineage where needed.
	Program Ref `json:"program"`
	// AttainedTokens is the number of tokens charged to the program for settled calls.
	AttainedTokens int64 `json:"attained_tokens"`
	// Targets are the ids of the targets that may hold cached tokens of the program.
	Targets []string `json:"targets,omitempty"`
	// LastCall is the program's last completed call on an engine.
	LastCall LastCall `json:"last_call,omitzero"`
	// SinceLastCall is the time from the end of LastCall to the start of this call.
	SinceLastCall time.Duration `json:"since_last_call,omitempty"`
	// TokenLimit is the number of tokens that are reserved for the call, which it must
	// not exceed; 0 means that no budget limits tokens.
	TokenLimit int64 `json:"token_limit,omitempty"`
	// TimeLimit is the maximum run time of the call: its timeout or the remaining
	// seconds of the budget, whichever is less; 0 means no limit.
	TimeLimit time.Duration `json:"time_limit,omitempty"`
}

// LastCall is the last completed call of a program that ran on a target, which
// therefore had the program's prefix cached.
type LastCall struct {
	// Target is the id of the target that ran the call.
	Target string `json:"target,omitempty"`
	// Tokens is the length of prompt and answer in tokens, which the target held after
	// the call.
	Tokens int64 `json:"tokens,omitempty"`
	// EndedAt is the shard time at which the call ended.
	EndedAt time.Duration `json:"ended,omitempty"`
}

// Outcome is the result of a call.
type Outcome string

const (
	// Completed means that the call has an answer.
	Completed Outcome = "completed"
	// NotRun means that the call certainly had no effect.
	NotRun Outcome = "not_run"
	// Unknown means that the call may have had an effect.
	Unknown Outcome = "unknown"
)

// StoredResponse is an answer that is kept for retries.
type StoredResponse struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// ContentType is the media type of the body.
	ContentType string `json:"content_type,omitempty"`
	// Body is the complete body of the answer.
	Body []byte `json:"body,omitempty"`
}

// FinishCall settles a call.
type FinishCall struct {
	// Ticket is the ticket of the call.
	Ticket Ticket `json:"ticket"`
	// Outcome is the result of the call.
	Outcome Outcome `json:"outcome"`
	// TokensUsed is charged to the budget in place of the reservation.
	TokensUsed int64 `json:"tokens_used,omitempty"`
	// Target is the id of the target that ran the call and may hold cached tokens of
	// the program; empty if there is none.
	Target string `json:"target,omitempty"`
	// Response is kept for retries; nil if there is none.
	Response *StoredResponse `json:"response,omitempty"`
	// HistoryDelta is appended to the program's history.
	HistoryDelta []byte `json:"history_delta,omitempty"`
	// Head is the hash of the messages through this answer; 0 keeps the program's
	// current head.
	Head uint64 `json:"head,omitempty"`
}

// Refusal is the reason why a call was not started.
type Refusal struct {
	// Code is one of the Code constants. Codes are stable, so that programs can match
	// them.
	Code string `json:"code"`
	// Executed is ExecutedNo or ExecutedUnknown.
	Executed string `json:"executed"`
	// RetryAfterMS is the suggested time before a retry, in milliseconds; 0 means that
	// there is no suggestion.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Detail is a message for people; its text may change.
	Detail string `json:"detail,omitempty"`
}

// BeginResult is the result of a BeginCall; exactly one field is set.
type BeginResult struct {
	// Ticket allows the call to be dispatched.
	Ticket *Ticket `json:"ticket,omitempty"`
	// Replay is the stored response of the call that this one retries.
	Replay *StoredResponse `json:"replay,omitempty"`
	// Refusal is the reason why the call was not started.
	Refusal *Refusal `json:"refusal,omitempty"`
}
