package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNext guards against a second run of a non-idempotent request, an answer composed
// of parts of two runs, a wrong report that a request did not run, and a third target
// for a request that has crashed two.
func TestNext(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt Attempt
		want    Action
	}{
		{"completed", Attempt{Result: Completed, Number: 1}, ReturnAnswer},
		{"not sent", Attempt{Result: NotSent, Number: 1, NonIdempotent: true}, TryAnother},
		{"rejected by the target", Attempt{Result: Rejected, Number: 1, NonIdempotent: true}, TryAnother},
		{"rejected everywhere", Attempt{Result: Rejected, Number: MaxAttempts}, RefuseNotRun},
		{"rejected after a crash", Attempt{Result: Rejected, Number: MaxAttempts, Crashes: 1, EarlierMayHaveRun: true}, FailUnknown},
		{"first crash", Attempt{Result: Crashed, Number: 1, Crashes: 1}, TryAnother},
		{"second crash", Attempt{Result: Crashed, Number: 2, Crashes: 2, EarlierMayHaveRun: true}, FailUnknown},
		{"crash of a non-idempotent request", Attempt{Result: Crashed, Number: 1, Crashes: 1, NonIdempotent: true}, FailUnknown},
		{"crash after a part was streamed", Attempt{Result: Crashed, Number: 1, Crashes: 1, Streamed: true}, FailUnknown},
		{"silent connection", Attempt{Result: NoAnswer, Number: 1}, TryAnother},
		{"silent connection, non-idempotent", Attempt{Result: NoAnswer, Number: 1, NonIdempotent: true}, FailUnknown},
		{"cancelled", Attempt{Result: Cancelled, Number: 1}, FailUnknown},
	} {
		require.Equal(t, c.want, Next(c.attempt), c.name)
	}
}

// TestNextSequences guards against sequences of attempts in which Next breaks one of
// the rules that TestNext checks.
func TestNextSequences(t *testing.T) {
	results := []Result{NotSent, Rejected, Crashed, NoAnswer, Cancelled}
	var walk func(a Attempt)
	walk = func(a Attempt) {
		for _, r := range results {
			next := a
			next.Result, next.Number = r, a.Number+1
			if r == Crashed {
				next.Crashes++
			}
			action := Next(next)
			ran := next.EarlierMayHaveRun || mayHaveRun(r)
			require.False(t, action == RefuseNotRun && ran, "%+v", next)
			if action != TryAnother {
				continue
			}
			require.False(t, next.NonIdempotent && ran, "%+v", next)
			require.Less(t, next.Crashes, MaxCrashes, "%+v", next)
			require.Less(t, next.Number, MaxAttempts, "%+v", next)
			next.EarlierMayHaveRun = ran
			walk(next)
		}
	}
	walk(Attempt{})
	walk(Attempt{NonIdempotent: true})
}
