// Package retry decides what follows an attempt to run a request on a target.
package retry

// MaxAttempts bounds how many targets one request may reach.
const MaxAttempts = 3

// MaxCrashes is how many targets a request may take down before it is quarantined.
const MaxCrashes = 2

// Result is what is known about one attempt.
type Result int

const (
	// Completed attempts have a whole answer.
	Completed Result = iota
	// NotSent attempts failed before a byte of the request left.
	NotSent
	// Rejected attempts were refused by the target, which says that it did not run them.
	Rejected
	// Crashed attempts ended when the target broke the connection.
	Crashed
	// Silent attempts ended because the connection delivered nothing for too long.
	Silent
	// Cancelled attempts were ended from this side: the caller left, the key was withdrawn or the time was over.
	Cancelled
)

// Attempt is the state of a request after an attempt.
type Attempt struct {
	// Result is the result of the last attempt.
	Result Result
	// Number counts the attempts, the last one included.
	Number int
	// Crashes counts the attempts that ended in Crashed, the last one included.
	Crashes int
	// NonIdempotent requests may run at most once.
	NonIdempotent bool
	// Streamed says that the caller has seen a part of the answer.
	Streamed bool
	// Uncertain says that an earlier attempt may have run.
	Uncertain bool
}

// Action is what to do next.
type Action int

const (
	// Done returns the answer.
	Done Action = iota
	// TryAnother sends the request to another target.
	TryAnother
	// RefuseNotRun tells the caller that the request had no effect.
	RefuseNotRun
	// FailUnknown tells the caller that the request may have had an effect.
	FailUnknown
)

// Next decides what follows an attempt. A non-idempotent request is sent again
// only when it certainly did not run; a caller that has seen a part of one run
// never gets a part of another.
func Next(a Attempt) Action {
	ran := a.Uncertain || mayHaveRun(a.Result)
	switch {
	case a.Result == Completed:
		return Done
	case a.Result == Cancelled, a.Streamed:
		return giveUp(ran)
	case ran && a.NonIdempotent:
		return FailUnknown
	case a.Crashes >= MaxCrashes, a.Number >= MaxAttempts:
		return giveUp(ran)
	default:
		return TryAnother
	}
}

func mayHaveRun(r Result) bool { return r != NotSent && r != Rejected }

func giveUp(ran bool) Action {
	if ran {
		return FailUnknown
	}
	return RefuseNotRun
}
