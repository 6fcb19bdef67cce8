package dispatch

import (
	"math/rand/v2"
	"time"

	"hemlockvale.dev/coord/placement"
)

const (
	// grantGracePeriod is the time after the caller's deadline at which a grant
	// without a done report is dropped.
	grantGracePeriod = 500 * time.Millisecond
	// medianValidity is how long the cached median time of a service is used.
	medianValidity = 100 * time.Millisecond
	// minRetryAfter is the lower bound of a retry delay before jitter. It spreads out
	// the retries of refused callers, because the jitter is proportional to the delay.
	minRetryAfter = 50 * time.Millisecond
	// distanceTokens is the cost of a target in another data centre, in prefill
	// tokens. Traffic between data centres is expensive, so a target in the same data
	// centre is preferred until its occupancy exceeds that of the remote target by
	// three quarters of its slots.
	distanceTokens = 1500
	// noTargetRetryAfter is the retry delay, before jitter, for services without a
	// target.
	noTargetRetryAfter = 300 * time.Millisecond
)

// Dispatcher is the state machine that grants, queues and refuses the requests of a
// deployment.
type Dispatcher struct {
	startedAt        time.Duration
	policy           placement.Policy
	random           *rand.Rand
	targets          map[string]*target
	targetsByService map[string][]*target
	buckets          map[string]*bucket
	// rates holds the rate limits that targets state, by target.
	rates map[string]*targetRate
	// nextColdEnd is when the next target stops being cold; 0 if none is.
	nextColdEnd time.Duration
	// origins holds what began the streams that callers may take up.
	origins origins
	// doubted holds the targets whose version is uncertain, by id.
	doubted map[string]*target
	grants  map[string]*grant
	queues  map[string]*queue // by service
	// programs holds the programs that have started.
	programs *programs
	// shares divides scarce capacity among organisations.
	shares      *fairShares
	connections connections
	medians     map[string]*cachedMedian
	// waiting holds the requests that have no outcome yet, by id.
	waiting map[string]*waitingRequest
	// awaitingToken holds the times at which requests get the rate limit token of their
	// organisation that they wait for.
	awaitingToken deadlines
	// grantExpiries holds the times at which grants without a done report are dropped.
	grantExpiries deadlines
	// held is set while nothing may be granted.
	held bool
	// candidates is a buffer that is reused between placement decisions.
	candidates []placement.Candidate
	// coldCandidates is such a buffer for targets that are cold.
	coldCandidates []placement.Candidate
	// free is such a buffer for the targets that candidates describe; requests without an affinity
	// key do not fill it.
	free []*target
}

// grant is a request that was assigned to a target and has not ended.
type grant struct {
	target       *target
	organisation string
	entry        string
	tokens       int64
	grantedAt    time.Duration
	expiry       *deadline
}

// New returns a dispatcher without targets that starts to grant at the time now. The
// seed initialises the random numbers for tie-breaking and jitter.
func New(now time.Duration, seed uint64) *Dispatcher {
	policy := placement.DefaultPolicy()
	// Independent decision makers need jitter so that those with equal views do not
	// all choose the same target. One dispatcher sees all requests, so a little
	// jitter is enough.
	// It is less than the cost of a new connection.
	policy.JitterTokens = 5
	return &Dispatcher{
		startedAt:        now,
		policy:           policy,
		random:           rand.New(rand.NewPCG(seed, 1)),
		targets:          make(map[string]*target),
		targetsByService: make(map[string][]*target),
		buckets:          make(map[string]*bucket),
		rates:            make(map[string]*targetRate),
		origins:          newOrigins(),
		doubted:          make(map[string]*target),
		grants:           make(map[string]*grant),
		queues:           make(map[string]*queue),
		programs:         newPrograms(),
		connections:      newConnections(now),
		shares:           newFairShares(now),
		medians:          make(map[string]*cachedMedian),
		waiting:          make(map[string]*waitingRequest),
	}
}

// SetHeld sets whether the dispatcher is held. While it is, it grants nothing: waiting requests
// stay in their queues until they expire, and Admit must not be called.
func (d *Dispatcher) SetHeld(held bool) { d.held = held }

// SetTargets replaces the set of known targets. It returns the outcomes of waiting
// requests that can now be decided.
func (d *Dispatcher) SetTargets(now time.Duration, ts []Target) []Outcome {
	next := make(map[string]*target, len(ts))
	d.targetsByService = make(map[string][]*target)
	for _, t := range ts {
		n := d.targets[t.ID]
		if n != nil && n.Software != t.Software {
			d.origins.forgetTarget(t.ID)
		}
		if known := n; n == nil || n.Service != t.Service || n.KVCapacity != t.KVCapacity {
			n = newTarget(t)
			n.knownSince = now
			if known != nil {
				n.Target, n.doubt, n.knownSince, n.certainAt = known.Target, known.doubt, known.knownSince, known.certainAt
			}
		}
		if n.Started != t.Started || n.Software != t.Software {
			n.doubt, n.knownSince, n.certainAt = nil, now, 0
		}
		n.Target = t
		n.updateCold(now)
		next[t.ID] = n
		d.targetsByService[t.Service] = append(d.targetsByService[t.Service], n)
	}
	d.targets = next
	d.renewTargets()
	d.nextColdEnd = 0
	for _, t := range next {
		d.noteColdEnd(t)
	}
	d.attachRates(now)
	d.connections.setTargets(now, d.targets, d.targetsByService)
	return d.grantAllWaiting(now)
}

// Admit grants, queues or refuses a request. If the request has to wait, a later call
// of Done, Tick or SetTargets returns its outcome.
func (d *Dispatcher) Admit(now time.Duration, r Request) Outcome {
	d.advanceShares(now, r.Service)
	if refusal := d.resolveOrigin(&r); refusal != "" {
		d.discard(r.ID)
		return Outcome{ID: r.ID, Refusal: refusal}
	}
	tokenAt := now
	if !d.discard(r.ID) {
		wait, ok := d.charge(now, &r)
		if !ok {
			return Outcome{ID: r.ID, Refusal: OverRate, RetryAfter: d.withJitter(wait)}
		}
		tokenAt += wait
	}
	if !d.hasTarget(&r) {
		d.refund(r.Organisation)
		return Outcome{ID: r.ID, Refusal: d.noTargetRefusal(r.Service), RetryAfter: d.withJitter(noTargetRetryAfter)}
	}
	if len(r.Unreachable) > 0 && !d.hasReachableTarget(&r) {
		if d.hasHealthyTarget(now, &r) {
			d.refund(r.Organisation)
			return Outcome{ID: r.ID, Refusal: PathLost, RetryAfter: d.withJitter(noTargetRetryAfter)}
		}
		// Nobody seems to reach the targets, so the sending VM may as well try.
		r.Unreachable = nil
	}
	if wait, refusal := d.refuseForShare(now, &r); refusal != nil {
		d.refund(r.Organisation)
		return Outcome{ID: r.ID, Refusal: Overloaded, RetryAfter: d.withJitter(wait), FairShare: refusal}
	}
	w := newWaitingRequest(now, r, d.programs.record(now, &r))
	if tokenAt > now {
		w.due = d.awaitingToken.add(r.ID, tokenAt)
		d.waiting[r.ID] = w
		return Outcome{ID: r.ID}
	}
	q := d.queue(r.Service)
	q.assignRank(now, w)
	if r.pinned() || !q.hasUnpinned() {
		if o, ok := d.place(now, w); ok {
			return o
		}
	}
	if wait := q.expectedWait(now, w); wait > r.TimeLeft {
		d.refund(r.Organisation)
		return Outcome{ID: r.ID, Refusal: Overloaded, RetryAfter: d.withJitter(wait - r.TimeLeft)}
	}
	q.add(w)
	d.waiting[r.ID] = w
	return Outcome{ID: r.ID}
}

// queue returns the queue of a service and creates it if necessary.
func (d *Dispatcher) queue(service string) *queue {
	q := d.queues[service]
	if q == nil {
		q = &queue{}
		d.queues[service] = q
	}
	return q
}

// discard drops an earlier request with the same id and reports whether there was
// one. The rate limit token of the earlier request stays charged.
func (d *Dispatcher) discard(id string) bool {
	if g := d.grants[id]; g != nil {
		d.release(id, g)
		return true
	}
	if w := d.waiting[id]; w != nil {
		d.forget(w)
		return true
	}
	return false
}

// charge takes a rate limit token of the request's organisation. Its results are those
// of bucket.take.
func (d *Dispatcher) charge(now time.Duration, r *Request) (time.Duration, bool) {
	if r.Organisation == "" {
		return 0, true
	}
	b := d.buckets[r.Organisation]
	if b == nil {
		b = newBucket(d.startedAt, r.Limits)
		d.buckets[r.Organisation] = b
	}
	b.updateLimits(now, r.Limits)
	if b.limits.RatePerSecond > 0 && r.StartsProgram {
		b.refill(now)
		if wait := d.programs.forecast(now, r, b); wait > 0 {
			return wait, false
		}
	}
	return b.take(now, r)
}

func (d *Dispatcher) refund(organisation string) {
	if b := d.buckets[organisation]; b != nil {
		b.refund()
	}
}

// withJitter adds jitter to a delay, so that refused callers do not all retry at the
// same time.
func (d *Dispatcher) withJitter(delay time.Duration) time.Duration {
	delay = max(delay, minRetryAfter)
	return delay + time.Duration(d.random.Float64()*float64(delay))
}

// release frees the capacity that a grant occupies at its target.
func (d *Dispatcher) release(id string, g *grant) {
	delete(d.grants, id)
	d.grantExpiries.remove(g.expiry)
	g.target.outstanding--
	d.shares.services[g.target.Service].running--
	g.target.tokens -= g.tokens
}

// Done handles the done report of a request. It returns the outcomes of waiting
// requests that can now be decided. The argument units is the amount of work that the
// target did: the number of tokens for an engine, or 1 for a plain service.
func (d *Dispatcher) Done(now time.Duration, id, targetID string, result Result, units int64) []Outcome {
	g := d.grants[id]
	if g != nil && g.target.ID == targetID {
		d.advanceShares(now, g.target.Service)
		d.release(id, g)
		d.connections.ended(now, g.entry, g.target, result)
		switch result {
		case Completed, Failed, Broken:
			g.target.stats.record(now, now-g.grantedAt, units, result != Completed)
		case Abandoned:
		default:
			d.refund(g.organisation)
		}
		d.recordWork(now, g, result)
	}
	t := d.targets[targetID]
	if t == nil {
		return nil
	}
	t.observe(now, result)
	if result == Completed || result == Failed {
		d.queue(t.Service).completions.add(now)
	}
	return d.grantWaiting(now, t.Service)
}

// Cancel drops a waiting request whose caller has disconnected.
func (d *Dispatcher) Cancel(id string) {
	if d.grants[id] == nil {
		d.discard(id)
	}
}

// Tick refuses expired requests, drops grants whose done report is overdue, and grants
// waiting requests to targets with capacity.
func (d *Dispatcher) Tick(now time.Duration) []Outcome {
	for {
		id, due := d.grantExpiries.popDue(now)
		if !due {
			break
		}
		d.release(id, d.grants[id])
	}
	for {
		id, due := d.awaitingToken.popDue(now)
		if !due {
			break
		}
		w := d.waiting[id]
		q := d.queue(w.request.Service)
		q.assignRank(now, w)
		q.add(w)
	}
	d.endColdPeriods(now)
	d.programs.sweep(now)
	d.updateShares(now)
	d.origins.sweep(now)
	d.connections.sweep(now)
	return d.grantAllWaiting(now)
}

// grantAllWaiting calls grantWaiting for each service.
func (d *Dispatcher) grantAllWaiting(now time.Duration) []Outcome {
	var out []Outcome
	for service := range d.queues {
		out = append(out, d.grantWaiting(now, service)...)
	}
	return out
}

// Load holds the request counts and the capacity of a service, for logs and metrics.
type Load struct {
	// Running and Waiting count requests; Slots is the total capacity of the targets
	// that are not draining.
	Running, Waiting, Slots int
}

// Load returns the current load of a service.
func (d *Dispatcher) Load(service string) Load {
	l := Load{Waiting: len(d.queue(service).waiting)}
	for _, t := range d.targetsByService[service] {
		l.Running += t.outstanding
		if !t.Draining {
			l.Slots += t.Slots
		}
	}
	return l
}
