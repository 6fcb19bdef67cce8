package dispatch

import "time"

const (
	// defaultTurns is the number of turns that is assumed for a program without a budget.
	defaultTurns = 3
	// initialRequests and initialDuration describe one turn, with the calls that follow it,
	// of a kind of program of which none has ended yet.
	initialRequests = 3
	initialDuration = 500 * time.Millisecond
	// minKindWeight is the least weight of the latest program in the averages of its kind.
	minKindWeight = 0.05
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
	// requests is the number of requests for each turn that the budget of a program allows,
	// and duration the time for each.
	requests float64
	duration time.Duration
	// ended is the number of programs in the averages.
	ended int
	// activeDuration is the duration for each turn without the waits for targets.
	activeDuration time.Duration
	// byService is the number of requests by service, and sentTotal their sum.
	byService map[string]float64
	sentTotal float64
}

func newKindStats(kind programKind) *kindStats {
	return &kindStats{programKind: kind, requests: initialRequests, duration: initialDuration, activeDuration: initialDuration}
}

// add records a program that has ended.
func (k *kindStats) add(turns, requests float64, duration, waited time.Duration) {
	k.ended++
	weight := max(minKindWeight, 1/float64(k.ended+1))
	k.requests += weight * (requests/turns - k.requests)
	k.duration += time.Duration(weight * (float64(duration)/turns - float64(k.duration)))
	k.activeDuration += time.Duration(weight * (float64(max(duration-waited, 0))/turns - float64(k.activeDuration)))
}

// requestsWithin returns the requests that a program sends within a time, if it still
// sends the given number of them.
func (k *kindStats) requestsWithin(horizon time.Duration, remaining float64) float64 {
	rate := k.requests / max(k.duration, minDuration).Seconds()
	return min(remaining, rate*horizon.Seconds())
}

// turnsOf returns the number of turns that the budget of a program allows.
func turnsOf(r *Request) float64 {
	if r.BudgetTurns <= 0 {
		return defaultTurns
	}
	return max(r.BudgetTurns, 1)
}

// remaining returns the number of requests that the program is expected to send.
func (p *program) remaining(now time.Duration) float64 {
	if p.kind == nil {
		return 0
	}
	return p.remainingOf(now, p.kind.requests)
}

// remainingOf returns the number of requests that the program is expected to send if it sends
// the given number for each turn.
func (p *program) remainingOf(now time.Duration, perTurn float64) float64 {
	idle := now - p.lastRequest
	if idle >= activeIdleTime {
		return 0
	}
	left := max(perTurn*p.turns-float64(p.requests), 1)
	return left * (1 - float64(idle)/float64(activeIdleTime))
}

// learn adds the program to the averages of its kind once it counts as ended.
func (p *program) learn(now time.Duration) {
	if p.kind == nil || p.learned || now-p.lastRequest < activeIdleTime {
		return
	}
	p.learned = true
	p.kind.add(p.turns, float64(p.requests), p.lastRequest-p.startedAt, p.waited)
}

// forecast returns how long a program's first request should wait until the organisation's
// rate limit covers the requests of its started programs and its own; 0 if it may start. A
// program counts only if all of its requests run, so an organisation above its rate is
// served best if some of its programs finish rather than all of them losing a request.
func (ps *programs) forecast(now time.Duration, r *Request, b *bucket) time.Duration {
	kind := ps.kindOf(r)
	rate := b.limits.RatePerSecond
	usable := rate
	if ps.isMostUrgent(kind) {
		usable *= urgentFactor
	}
	var demand [len(forecastHorizons)]float64
	kind.addDemand(&demand, kind.requests*turnsOf(r))
	for p := range ps.byOrganisation[r.Organisation] {
		if left := p.remaining(now); left > 0 {
			p.kind.addDemand(&demand, left)
		}
	}
	wait := 0.0
	for i, horizon := range forecastHorizons {
		available := b.tokens + usable*horizon.Seconds()
		wait = max(wait, (demand[i]-available)/rate)
	}
	return time.Duration(wait * float64(time.Second))
}

// addDemand adds the requests that a program sends within each of the forecast horizons, if
// it still sends the given number of them.
func (k *kindStats) addDemand(demand *[len(forecastHorizons)]float64, remaining float64) {
	for i, horizon := range forecastHorizons {
		demand[i] += k.requestsWithin(horizon, remaining)
	}
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
