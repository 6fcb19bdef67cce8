package program

import "fmt"

// Values of Refusal.Executed.
const (
	// ExecutedNo means that the request certainly did not run.
	ExecutedNo = "no"
	// ExecutedUnknown means that the request may have run.
	ExecutedUnknown = "unknown"
)

// Refusal codes.
const (
	CodeBudgetExhausted      = "budget_exhausted"
	CodeOutcomeUnknown       = "call_outcome_unknown"
	CodeCallInProgress       = "call_in_progress"
	CodeProgramBusy          = "program_busy"
	CodeProgramEnded         = "program_ended"
	CodeKeyReused            = "idempotency_key_reused"
	CodeQuarantined          = "request_quarantined"
	CodeInsufficientReplicas = "insufficient_replicas"
	CodeRunnerNotRegistered  = "runner_not_registered"
	CodeShardUnavailable     = "shard_unavailable"
)

// busyRetryAfterMS is the hint for a caller whose program is busy.
const busyRetryAfterMS = 1000

// Refuse returns the result that refuses a call which did not run.
func Refuse(code, format string, args ...any) BeginResult {
	return BeginResult{Refusal: &Refusal{Code: code, Executed: ExecutedNo, Detail: fmt.Sprintf(format, args...)}}
}

// RefuseUnknown returns the result for a call that may have run.
func RefuseUnknown(code, format string, args ...any) BeginResult {
	return BeginResult{Refusal: &Refusal{Code: code, Executed: ExecutedUnknown, Detail: fmt.Sprintf(format, args...)}}
}

// RefuseQuarantined returns the result for a request that crashed several targets.
func RefuseQuarantined() BeginResult {
	return Refuse(CodeQuarantined, "the request crashed %d targets; it is refused for up to %s", quarantineTargets, QuarantineTime)
}

// RefuseWait returns the result for a call whose WaitLimit has passed. A retry
// waits for the first call, which may have had an effect; any other call has had none.
func RefuseWait(retry bool) BeginResult {
	if retry {
		return RefuseUnknown(CodeCallInProgress, "an equal request is still running")
	}
	r := Refuse(CodeProgramBusy, "another call of the program is still running")
	r.Refusal.RetryAfterMS = busyRetryAfterMS
	return r
}
