package program

import "time"

// Change is one replicated change of a shard; exactly one field is set.
type Change struct {
	// Begin starts a call.
	Begin *Begin `json:"begin,omitempty"`
	// Settle ends a call.
	Settle *Settle `json:"settle,omitempty"`
	// End ends a program.
	End *End `json:"end,omitempty"`
	// Released confirms that the targets of an ended program were told to drop its cache.
	Released *Released `json:"released,omitempty"`
	// Hold records that a target may hold cache of a program.
	Hold *Hold `json:"hold,omitempty"`
	// Drop forgets an ended program.
	Drop *Drop `json:"drop,omitempty"`
	// Crash records a crash suspect.
	Crash *Crash `json:"crash,omitempty"`
	// Barrier changes nothing. Once it is committed, everything before it is, and
	// its owner was still the owner when it wrote it.
	Barrier bool `json:"barrier,omitempty"`
}

// Begin starts a call. Its sequence number is the index of its record.
type Begin struct {
	// Call is the request, with its program resolved.
	Call BeginCall `json:"call"`
	// Reserved is the number of tokens reserved from each bounded budget.
	Reserved int64 `json:"reserved,omitempty"`
	// Bounded says that a budget bounds the tokens of the call.
	Bounded bool `json:"bounded,omitempty"`
	// Renew says that the program had ended and starts a new generation.
	Renew bool `json:"renew,omitempty"`
}

// Settle ends a call.
type Settle struct {
	// Program is the program of the call.
	Program Ref `json:"program"`
	// Sequence identifies the call.
	Sequence uint64 `json:"sequence"`
	// Reserved is what Begin reserved; it is repeated here so that each program
	// that the call was charged to can apply the record by itself.
	Reserved int64 `json:"reserved,omitempty"`
	// Outcome is how the call ended.
	Outcome Outcome `json:"outcome"`
	// TokensUsed replaces the reservation.
	TokensUsed int64 `json:"tokens_used,omitempty"`
	// Target may hold cache of the program.
	Target string `json:"target,omitempty"`
	// Response is kept for retries.
	Response *StoredResponse `json:"response,omitempty"`
	// HistoryDelta is appended to the history.
	HistoryDelta []byte `json:"history_delta,omitempty"`
	// Head is the new head of the lineage.
	Head uint64 `json:"head,omitempty"`
}

// End ends a program.
type End struct {
	// Program is the program to end.
	Program Ref `json:"program"`
}

// Released confirms a release.
type Released struct {
	// Program is the ended program.
	Program Ref `json:"program"`
	// Release is the value of the confirmed Release.
	Release uint64 `json:"release"`
}

// Hold records a target that reported a call after it had been settled without
// one. Without it the target would keep the program's cache for good.
type Hold struct {
	// Program is the program of the call.
	Program Ref `json:"program"`
	// Target may hold cache of the program.
	Target string `json:"target"`
}

// Drop forgets an ended program.
type Drop struct {
	// Program is the ended program.
	Program Ref `json:"program"`
}

// Crash records that a target failed while it ran a request, or clears the record.
type Crash struct {
	// Organisation owns the request.
	Organisation string `json:"organisation"`
	// Fingerprint identifies the request.
	Fingerprint uint64 `json:"fingerprint"`
	// Target is the target that failed.
	Target string `json:"target,omitempty"`
	// Clear forgets the suspicion.
	Clear bool `json:"clear,omitempty"`
}

// Release asks for the engine memory of an ended program.
type Release struct {
	// Program is the ended program.
	Program Ref
	// Targets may hold its cache.
	Targets []string
	// ID distinguishes the releases of one program.
	ID uint64
}

const (
	// DefaultIdleTimeout ends programs whose profile sets no idle timeout, so
	// that no program holds memory for good.
	DefaultIdleTimeout = time.Hour
	// DefaultResendWindow keeps the outcome of a call that has a key but no resend
	// window: without it a retry of a non-idempotent call would run again.
	DefaultResendWindow = 10 * time.Minute
	// DefaultWaitLimit bounds the wait of a call that sets no limit.
	DefaultWaitLimit = 30 * time.Second
	// SettleGrace is added to a call's timeout: the runner enforces the timeout
	// itself, and its own settlement is better than an unknown outcome.
	SettleGrace = 2 * time.Second
	// QuarantineTime is how long a request that crashed two targets is refused.
	QuarantineTime = 10 * time.Minute
	// compactAfter is how long a program is idle before its memory is compacted.
	compactAfter = time.Minute
	// quarantineTargets is the number of different targets whose crash quarantines a request.
	quarantineTargets = 2
)
