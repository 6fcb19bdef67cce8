package program

import "fmt"

// These are the values of Refusal.Executed.
const (
	// ExecutedNo means that the request certainly did not run.
	ExecutedNo = "no"
	// ExecutedUnknown means that the request may have run.
	ExecutedUnknown = "unknown"
)

// These are the values of Refusal.Code.
const (
	// CodeBudgetExhausted means that a budget of the program or an ancestor is used up.
	CodeBudgetExhausted = "budget_exhausted"
	// CodeOutcomeUnknown means that the call is a retry of one whose outcome is unknown.
	CodeOutcomeUnknown = "call_outcome_unknown"
	// CodeCallInProgress means that the call is a retry of one that is still running.
	CodeCallInProgress = "call_in_progress"
	// CodeProgramBusy means that another call of the program ran until the wait limit.
	CodeProgramBusy = "program_busy"
	// CodeProgramEnded means that the program or one of its ancestors has ended.
	CodeProgramEnded = "program_ended"
	// CodeKeyReused means that the idempotency key belongs to a different request.
	CodeKeyReused = "idempotency_key_reused"
	// CodeQuarantined means that the request crashed several targets.
	CodeQuarantined = "request_quarantined"
	// CodeInsufficientReplicas means that too few data centres hold the shard in sync.
	CodeInsufficientReplicas = "insufficient_replicas"
	// CodeRunnerNotRegistered means that the VM that would dispatch the call is not registered.
	CodeRunnerNotRegistered = "runner_not_registered"
	// CodeShardUnavailable means that no owner of the shard answered in time.
	CodeShardUnavailable = "shard_unavailable"
)

// busyRetryAfterMS is the retry hint, in milliseconds, for a call to a busy program.
const busyRetryAfterMS = 1000

// Refuse returns the refusal of a call that did not run.
func Refuse(code, format string, args ...any) BeginResult {
	return BeginResult{Refusal: &Refusal{Code: code, Executed: ExecutedNo, Detail: fmt.Sprintf(format, args...)}}
}

// RefuseUnknown returns the refusal of a call that may have run.
func RefuseUnknown(code, format string, args ...any) BeginResult {
	return BeginResult{Refusal: &Refusal{Code: code, Executed: ExecutedUnknown, Detail: fmt.Sprintf(format, args...)}}
}

// RefuseQuarantined returns the refusal of a request that crashed several targets.
func RefuseQuarantined() BeginResult {
	return Refuse(CodeQuarantined, "the request crashed %d targets; it is refused for up to %s", quarantineThreshold, QuarantineDuration)
}

// RefuseWait returns the refusal of a call that has waited for its WaitLimit. A
// retry has waited for the first call, which may have had an effect; any other call
// has had none.
func RefuseWait(retry bool) BeginResult {
	if retry {
		return RefuseUnknown(CodeCallInProgress, "an equal request is still running")
	}
	r := Refuse(CodeProgramBusy, "another call of the program is still running")
	r.Refusal.RetryAfterMS = busyRetryAfterMS
	return r
}
