package entry

import "hemlockvale.dev/coord/placement"

// Decider places the requests of one entry.
type Decider interface {
	Decide(r placement.Request, cs []placement.Candidate, seed uint64) placement.Decision
}

// Policy is the product's policy.
type Policy struct {
	placement.Policy
	// FirstCome ignores the policy's priorities: targets serve in the order of
	// arrival.
	FirstCome bool
}

// Decide implements Decider.
func (p Policy) Decide(r placement.Request, cs []placement.Candidate, seed uint64) placement.Decision {
	d := placement.Place(p.Policy, r, cs, seed)
	if p.FirstCome {
		d.Priority = 0
	}
	return d
}

// RoundRobin takes the targets in turn.
type RoundRobin struct {
	next int
}

// Decide implements Decider.
func (rr *RoundRobin) Decide(_ placement.Request, cs []placement.Candidate, _ uint64) placement.Decision {
	if len(cs) == 0 {
		return noTarget()
	}
	rr.next = (rr.next + 1) % len(cs)
	return dispatchTo(&cs[rr.next])
}

// LeastOutstanding takes the target with the fewest requests.
type LeastOutstanding struct{}

// Decide implements Decider.
func (LeastOutstanding) Decide(_ placement.Request, cs []placement.Candidate, seed uint64) placement.Decision {
	if len(cs) == 0 {
		return noTarget()
	}
	return dispatchTo(leastOutstanding(cs, seed))
}

// PrefixAffinity keeps a program on the target that holds most of its prefix;
// programs without a cached prefix go to the target with the fewest requests.
// It has the same knowledge as the policy.
type PrefixAffinity struct{}

// Decide implements Decider.
func (PrefixAffinity) Decide(r placement.Request, cs []placement.Candidate, seed uint64) placement.Decision {
	if len(cs) == 0 {
		return noTarget()
	}
	var best *placement.Candidate
	most := int64(0)
	for i := range cs {
		cached := cs[i].CachedTokens
		if cs[i].ID == r.LastTarget && r.SinceLastCall <= cs[i].CacheAge {
			cached = max(cached, r.LastTargetTokens)
		}
		if !cs[i].Suspect && cached > most {
			best, most = &cs[i], cached
		}
	}
	if best == nil {
		best = leastOutstanding(cs, seed)
	}
	return dispatchTo(best)
}

func noTarget() placement.Decision {
	return placement.Decision{Action: placement.Refuse, Reason: placement.ReasonNoTarget}
}

func dispatchTo(c *placement.Candidate) placement.Decision {
	return placement.Decision{Action: placement.Dispatch, Target: c.ID, CachedTokens: c.CachedTokens}
}

// leastOutstanding starts at a random target so that ties do not all go to the
// first one.
func leastOutstanding(cs []placement.Candidate, seed uint64) *placement.Candidate {
	start := int(seed % uint64(len(cs)))
	best := &cs[start]
	for i := range cs {
		c := &cs[(start+i)%len(cs)]
		if requests(c) < requests(best) {
			best = c
		}
	}
	return best
}

func requests(c *placement.Candidate) int {
	requests := c.Running + c.Waiting + c.Outstanding
	if c.Suspect {
		requests += suspectPenalty
	}
	return requests
}

// suspectPenalty ranks suspect targets behind all others.
const suspectPenalty = 1 << 20
