package entry

import "hemlockvale.dev/coord/placement"

// Decider places the requests of one entry.
type Decider interface {
	// Decide places the request on one of the candidates or refuses it. The seed
	// determines random choices.
	Decide(r placement.Request, cs []placement.Candidate, seed uint64) placement.Decision
}

// Policy is the placement policy of package placement.
type Policy struct {
	placement.Policy
	// FCFS (first come, first served) ignores the priorities of the policy, so that
	// targets run calls in the order of arrival.
	FCFS bool
}

// Decide implements Decider.
func (p Policy) Decide(r placement.Request, cs []placement.Candidate, seed uint64) placement.Decision {
	d := placement.Place(p.Policy, r, cs, seed)
	if p.FCFS {
		d.Priority = 0
	}
	return d
}

// RoundRobin selects the candidates in turn.
type RoundRobin struct {
	next int
}

// Decide implements Decider.
func (rr *RoundRobin) Decide(_ placement.Request, cs []placement.Candidate, _ uint64) placement.Decision {
	if len(cs) == 0 {
		return refuseNoTarget()
	}
	rr.next = (rr.next + 1) % len(cs)
	return dispatchTo(&cs[rr.next])
}

// LeastOutstanding selects the candidate with the fewest requests.
type LeastOutstanding struct{}

// Decide implements Decider.
func (LeastOutstanding) Decide(_ placement.Request, cs []placement.Candidate, seed uint64) placement.Decision {
	if len(cs) == 0 {
		return refuseNoTarget()
	}
	return dispatchTo(leastOutstanding(cs, seed))
}

// PrefixAffinity keeps a program on the target that has most of its prefix cached;
// programs without a cached prefix go to the target with the fewest requests. It
// uses the same information as the policy.
type PrefixAffinity struct{}

// Decide implements Decider.
func (PrefixAffinity) Decide(r placement.Request, cs []placement.Candidate, seed uint64) placement.Decision {
	if len(cs) == 0 {
		return refuseNoTarget()
	}
	var best *placement.Candidate
	bestTokens := int64(0)
	for i := range cs {
		cached := cs[i].CachedTokens
		if cs[i].ID == r.LastTarget && r.SinceLastCall <= cs[i].CacheAge {
			cached = max(cached, r.LastTargetTokens)
		}
		if !cs[i].Suspect && cached > bestTokens {
			best, bestTokens = &cs[i], cached
		}
	}
	if best == nil {
		best = leastOutstanding(cs, seed)
	}
	return dispatchTo(best)
}

// refuseNoTarget returns the decision to refuse a request without candidates.
func refuseNoTarget() placement.Decision {
	return placement.Decision{Action: placement.Refuse, Reason: placement.ReasonNoTarget}
}

// dispatchTo returns the decision to dispatch a request to the candidate.
func dispatchTo(c *placement.Candidate) placement.Decision {
	return placement.Decision{Action: placement.Dispatch, Target: c.ID, CachedTokens: c.CachedTokens}
}

// leastOutstanding returns the candidate with the fewest requests. The search starts
// at a random candidate so that ties do not all go to the first one.
func leastOutstanding(cs []placement.Candidate, seed uint64) *placement.Candidate {
	start := int(seed % uint64(len(cs)))
	best := &cs[start]
	for i := range cs {
		c := &cs[(start+i)%len(cs)]
		if requestCount(c) < requestCount(best) {
			best = c
		}
	}
	return best
}

// requestCount returns the number of the candidate's running, waiting and outstanding
// requests. Suspect candidates rank behind all others.
func requestCount(c *placement.Candidate) int {
	count := c.Running + c.Waiting + c.Outstanding
	if c.Suspect {
		count += suspectPenalty
	}
	return count
}

// suspectPenalty is added to the request count of suspect targets. It is larger than
// any real count.
const suspectPenalty = 1 << 20
