package dispatch

import "time"

const (
	// initialRequests and initialDuration describe the programs of a kind of which none
	// has ended yet.
	initialRequests = 8
	initialDuration = 2 * time.Second
	// kindWeight is the weight of the latest program in the averages of its kind.
	kindWeight = 0.05
	// activeIdleTime is the time without a request after which a program counts as ended.
	// Until then, the requests that it is expected to send decrease evenly.
	activeIdleTime = 1500 * time.Millisecond
	// urgentFactor multiplies the rate that programs of the most urgent kind of a service
	// count on, if there are less urgent ones: those start later instead.
	urgentFactor = 1.5
	// minDuration avoids an endless request rate of very short programs.
	minDuration = 100 * time.Millisecond
)

// forecastHorizons are the times ahead for which the demand of an organisation's programs
// is compared with its rate limit.
var forecastHorizons = [...]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// programKind groups programs that are expected to be alike: those whose first requests
// have the same service and route priority.
type programKind struct {
	service       string
	routePriority int
}

// kindStats holds the averages of the programs of one kind.
type kindStats struct {
	programKind
	// requests is the number of requests of a program, and duration the time between its
	// first and its last request.
	requests float64
	duration time.Duration
}

func newKindStats(kind programKind) *kindStats {
	return &kindStats{kind, initialRequests, initialDuration}
}

// add records a program that has ended.
func (k *kindStats) add(requests int, duration time.Duration) {
	k.requests += kindWeight * (float64(requests) - k.requests)
	k.duration += time.Duration(kindWeight * float64(duration-k.duration))
}

// requestsWithin returns the requests that a program sends within a time, if it still
// sends the given number of them.
func (k *kindStats) requestsWithin(horizon time.Duration, remaining float64) float64 {
	rate := k.requests / max(k.duration, minDuration).Seconds()
	return min(remaining, rate*horizon.Seconds())
}

// remaining returns the number of requests that the program is expected to send.
func (p *program) remaining(now time.Duration) float64 {
	idle := now - p.lastRequest
	if p.kind == nil || idle >= activeIdleTime {
		return 0
	}
	left := max(p.kind.requests-float64(p.requests), 1)
	return left * (1 - float64(idle)/float64(activeIdleTime))
}

// forecast returns how long a new program of a kind should wait until the organisation's
// rate limit covers the requests of its started programs and its own; 0 if it may start. A
// program counts only if all of its requests run, so an organisation above its rate is
// served best if some of its programs finish rather than all of them losing a request.
func (ps *programs) forecast(now time.Duration, organisation string, kind *kindStats, b *bucket) time.Duration {
	rate := b.limits.RatePerSecond
	usable := rate
	if ps.isMostUrgent(kind) {
		usable *= urgentFactor
	}
	wait := 0.0
	for _, horizon := range forecastHorizons {
		demand := kind.requestsWithin(horizon, kind.requests)
		for p := range ps.byOrganisation[organisation] {
			if left := p.remaining(now); left > 0 {
				demand += p.kind.requestsWithin(horizon, left)
			}
		}
		available := b.tokens + usable*horizon.Seconds()
		wait = max(wait, (demand-available)/rate)
	}
	return time.Duration(wait * float64(time.Second))
}

// isMostUrgent reports whether the service has less urgent kinds of programs, but none
// that is more urgent.
func (ps *programs) isMostUrgent(kind *kindStats) bool {
	lessUrgent := false
	for other := range ps.kinds {
		if other.service != kind.service {
			continue
		}
		if other.routePriority < kind.routePriority {
			return false
		}
		lessUrgent = lessUrgent || other.routePriority > kind.routePriority
	}
	return lessUrgent
}
