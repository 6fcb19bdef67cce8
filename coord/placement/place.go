package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxSampled is the maximum number of candidates that one decision evaluates.
	maxSampled = 40
	// maxSampledCached is the maximum number of sampled candidates that are
	// included because they hold the program's prefix.
	maxSampledCached = 8
	// maxSampledConnected is the maximum number of sampled candidates that are included
	// because a connection to them is open.
	maxSampledConnected = 8
	// defaultMaxBatch is the batch size, in requests, of targets that report none.
	defaultMaxBatch = 16
	// defaultTokensPerSecond is the prefill speed of targets that report none.
	defaultTokensPerSecond = 10000
)

// Place chooses the target and the priority of a request. It is a pure function
// of its arguments and does not allocate: seed determines the random sample when
// there are many candidates, and the jitter that breaks ties.
func Place(p Policy, r Request, cs []Candidate, seed uint64) Decision {
	if len(cs) == 0 {
		return Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	var rng rand.PCG
	rng.Seed(seed, uint64(len(cs)))
	var sampled [maxSampled]int32
	n := sample(&p, &r, cs, &rng, &sampled)
	mean := meanOccupancy(cs, sampled[:n])
	best, bestCost := -1, math.Inf(1)
	leastQueue := math.Inf(1)
	limit := queueLimit(&p, &r)
	rank := requestRank(&p, &r)
	for _, i := range sampled[:n] {
		c := &cs[i]
		occupancy := estimatedOccupancy(&p, c, mean)
		queue := occupancy - 1
		leastQueue = min(leastQueue, queue)
		if queue >= limit {
			continue
		}
		cost := estimateCost(&p, &r, c, occupancy, rank, uniform(&rng))
		if best < 0 || preferred(c, cost, &cs[best], bestCost) {
			best, bestCost = int(i), cost
		}
	}
	if best < 0 {
		return Decision{Action: Refuse, Reason: ReasonOverloaded, RetryAfter: retryAfter(&p, leastQueue-limit, &rng), Candidates: n}
	}
	c := &cs[best]
	return Decision{
		Action:       Dispatch,
		Target:       c.ID,
		Priority:     priority(&r, rank),
		Reason:       reason(&r, c),
		Candidates:   n,
		CachedTokens: cachedTokens(&r, c),
	}
}

// sample writes the indices of the candidates to evaluate to sampled and returns
// their number. It selects all candidates if there are few; otherwise it selects
// candidates that hold the program's prefix, connected ones, and a random sample of all
// that do not hold the prefix.
func sample(p *Policy, r *Request, cs []Candidate, rng *rand.PCG, sampled *[maxSampled]int32) int {
	if len(cs) <= min(p.SampleSize, maxSampled) {
		for i := range cs {
			sampled[i] = int32(i)
		}
		return len(cs)
	}
	n := 0
	for i := range cs {
		if n < maxSampledCached && cachedTokens(r, &cs[i]) > 0 {
			sampled[n] = int32(i)
			n++
		}
	}
	n += sampleConnected(cs, rng, sampled[n:n+maxSampledConnected])
	for range min(p.SampleSize, maxSampled-maxSampledCached-maxSampledConnected) {
		i := int32(rng.Uint64() % uint64(len(cs)))
		if cachedTokens(r, &cs[i]) == 0 {
			sampled[n] = i
			n++
		}
	}
	return n
}

// sampleConnected fills sampled with connected candidates, beginning at a random one, and
// returns their number.
func sampleConnected(cs []Candidate, rng *rand.PCG, sampled []int32) int {
	first := 0
	for first < len(cs) && !cs[first].Connected {
		first++
	}
	if first == len(cs) {
		return 0
	}
	n := 0
	start := int(rng.Uint64() % uint64(len(cs)))
	for k := range cs {
		i := start + k
		if i >= len(cs) {
			i -= len(cs)
		}
		if cs[i].Connected {
			sampled[n] = int32(i)
			n++
			if n == len(sampled) {
				break
			}
		}
	}
	return n
}

// cachedTokens returns the number of prompt tokens that the target has cached.
// The program's record of its last call is used until the target has published
// cache events after that call; from then on a prefix that the events do not show
// has been evicted.
func cachedTokens(r *Request, c *Candidate) int64 {
	cached := c.CachedTokens
	if r.LastTargetTokens > cached && r.SinceLastCall <= c.CacheAge && r.LastTarget == c.ID {
		cached = r.LastTargetTokens
	}
	return min(cached, r.PromptTokens)
}

// overflow returns the number of tokens by which the target's cache memory would
// be exceeded after adding the given number of tokens. It is 0 if the capacity is
// unknown.
func overflow(c *Candidate, tokens float64) float64 {
	if c.KVCapacity <= 0 {
		return 0
	}
	return max(0, float64(c.KVUsed)+tokens-float64(c.KVCapacity))
}

// occupancy returns the reported load as a multiple of the target's batch size.
func occupancy(c *Candidate) float64 {
	return float64(c.Running+c.Waiting) / maxBatch(c)
}

// maxBatch returns the target's batch size, or the default if it reports none.
func maxBatch(c *Candidate) float64 {
	if c.MaxBatch <= 0 {
		return defaultMaxBatch
	}
	return float64(c.MaxBatch)
}

// meanOccupancy returns the mean reported occupancy of the sampled candidates.
func meanOccupancy(cs []Candidate, sampled []int32) float64 {
	sum := 0.0
	for _, i := range sampled {
		sum += occupancy(&cs[i])
	}
	return sum / float64(max(1, len(sampled)))
}

// estimatedOccupancy returns the target's occupancy, corrected for the age of its
// report: the weight of the report halves every ReportHalfLife and the remainder
// is filled with the mean occupancy. Requests that this entry dispatched since
// the report count in full.
func estimatedOccupancy(p *Policy, c *Candidate, mean float64) float64 {
	reportWeight := 1.0
	if p.ReportHalfLife > 0 {
		reportWeight = math.Exp2(-float64(max(0, c.ReportAge)) / float64(p.ReportHalfLife))
	}
	return reportWeight*occupancy(c) + (1-reportWeight)*mean + float64(c.Outstanding)/maxBatch(c)
}

// estimateCost returns the estimated cost of running the request on the target, in
// seconds: the time that the request waits and by which it delays others. rank is
// the request's position in the queue and jitter a random number, both from 0 to 1.
func estimateCost(p *Policy, r *Request, c *Candidate, occupancy, rank, jitter float64) float64 {
	speed := c.TokensPerSecond
	if speed <= 0 {
		speed = defaultTokensPerSecond
	}
	uncached := float64(r.PromptTokens - cachedTokens(r, c))
	prefillCost := uncached * (1 + (p.PrefillWeight-1)*min(1, occupancy))
	evictionCost := p.EvictWeight * min(float64(r.PromptTokens), overflow(c, uncached))
	runningCost := min(1, occupancy) * p.BusyTokens
	queueCost := max(0, occupancy-1) * p.QueueTokens * rank
	return (prefillCost + evictionCost + runningCost + queueCost + float64(c.DistanceTokens) + jitter*p.JitterTokens) / speed
}

// preferred reports whether a is a better choice than b: targets without recent
// failures come first, then those with the lower cost.
func preferred(a *Candidate, costA float64, b *Candidate, costB float64) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	return costA < costB
}

// queueLimit returns the number of waiting batches at which targets refuse the
// request.
func queueLimit(p *Policy, r *Request) float64 {
	if r.AttainedTokens > 0 {
		return p.MaxQueueStarted
	}
	return p.MaxQueue
}

// retryAfter returns the estimated time until the queue of the least loaded target
// falls below the limit, which it exceeds by excess batches. Jitter keeps refused
// callers from retrying at the same time.
func retryAfter(p *Policy, excess float64, rng *rand.PCG) time.Duration {
	jitter := 1 + uniform(rng)
	batches := 1 + max(0, excess)
	return time.Duration(batches * jitter * float64(p.BatchTime))
}

// uniform returns a random number in [0, 1).
func uniform(rng *rand.PCG) float64 {
	const bits = 53 // precision of a float64's significand
	return float64(rng.Uint64()>>(64-bits)) / (1 << bits)
}

// reason returns the reason for choosing the target.
func reason(r *Request, c *Candidate) string {
	switch {
	case c.Suspect:
		return ReasonSuspect
	case cachedTokens(r, c) > 0:
		return ReasonCached
	case c.Connected:
		return ReasonConnected
	default:
		return ReasonLoad
	}
}
