package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockvale.dev/coord/placement"
)

const (
	// lostAfter is how long after its caller's time a grant without an end is dropped.
	lostAfter = 500 * time.Millisecond
	// medianInterval is how long a service's median time is used.
	medianInterval = 100 * time.Millisecond
	// minRetryAfter spreads refused callers.
	minRetryAfter = 50 * time.Millisecond
	// distanceTokens is the cost of a target in another data centre, in prefill
	// tokens: bytes between data centres are dear, so a target nearby may have
	// three quarters of its slots more in use.
	distanceTokens = 1500
	// unknownRetryAfter is for services without a target.
	unknownRetryAfter = 300 * time.Millisecond
)

// Dispatcher is the state machine.
type Dispatcher struct {
	began   time.Duration
	policy  placement.Policy
	random  *rand.Rand
	targets map[string]*target
	byName  map[string][]*target // by service
	buckets map[string]*bucket
	grants  map[string]*grant
	queues  map[string]*queue // by service
	// programs are those under way.
	programs programs
	medians  map[string]*cachedMedian
	// quarantine holds back requests that crash targets.
	quarantine quarantine
	// shaped requests wait for their organisation's token.
	shaped []*waiting
	// candidates is reused between decisions.
	candidates []placement.Candidate
}

// grant is a request that runs.
type grant struct {
	target  *target
	org     string
	tokens  int64
	began   time.Duration
	expires time.Duration
	// fingerprint is the request's.
	fingerprint uint64
}

// New returns a dispatcher without targets that grants from now on; the seed breaks ties.
func New(now time.Duration, seed uint64) *Dispatcher {
	policy := placement.DefaultPolicy()
	// The dispatcher sees all requests, so that equal views need no spreading.
	policy.JitterTokens = 20
	return &Dispatcher{
		began:      now,
		policy:     policy,
		random:     rand.New(rand.NewPCG(seed, 1)),
		targets:    make(map[string]*target),
		byName:     make(map[string][]*target),
		buckets:    make(map[string]*bucket),
		grants:     make(map[string]*grant),
		queues:     make(map[string]*queue),
		programs:   make(programs),
		medians:    make(map[string]*cachedMedian),
		quarantine: newQuarantine(),
	}
}

// SetTargets replaces the known targets and returns what can run now.
func (d *Dispatcher) SetTargets(now time.Duration, ts []Target) []Outcome {
	next := make(map[string]*target, len(ts))
	d.byName = make(map[string][]*target)
	for _, t := range ts {
		n := d.targets[t.ID]
		if n == nil || n.Service != t.Service || n.KVCapacity != t.KVCapacity {
			n = newTarget(t)
		}
		n.Target = t
		next[t.ID] = n
		d.byName[t.Service] = append(d.byName[t.Service], n)
	}
	d.targets = next
	return d.runAll(now)
}

// Admit decides about a request. If it waits, a later call returns its outcome.
func (d *Dispatcher) Admit(now time.Duration, r Request) Outcome {
	if d.quarantine.holds(now, r.Fingerprint) {
		d.forget(r.ID)
		return Outcome{ID: r.ID, Refusal: Quarantined, RetryAfter: quarantineTime}
	}
	token := now
	if !d.forget(r.ID) {
		wait, ok := d.charge(now, &r)
		if !ok {
			return Outcome{ID: r.ID, Refusal: OverRate, RetryAfter: d.spread(wait)}
		}
		token += wait
	}
	if len(d.byName[r.Service]) == 0 {
		d.uncharge(r.Organisation)
		return Outcome{ID: r.ID, Refusal: NoTarget, RetryAfter: d.spread(unknownRetryAfter)}
	}
	w := newWaiting(now, r, d.programs.observe(now, &r))
	if token > now {
		w.token = token
		d.shaped = append(d.shaped, w)
		return Outcome{ID: r.ID}
	}
	q := d.queue(r.Service)
	q.rank(now, w)
	if len(q.waiting) == 0 {
		if o, ok := d.place(now, w); ok {
			return o
		}
	}
	if wait := q.expectedWait(now, w); wait > r.TimeLeft {
		d.uncharge(r.Organisation)
		return Outcome{ID: r.ID, Refusal: Overloaded, RetryAfter: d.spread(wait - r.TimeLeft)}
	}
	q.add(w)
	return Outcome{ID: r.ID}
}

// queue returns the queue of a service.
func (d *Dispatcher) queue(service string) *queue {
	q := d.queues[service]
	if q == nil {
		q = &queue{}
		d.queues[service] = q
	}
	return q
}

// forget drops an earlier question under the same id and says whether its token is still charged.
func (d *Dispatcher) forget(id string) bool {
	if g := d.grants[id]; g != nil {
		d.release(id, g)
		return true
	}
	hasID := func(w *waiting) bool { return w.request.ID == id }
	for _, q := range d.queues {
		if i := slices.IndexFunc(q.waiting, hasID); i >= 0 {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return true
		}
	}
	if i := slices.IndexFunc(d.shaped, hasID); i >= 0 {
		d.shaped = slices.Delete(d.shaped, i, i+1)
		return true
	}
	return false
}

func (d *Dispatcher) charge(now time.Duration, r *Request) (time.Duration, bool) {
	if r.Organisation == "" {
		return 0, true
	}
	b := d.buckets[r.Organisation]
	if b == nil {
		b = newBucket(d.began, r.Limits)
		d.buckets[r.Organisation] = b
	}
	b.adopt(now, r.Limits)
	return b.take(now, r)
}

func (d *Dispatcher) uncharge(organisation string) {
	if b := d.buckets[organisation]; b != nil {
		b.refund()
	}
}

// spread adds jitter to a delay, so that refused callers do not return together.
func (d *Dispatcher) spread(delay time.Duration) time.Duration {
	delay = max(delay, minRetryAfter)
	return delay + time.Duration(d.random.Float64()*float64(delay))
}

// place grants the request if a target is free.
func (d *Dispatcher) place(now time.Duration, w *waiting) (Outcome, bool) {
	r := &w.request
	prompt := r.promptTokens()
	need := prompt + r.OutputTokens
	decision := d.choose(now, r, prompt, need)
	if decision.Action != placement.Dispatch {
		return Outcome{}, false
	}
	t := d.targets[decision.Target]
	t.outstanding++
	t.tokens += need
	if t.cache != nil {
		t.cache.read(r.Parts)
	}
	if w.program != nil {
		w.program.held(now, now-w.since)
	}
	d.grants[r.ID] = &grant{target: t, org: r.Organisation, tokens: need, began: now, expires: w.expires + lostAfter, fingerprint: r.Fingerprint}
	return Outcome{ID: r.ID, Target: t.ID, Waited: now - w.since, Cached: decision.CachedTokens, Reason: decision.Reason}, true
}

// choose places the request on the free targets of the best kind that the
// service has. While a sound target is only busy, a request waits for it rather
// than lose time at one that is down.
func (d *Dispatcher) choose(now time.Duration, r *Request, prompt, need int64) placement.Decision {
	best := d.bestKind(now, r)
	median := d.median(now, r.Service)
	d.candidates = d.candidates[:0]
	for _, t := range d.byName[r.Service] {
		if t.kindFor(now, r) != best || !t.free(now, need) {
			continue
		}
		c := t.candidate(r)
		c.DistanceTokens += t.experience.cost(now, median)
		d.candidates = append(d.candidates, c)
	}
	q := placement.Request{Organisation: r.Organisation, PromptTokens: prompt, Priority: r.Priority}
	return placement.Place(d.policy, q, d.candidates, d.random.Uint64())
}

// bestKind returns the best kind of target that the service has for a request.
func (d *Dispatcher) bestKind(now time.Duration, r *Request) targetKind {
	best := unusable
	for _, t := range d.byName[r.Service] {
		best = min(best, t.kindFor(now, r))
	}
	return best
}

// median returns the median time of a service's targets; it is computed anew now and then.
func (d *Dispatcher) median(now time.Duration, service string) float64 {
	m := d.medians[service]
	if m == nil {
		m = &cachedMedian{}
		d.medians[service] = m
	}
	if now >= m.until {
		m.value = medianTime(d.byName[service])
		m.until = now + medianInterval
	}
	return m.value
}

// cachedMedian is valid until a time.
type cachedMedian struct {
	value float64
	until time.Duration
}

func (t *target) candidate(r *Request) placement.Candidate {
	c := placement.Candidate{ID: t.ID, DataCentre: t.DataCentre, Running: t.outstanding, MaxBatch: max(t.Slots, 1), KVUsed: t.tokens, KVCapacity: t.KVCapacity}
	if t.cache != nil {
		c.CachedTokens = t.cache.cached(r.Parts)
	}
	if t.DataCentre != r.DataCentre {
		c.DistanceTokens = distanceTokens
	}
	return c
}

func (d *Dispatcher) release(id string, g *grant) {
	delete(d.grants, id)
	g.target.outstanding--
	g.target.tokens -= g.tokens
}

// Done ends a request at its target and returns what can run instead. units is
// the work that the target did: tokens of an engine, 1 for a plain service.
func (d *Dispatcher) Done(now time.Duration, id, targetID string, result Result, units int64) []Outcome {
	g := d.grants[id]
	fingerprint := uint64(0)
	if g != nil && g.target.ID == targetID {
		fingerprint = g.fingerprint
		d.release(id, g)
		switch result {
		case Completed, Failed, Broken:
			g.target.experience.add(now, now-g.began, units, result != Completed)
		case Abandoned:
		default:
			d.uncharge(g.org)
		}
	}
	d.quarantine.observe(now, targetID, fingerprint, result)
	t := d.targets[targetID]
	if t == nil {
		return nil
	}
	t.observe(now, result)
	if result == Completed || result == Failed {
		d.queue(t.Service).completions.add(now)
	}
	return d.run(now, t.Service)
}

// Cancel drops a waiting request whose caller has left.
func (d *Dispatcher) Cancel(id string) {
	if d.grants[id] == nil {
		d.forget(id)
	}
}

// Tick refuses what has expired, drops lost grants and runs what can run.
func (d *Dispatcher) Tick(now time.Duration) []Outcome {
	for id, g := range d.grants {
		if now > g.expires {
			d.release(id, g)
		}
	}
	d.shaped = slices.DeleteFunc(d.shaped, func(w *waiting) bool {
		due := w.token <= now
		if due {
			q := d.queue(w.request.Service)
			q.rank(now, w)
			q.add(w)
		}
		return due
	})
	d.programs.sweep(now)
	return d.runAll(now)
}

func (d *Dispatcher) runAll(now time.Duration) []Outcome {
	var out []Outcome
	for service := range d.queues {
		out = append(out, d.run(now, service)...)
	}
	return out
}

// Load describes a service for logs and metrics.
type Load struct {
	// Running and Waiting are requests, Slots the capacity of the targets in use.
	Running, Waiting, Slots int
}

// Load returns the load of a service.
func (d *Dispatcher) Load(service string) Load {
	l := Load{Waiting: len(d.queue(service).waiting)}
	for _, t := range d.byName[service] {
		l.Running += t.outstanding
		if !t.Draining {
			l.Slots += t.Slots
		}
	}
	return l
}
