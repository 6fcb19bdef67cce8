package dispatch

import (
	"slices"
	"time"
)

const (
	// patience is the most time that one rank of priority is worth in the queue.
	patience = 400 * time.Millisecond
	// routePatience is the same for the rank of a route among requests of equal priority.
	routePatience = 100 * time.Millisecond
	// maxUrgency bounds how far a program that has time is put behind one that
	// is about to be late; urgencyShare is the part of its remaining time that counts.
	maxUrgency   = 400 * time.Millisecond
	urgencyShare = 0.2
	// behindDelay puts each step of standing behind. While a backlog lasts
	// longer than transientBacklog, the delay grows by one second in backlogSlope
	// seconds, to standingDelay: a backlog that passes by itself costs callers
	// least in order of arrival, but one that stays would make every later
	// program late.
	behindDelay      = 400 * time.Millisecond
	standingDelay    = 1500 * time.Millisecond
	transientBacklog = 3 * time.Second
	backlogSlope     = 2
	// backlogBegins and backlogGone are the times of work that begin and end a backlog.
	backlogBegins = 150 * time.Millisecond
	backlogGone   = 50 * time.Millisecond
	// minLeft is the part of a service that those put back are taken to have at least.
	minLeft = 0.05
	// doubt is how many times longer a request that is put back is taken to
	// wait, because what the others leave comes in bursts.
	doubt = 4
	// rateWindow smooths measured rates.
	rateWindow = time.Second
)

// waiting is a request that is held back.
type waiting struct {
	request Request
	// program is nil without one.
	program  *program
	standing standing
	since    time.Duration
	// token is when the organisation's token exists.
	token   time.Duration
	expires time.Duration
	// rank orders the queue; lower runs first.
	rank time.Duration
}

func newWaiting(now time.Duration, r Request, p *program) *waiting {
	return &waiting{request: r, program: p, standing: p.standing(now, &r), since: now, token: now, expires: now + r.TimeLeft}
}

// delay is by how much the request is put behind: by steps for what its program
// can no longer reach, by priority, then by the time that the program has left.
// A service at its capacity thus keeps those programs in time that can be; in
// order of arrival all of them would be late. The delay is bounded, so that
// nothing waits for ever.
func (w *waiting) delay(step time.Duration) time.Duration {
	route := w.request.RoutePriority
	if w.program != nil {
		route = min(route, w.program.priority)
	}
	delay := time.Duration(w.standing)*step + time.Duration(w.request.Priority)*patience + time.Duration(route)*routePatience
	if w.request.ProgramLeft > 0 {
		delay += min(time.Duration(float64(w.request.ProgramLeft)*urgencyShare), maxUrgency)
	}
	return delay
}

// meter measures events per second.
type meter struct {
	rate float64
	at   time.Duration
}

func (m *meter) add(now time.Duration) {
	keep := max(0, 1-float64(now-m.at)/float64(rateWindow))
	m.rate = m.rate*keep + 1/rateWindow.Seconds()
	m.at = now
}

// queue holds the requests of one service that wait for a target.
type queue struct {
	// waiting is ordered by rank.
	waiting []*waiting
	// completions measures what the service ends, inTime the requests of
	// programs that can end in time.
	completions, inTime meter
	// backlogSince is when the backlog began; 0 without one.
	backlogSince time.Duration
}

// backlog is how long the service needs for all that waits.
func (q *queue) backlog() time.Duration { return q.timeFor(len(q.waiting)) }

// timeFor is how long the service needs for a number of requests.
func (q *queue) timeFor(requests int) time.Duration {
	if q.completions.rate < 1 {
		return 0
	}
	return time.Duration(float64(requests) / q.completions.rate * float64(time.Second))
}

// observe notes since when the service has had a backlog.
func (q *queue) observe(now time.Duration) {
	switch backlog := q.backlog(); {
	case backlog < backlogGone:
		q.backlogSince = 0
	case q.backlogSince == 0 && backlog >= backlogBegins:
		q.backlogSince = now
	}
}

// stays says whether the backlog has not passed by itself.
func (q *queue) stays(now time.Duration) bool {
	return q.backlogSince != 0 && now > q.backlogSince+transientBacklog
}

// behindDelay is how far the queue puts back each step of standing.
func (q *queue) behindDelay(now time.Duration) time.Duration {
	if !q.stays(now) {
		return behindDelay
	}
	age := now - q.backlogSince - transientBacklog
	return behindDelay + min(age/backlogSlope, standingDelay-behindDelay)
}

// rank gives a request its place in the queue.
func (q *queue) rank(now time.Duration, w *waiting) {
	q.observe(now)
	w.rank = w.since + w.delay(q.behindDelay(now))
	if w.standing == onTrack {
		q.inTime.add(now)
	}
}

// add keeps the queue ordered by rank.
func (q *queue) add(w *waiting) {
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *waiting) int {
		if a.rank <= b.rank {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, w)
}

// expectedWait estimates when a request would run. While a backlog stays, a
// request that is put back also waits for those that go first and have not
// arrived yet: it gets what they leave.
func (q *queue) expectedWait(now time.Duration, w *waiting) time.Duration {
	ahead := 0
	for _, other := range q.waiting {
		if other.rank <= w.rank {
			ahead++
		}
	}
	wait := q.timeFor(ahead)
	if w.standing == onTrack || !q.stays(now) {
		return wait
	}
	left := 1 - q.inTime.rate/max(q.completions.rate, 1)
	return time.Duration(doubt * float64(wait) / max(left, minLeft))
}

// run grants waiting requests of a service in order while targets are free.
func (d *Dispatcher) run(now time.Duration, service string) []Outcome {
	q := d.queue(service)
	q.observe(now)
	if len(q.waiting) == 0 {
		return nil
	}
	var out []Outcome
	rest := q.waiting[:0]
	blocked := false
	for _, w := range q.waiting {
		if now >= w.expires {
			d.uncharge(w.request.Organisation)
			out = append(out, Outcome{ID: w.request.ID, Refusal: Expired, RetryAfter: d.spread(minRetryAfter), Waited: now - w.since})
			continue
		}
		if !blocked {
			if o, ok := d.place(now, w); ok {
				out = append(out, o)
				continue
			}
			blocked = true
		}
		rest = append(rest, w)
	}
	clear(q.waiting[len(rest):])
	q.waiting = rest
	return out
}
