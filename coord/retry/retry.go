// Package retry decides what to do after an attempt to run a request on a target.
package retry

// MaxAttempts is the maximum number of targets that one request may be sent to.
const MaxAttempts = 3

// MaxCrashes is the number of targets that a request may crash before it is
// quarantined.
const MaxCrashes = 2

// Result is the outcome of one attempt, as far as it is known.
type Result int

const (
	// Completed means that the whole answer arrived.
	Completed Result = iota
	// NotSent means that the attempt failed before any byte of the request was sent.
	NotSent
	// Rejected means that the target refused the request and reported that it did
	// not run it.
	Rejected
	// Crashed means that the target closed the connection before the answer was
	// complete.
	Crashed
	// NoAnswer means that the request was sent but no usable answer arrived: the
	// connection delivered no data for too long, or the target reported an internal
	// error or answered another request.
	NoAnswer
	// Cancelled means that the attempt was ended on this side: the caller
	// disconnected, the key was withdrawn or the time limit was reached.
	Cancelled
)

// Attempt is the state of a request after its last attempt.
type Attempt struct {
	// Result is the result of the last attempt.
	Result Result
	// Number is the number of attempts so far, including the last one.
	Number int
	// Crashes is the number of attempts with the result Crashed, including the last
	// one.
	Crashes int
	// NonIdempotent is true if the request may run at most once.
	NonIdempotent bool
	// Streamed is true if the caller has received a part of the answer.
	Streamed bool
	// EarlierMayHaveRun is true if an attempt before the last one may have run.
	EarlierMayHaveRun bool
}

// Action is what to do after an attempt.
type Action int

const (
	// ReturnAnswer means that the answer is complete and is returned to the caller.
	ReturnAnswer Action = iota
	// TryAnother means that the request is sent to another target.
	TryAnother
	// RefuseNotRun means that the caller is told that the request had no effect.
	RefuseNotRun
	// FailUnknown means that the caller is told that the request may have had an
	// effect.
	FailUnknown
)

// Next returns the action after an attempt. A non-idempotent request is sent again
// only if it certainly did not run. A caller that has received a part of one run's
// answer never receives a part of another run's.
func Next(a Attempt) Action {
	ran := a.EarlierMayHaveRun || mayHaveRun(a.Result)
	switch {
	case a.Result == Completed:
		return ReturnAnswer
	case a.Result == Cancelled, a.Streamed:
		return failureAction(ran)
	case ran && a.NonIdempotent:
		return FailUnknown
	case a.Crashes >= MaxCrashes, a.Number >= MaxAttempts:
		return failureAction(ran)
	default:
		return TryAnother
	}
}

func mayHaveRun(r Result) bool { return r != NotSent && r != Rejected }

func failureAction(ran bool) Action {
	if ran {
		return FailUnknown
	}
	return RefuseNotRun
}
