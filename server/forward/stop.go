package forward

import (
	"time"

	"hemlockvale.dev/server/bootclock"
)

// stoppingRetryAfter is the Retry-After value of requests that an entry refuses because it
// stops. It gives callers the time to look up other entries.
const stoppingRetryAfter = 100 * time.Millisecond

// Stop describes a planned stop. Its times are on the boot clock.
type Stop struct {
	// Unlisted is when no caller has a reason any more to use this entry.
	Unlisted time.Duration
	// Deadline is when the requests in progress end.
	Deadline time.Duration
}

// stop returns the planned stop that has begun, or nil.
func (e *Entry) stop() *Stop {
	if e.options.Stop == nil {
		return nil
	}
	return e.options.Stop()
}

// EndRequests ends the requests in progress with the error that their state allows. It is
// called at the deadline of a planned stop, because callers otherwise get no answer.
func (e *Entry) EndRequests() { e.endRequests() }

// endsBeforeStop reports whether the request may begin. While the entry stops, a request that
// can take longer than the entry has left is refused. A caller that still has a reason to use
// this entry may try it with a repeatable request, whose time is then shorter.
func (x *exchange) endsBeforeStop() bool {
	stop := x.entry.stop()
	if stop == nil || x.deadline <= stop.Deadline {
		return true
	}
	if !x.route.Repeatable() || bootclock.Now() >= stop.Unlisted {
		return false
	}
	x.deadline = stop.Deadline
	return true
}
