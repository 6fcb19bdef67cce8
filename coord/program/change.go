package program

import "time"

// Change is one replicated change of a shard's state; exactly one field is set.
type Change struct {
	// Begin starts a call.
	Begin *Begin `json:"begin,omitempty"`
	// Settle ends a call.
	Settle *Settle `json:"settle,omitempty"`
	// End ends a program; calls after it start a new generation.
	End *End `json:"end,omitempty"`
	// Released confirms that the targets were told to drop the cache of an ended program.
	Released *Released `json:"released,omitempty"`
	// AddTarget records that a target may hold cached tokens of a program.
	AddTarget *AddTarget `json:"hold,omitempty"`
	// Drop deletes the state of an ended program.
	Drop *Drop `json:"drop,omitempty"`
	// Crash records that a request is suspected of crashing a target, or clears the
	// suspicion.
	Crash *Crash `json:"crash,omitempty"`
	// Barrier changes no state. When it is committed, every earlier record is
	// committed too, and its writer still owned the shard when it wrote the record.
	Barrier bool `json:"barrier,omitempty"`
}

// Begin starts a call. The call's sequence number is the index of the record.
type Begin struct {
	// Call is the request to begin the call; a lineage that selects an existing
	// program is replaced by that program.
	Call BeginCall `json:"call"`
	// Reserved is the number of tokens reserved for the call, from the budget of the
	// program and of each ancestor.
	Reserved int64 `json:"reserved,omitempty"`
	// Bounded is set if a budget limits the tokens of the call.
	Bounded bool `json:"bounded,omitempty"`
	// Renew is set if the program had ended, so that the call starts a new
	// generation.
	Renew bool `json:"renew,omitempty"`
}

// Settle ends a call.
type Settle struct {
	// Program is the program of the call.
	Program Ref `json:"program"`
	// Sequence is the sequence number of the call.
	Sequence uint64 `json:"sequence"`
	// Reserved is the number of tokens that Begin reserved. It is repeated here so
	// that the record can be applied independently to each program that the call
	// was charged to.
	Reserved int64 `json:"reserved,omitempty"`
	// Outcome is how the call ended.
	Outcome Outcome `json:"outcome"`
	// TokensUsed is charged in place of the reservation.
	TokensUsed int64 `json:"tokens_used,omitempty"`
	// Target is the id of the target that ran the call and may hold cached tokens of
	// the program; empty if unknown.
	Target string `json:"target,omitempty"`
	// Response is kept for retries; nil if there is none.
	Response *StoredResponse `json:"response,omitempty"`
	// HistoryDelta is appended to the program's history.
	HistoryDelta []byte `json:"history_delta,omitempty"`
	// Head is the program's new head: the hash of the messages through this answer.
	// 0 keeps the current head.
	Head uint64 `json:"head,omitempty"`
}

// End ends a program.
type End struct {
	// Program is the program to end.
	Program Ref `json:"program"`
}

// Released confirms that the targets of a Release were told to free the cache.
type Released struct {
	// Program is the ended program.
	Program Ref `json:"program"`
	// ReleaseID is the ID of the confirmed Release.
	ReleaseID uint64 `json:"release"`
}

// AddTarget records the target of a call that had already been settled without a target
// when its runner reported it. Without this record, the target would never be told to
// release the program's cache.
type AddTarget struct {
	// Program is the program of the call.
	Program Ref `json:"program"`
	// Target is the id of a target that may hold cached tokens of the program.
	Target string `json:"target"`
}

// Drop deletes the state of an ended program.
type Drop struct {
	// Program is the ended program.
	Program Ref `json:"program"`
}

// Crash records that a target failed while it ran a request, or clears the
// suspicion of the request.
type Crash struct {
	// Organisation is the id of the organisation that made the request.
	Organisation string `json:"organisation"`
	// Fingerprint is the hash of the request's route and body.
	Fingerprint uint64 `json:"fingerprint"`
	// Target is the id of the target that failed.
	Target string `json:"target,omitempty"`
	// Clear removes the suspicion of the request.
	Clear bool `json:"clear,omitempty"`
}

// Release asks targets to free the cache memory of an ended program.
type Release struct {
	// Program is the ended program.
	Program Ref
	// Targets are the ids of the targets that may hold cached tokens of the program.
	Targets []string
	// ID is the index of the record that requested the release; it distinguishes the
	// releases of one program.
	ID uint64
}

const (
	// DefaultIdleTimeout is the idle timeout of programs whose profile sets none. It
	// keeps abandoned programs from holding memory forever.
	DefaultIdleTimeout = time.Hour
	// DefaultResendWindow is the resend window of a call that has a key but sets no
	// window. Without it, a retry of a non-idempotent call would run again.
	DefaultResendWindow = 10 * time.Minute
	// DefaultWaitLimit is the time for which a call that sets no limit may wait.
	DefaultWaitLimit = 30 * time.Second
	// SettleGrace is the time after a call's timeout at which the owner settles the
	// call as unknown. The runner enforces the timeout itself, and its settlement
	// carries more information.
	SettleGrace = 2 * time.Second
	// QuarantineDuration is the time for which a request is refused after it crashed a
	// second target.
	QuarantineDuration = 10 * time.Minute
	// compactIdleTime is the idle time after which a program's memory is compacted.
	compactIdleTime = time.Minute
	// quarantineThreshold is the number of different targets that a request must
	// crash to be quarantined.
	quarantineThreshold = 2
)
