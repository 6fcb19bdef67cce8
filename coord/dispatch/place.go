package dispatch

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/placement"
)

// place grants the request if a target has capacity for it.
func (d *Dispatcher) place(now time.Duration, w *waitingRequest) (Outcome, bool) {
	r := &w.request
	prompt := r.promptTokens()
	decision := d.choose(now, r, prompt, prompt+r.OutputTokens)
	if decision.Action != placement.Dispatch {
		return Outcome{}, false
	}
	return d.grantAt(now, w, decision), true
}

// grantAt grants the request at the target that a decision names.
func (d *Dispatcher) grantAt(now time.Duration, w *waitingRequest, decision placement.Decision) Outcome {
	r := &w.request
	need := r.promptTokens() + r.OutputTokens
	t := d.targets[decision.Target]
	t.outstanding++
	d.shares.service(now, t.Service).running++
	t.tokens += need
	if t.rate != nil {
		t.rate.bucket.tokens--
	}
	if t.isCold(now) {
		t.cold.bucket.tokens--
		decision.Reason = ReasonCold
	}
	d.connections.granted(now, r.Entry, t)
	if t.cache != nil {
		t.cache.recordPrompt(r.Parts)
	}
	if w.program != nil {
		w.program.addWait(now, now-w.queuedAt)
	}
	d.recordOrigin(now, w, t)
	d.grants[r.ID] = &grant{target: t, organisation: r.Organisation, entry: r.Entry, tokens: need, grantedAt: now, expiry: d.grantExpiries.add(r.ID, w.expires+grantGracePeriod)}
	return Outcome{ID: r.ID, Target: t.ID, Waited: now - w.queuedAt, Cached: decision.CachedTokens, Reason: decision.Reason}
}

// choose makes the placement decision among the targets of the request's best class
// that have capacity. Targets of a worse class are not considered, even if all targets
// of the best class are busy: the request waits for a healthy target instead of losing
// time at one that is probably down. Cold targets are considered only if no warm one of their class
// has capacity: they are idle, and would otherwise be the least loaded.
func (d *Dispatcher) choose(now time.Duration, r *Request, prompt, need int64) placement.Decision {
	if len(r.Unreachable) > 0 && !d.hasReachableTarget(r) {
		// The targets that it waited for have left.
		r.Unreachable = nil
	}
	best := unusable
	median := d.median(now, r.Service)
	preference := d.connections.preference(now, r, d.targetsByService[r.Service])
	keyed := r.hasAffinity()
	d.free = d.free[:0]
	d.candidates, d.coldCandidates = d.candidates[:0], d.coldCandidates[:0]
	for _, t := range d.targetsByService[r.Service] {
		if !r.allows(t) || !r.reaches(t) || !r.mayContinue(t) {
			continue
		}
		class := t.classFor(now, r)
		if class > best {
			continue
		}
		if class < best {
			best = class
			d.candidates, d.coldCandidates, d.free = d.candidates[:0], d.coldCandidates[:0], d.free[:0]
		}
		if !t.hasCapacity(now, need) {
			continue
		}
		c := t.candidate(r)
		c.DistanceTokens += t.stats.penalty(now, median)
		preference.apply(r, t, &c)
		if t.isCold(now) {
			d.coldCandidates = append(d.coldCandidates, c)
		} else {
			d.candidates = append(d.candidates, c)
			if keyed {
				d.free = append(d.free, t)
			}
		}
	}
	if keyed && best == healthy && len(d.free) > 0 {
		if t, reason := d.chooseByAffinity(now, r, median, &preference); t != nil {
			return placement.Decision{Action: placement.Dispatch, Target: t.ID, Reason: reason}
		}
	}
	candidates := d.candidates
	if len(candidates) == 0 {
		candidates = d.coldCandidates
	}
	q := placement.Request{Organisation: r.Organisation, PromptTokens: prompt, Priority: r.Priority}
	return placement.Place(d.policy, q, candidates, d.random.Uint64())
}

// acceptsRequests reports whether any target of a service accepts requests.
func (d *Dispatcher) acceptsRequests(service string) bool {
	return slices.ContainsFunc(d.targetsByService[service], func(t *target) bool { return !t.Draining })
}

// hasTarget reports whether a request may wait for a target: one that may get it accepts
// requests.
func (d *Dispatcher) hasTarget(r *Request) bool {
	if r.Target != "" {
		t := d.targets[r.Target]
		return t != nil && t.Service == r.Service && r.allows(t) && !t.Draining
	}
	return slices.ContainsFunc(d.targetsByService[r.Service], func(t *target) bool { return r.allows(t) && !t.Draining })
}

// noTargetRefusal returns the refusal of a request whose service has no target that accepts
// requests.
func (d *Dispatcher) noTargetRefusal(service string) Refusal {
	if slices.ContainsFunc(d.targetsByService[service], func(t *target) bool { return t.Evacuated }) && !d.acceptsRequests(service) {
		return Evacuated
	}
	return NoTarget
}

// hasReachableTarget reports whether the sending VM can reach a target that may get the
// request.
func (d *Dispatcher) hasReachableTarget(r *Request) bool {
	return slices.ContainsFunc(d.targetsByService[r.Service], func(t *target) bool { return r.allows(t) && r.reaches(t) && !t.Draining })
}

// hasHealthyTarget reports whether other VMs reach a target that may get the request.
func (d *Dispatcher) hasHealthyTarget(now time.Duration, r *Request) bool {
	return slices.ContainsFunc(d.targetsByService[r.Service], func(t *target) bool { return r.allows(t) && t.classFor(now, r) <= excluded })
}

// median returns the median unit time of a service's targets, which is recomputed
// every medianValidity.
func (d *Dispatcher) median(now time.Duration, service string) float64 {
	m := d.medians[service]
	if m == nil {
		m = &cachedMedian{}
		d.medians[service] = m
	}
	if now >= m.validUntil {
		m.value = medianUnitTime(d.targetsByService[service])
		m.validUntil = now + medianValidity
	}
	return m.value
}

// cachedMedian is a median with the time until which it is valid.
type cachedMedian struct {
	value      float64
	validUntil time.Duration
}

// candidate describes the target to the placement policy.
func (t *target) candidate(r *Request) placement.Candidate {
	c := placement.Candidate{ID: t.ID, DataCentre: t.DataCentre, Running: t.outstanding, MaxBatch: max(t.Slots, 1), KVUsed: t.tokens, KVCapacity: t.KVCapacity}
	if t.cache != nil {
		c.CachedTokens = t.cache.cachedTokens(r.Parts)
	}
	if t.DataCentre != r.DataCentre {
		c.DistanceTokens = distanceTokens
	}
	return c
}
