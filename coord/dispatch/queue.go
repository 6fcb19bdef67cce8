package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// priorityDelay is how far each step of priority puts a request back in the
	// queue.
	priorityDelay = 400 * time.Millisecond
	// routePriorityDelay is the same for the priority of the route, among requests
	// of equal priority.
	routePriorityDelay = 100 * time.Millisecond
	// maxSlackDelay bounds how far a program with time left is put behind one that
	// is about to be late; slackDelayShare is the share of the remaining time that
	// counts.
	maxSlackDelay   = 400 * time.Millisecond
	slackDelayShare = 0.2
	// minBehindDelay is how far each step of deadlineStatus puts a request back.
	// While a backlog lasts longer than transientBacklog, the delay grows by one
	// second every backlogSlope seconds, up to maxBehindDelay: a backlog that clears
	// by itself costs callers least in order of arrival, but one that persists would
	// make every later program late.
	minBehindDelay   = 400 * time.Millisecond
	maxBehindDelay   = 1500 * time.Millisecond
	transientBacklog = 3 * time.Second
	backlogSlope     = 2
	// backlogStart and backlogEnd are the times needed to serve the queued requests
	// at which a backlog starts and ends.
	backlogStart = 150 * time.Millisecond
	backlogEnd   = 50 * time.Millisecond
	// minSpareShare is the least share of a service's capacity that is assumed to be
	// available to requests that were put back.
	minSpareShare = 0.05
	// burstFactor multiplies the expected wait of a request that was put back,
	// because the capacity that the other requests leave is available in bursts.
	burstFactor = 4
	// rateWindow is the time over which measured rates are smoothed.
	rateWindow = time.Second
)

// waitingRequest is a request that waits in a queue or for a rate limit token.
type waitingRequest struct {
	request Request
	// program is nil if the request has no program.
	program  *program
	status   deadlineStatus
	queuedAt time.Duration
	expires  time.Duration
	// firstSince is when the request was first in its queue while a target had capacity; 0
	// before.
	firstSince time.Duration
	// rank orders the queue; the lowest rank is granted first. Requests of equal rank are
	// ordered by number.
	rank   time.Duration
	number uint64
	// queue is the queue that holds the request; nil while it waits for a rate limit token.
	queue *queue
	// due is the deadline of the request in the queue, or the time of its token.
	due *deadline
}

func newWaitingRequest(now time.Duration, r Request, p *program) *waitingRequest {
	return &waitingRequest{request: r, program: p, status: p.status(now, &r), queuedAt: now, expires: now + r.TimeLeft}
}

// delay returns how far the request is put back in the queue. It depends on the
// deadline status of its program, counted in steps, then on priority, then on the
// time that the program has left. A service at its capacity thus completes on time
// those programs that still can be; in order of arrival, all of them would be late.
// The delay is bounded, so that no request starves.
func (w *waitingRequest) delay(step time.Duration) time.Duration {
	route := w.request.RoutePriority
	if w.program != nil {
		route = min(route, w.program.priority)
	}
	delay := time.Duration(w.status)*step + time.Duration(w.request.Priority)*priorityDelay + time.Duration(route)*routePriorityDelay
	if w.request.ProgramTimeLeft > 0 {
		delay += min(time.Duration(float64(w.request.ProgramTimeLeft)*slackDelayShare), maxSlackDelay)
	}
	return delay
}

// meter measures events per second as a moving average.
type meter struct {
	rate      float64
	updatedAt time.Duration
}

func (m *meter) add(now time.Duration) {
	oldWeight := max(0, 1-float64(now-m.updatedAt)/float64(rateWindow))
	m.rate = m.rate*oldWeight + 1/rateWindow.Seconds()
	m.updatedAt = now
}

// queue holds the requests of one service that wait for a target.
type queue struct {
	// waiting is ordered by rank and number. unpinned is how many of them any target of the
	// service may get, and lastNumber the latest number.
	waiting    []*waitingRequest
	unpinned   int
	lastNumber uint64
	// expiries holds the times at which the waiting requests expire.
	expiries deadlines
	// completions measures the requests that the service completes, and
	// onTrackArrivals the arriving requests whose programs are on track.
	completions, onTrackArrivals meter
	// maxRate is the number of requests per second that the rate limits of the targets
	// allow together; 0 if there is no bound.
	maxRate float64
	// backlogSince is when the backlog started; 0 if there is none.
	backlogSince time.Duration
}

// backlog returns how long the service needs to serve all waiting requests.
func (q *queue) backlog() time.Duration { return q.serviceTime(len(q.waiting)) }

// serviceTime returns how long the service needs to serve a number of requests, or 0
// if its rate is not known yet.
func (q *queue) serviceTime(requests int) time.Duration {
	rate := q.rate()
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(requests) / rate * float64(time.Second))
}

// rate returns the number of requests per second that the service completes, or 0 if it is
// not known yet.
func (q *queue) rate() float64 {
	measured := q.completions.rate
	switch {
	case measured < 1:
		return q.maxRate
	case q.maxRate > 0:
		return min(measured, q.maxRate)
	}
	return measured
}

// updateBacklog records when a backlog starts or ends.
func (q *queue) updateBacklog(now time.Duration) {
	switch backlog := q.backlog(); {
	case backlog < backlogEnd:
		q.backlogSince = 0
	case q.backlogSince == 0 && backlog >= backlogStart:
		q.backlogSince = now
	}
}

// backlogPersists reports whether the backlog has lasted longer than
// transientBacklog.
func (q *queue) backlogPersists(now time.Duration) bool {
	return q.backlogSince != 0 && now > q.backlogSince+transientBacklog
}

// behindDelay returns how far each step of deadlineStatus puts a request back at the
// moment.
func (q *queue) behindDelay(now time.Duration) time.Duration {
	if !q.backlogPersists(now) {
		return minBehindDelay
	}
	age := now - q.backlogSince - transientBacklog
	return minBehindDelay + min(age/backlogSlope, maxBehindDelay-minBehindDelay)
}

// assignRank sets the rank that determines the request's position in the queue.
func (q *queue) assignRank(now time.Duration, w *waitingRequest) {
	q.updateBacklog(now)
	w.rank = w.queuedAt + w.delay(q.behindDelay(now))
	if w.request.pinned() {
		// A stream that has begun goes on before others begin.
		w.rank = 0
	}
	if w.status == onTrack {
		q.onTrackArrivals.add(now)
	}
}

// add inserts a request in order of rank, after those of equal rank.
func (q *queue) add(w *waitingRequest) {
	q.lastNumber++
	w.queue, w.number = q, q.lastNumber
	w.due = q.expiries.add(w.request.ID, w.expires)
	q.waiting = slices.Insert(q.waiting, q.position(w), w)
	if !w.request.pinned() {
		q.unpinned++
	}
}

// remove removes a request from the queue.
func (q *queue) remove(w *waitingRequest) {
	at := q.position(w)
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.expiries.remove(w.due)
	w.queue = nil
	if !w.request.pinned() {
		q.unpinned--
	}
}

// position returns the index at which the queue holds a request, or would hold it.
func (q *queue) position(w *waitingRequest) int {
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *waitingRequest) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.number, b.number))
	})
	return at
}

// ahead returns the number of requests that are granted before a new one with the given rank.
func (q *queue) ahead(rank time.Duration) int {
	at, _ := slices.BinarySearchFunc(q.waiting, rank, func(a *waitingRequest, rank time.Duration) int {
		if a.rank <= rank {
			return -1
		}
		return 1
	})
	return at
}

// hasUnpinned reports whether a request waits that any target of the service may get.
func (q *queue) hasUnpinned() bool { return q.unpinned > 0 }

// expectedWait estimates how long a request would wait. While a backlog persists, a
// request that is put back also waits for later arrivals that are ranked before it,
// so it only gets the capacity that those leave.
func (q *queue) expectedWait(now time.Duration, w *waitingRequest) time.Duration {
	wait := q.serviceTime(q.ahead(w.rank))
	if w.status == onTrack || !q.backlogPersists(now) {
		return wait
	}
	spareShare := 1 - q.onTrackArrivals.rate/max(q.completions.rate, 1)
	return time.Duration(burstFactor * float64(wait) / max(spareShare, minSpareShare))
}

// refuseWithoutTarget refuses a request that waits for targets which have left, or that can't
// be continued for the given reason.
func (d *Dispatcher) refuseWithoutTarget(now time.Duration, w *waitingRequest, reason Refusal) Outcome {
	o := Outcome{ID: w.request.ID, Refusal: cmp.Or(reason, SoftwareGone), Waited: now - w.queuedAt}
	if w.request.Origin == nil {
		o.Refusal, o.RetryAfter = d.noTargetRefusal(w.request.Service), d.withJitter(noTargetRetryAfter)
	}
	return o
}

// grantWaiting grants waiting requests of a service in order of rank while targets
// have capacity, and refuses those that have expired.
func (d *Dispatcher) grantWaiting(now time.Duration, service string) []Outcome {
	q := d.queue(service)
	q.updateBacklog(now)
	out := d.refuseExpired(now, q)
	if len(q.waiting) == 0 {
		return out
	}
	if !d.acceptsRequests(service) {
		for len(q.waiting) > 0 {
			out = append(out, d.dropWithoutTarget(now, q.waiting[0], ""))
		}
		return out
	}
	if d.held {
		return out
	}
	for at := 0; at < len(q.waiting); {
		w := q.waiting[at]
		pinned := w.request.pinned()
		if reason := d.recheckOrigin(&w.request); reason != "" || pinned && !d.hasTarget(&w.request) {
			out = append(out, d.dropWithoutTarget(now, w, reason))
			continue
		}
		if d.awaitsCertainty(&w.request) {
			// Many streams may wait for seconds, so no target is searched for each.
			at++
			continue
		}
		granted, o, ok := d.placeFirst(now, q, at)
		switch {
		case ok:
			d.forget(granted)
			out = append(out, o)
		case pinned:
			// It may wait for a target that the others do not need.
			at++
		default:
			return out
		}
	}
	return out
}

// refuseExpired refuses the requests of a queue whose callers' time has run out.
func (d *Dispatcher) refuseExpired(now time.Duration, q *queue) []Outcome {
	var out []Outcome
	for {
		id, due := q.expiries.popDue(now)
		if !due {
			return out
		}
		w := d.waiting[id]
		d.forget(w)
		d.refund(w.request.Organisation)
		out = append(out, Outcome{ID: id, Refusal: Expired, RetryAfter: d.withJitter(minRetryAfter), Waited: now - w.queuedAt})
	}
}

// dropWithoutTarget removes and refuses a request as refuseWithoutTarget does.
func (d *Dispatcher) dropWithoutTarget(now time.Duration, w *waitingRequest, reason Refusal) Outcome {
	d.forget(w)
	d.refund(w.request.Organisation)
	return d.refuseWithoutTarget(now, w, reason)
}

// forget removes a waiting request from its queue, or from those that wait for a rate limit
// token.
func (d *Dispatcher) forget(w *waitingRequest) {
	delete(d.waiting, w.request.ID)
	if w.queue != nil {
		w.queue.remove(w)
	} else {
		d.awaitingToken.remove(w.due)
	}
}
