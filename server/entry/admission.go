package entry

import (
	"context"
	"sync"
	"time"

	"hemlockvale.dev/coord/program"
)

// rateRefusalTTL is the time after a refusal for which an organisation counts as
// recently over its rate.
const rateRefusalTTL = time.Second

// recentRateRefusals is the set of organisations that were refused for their rate
// within rateRefusalTTL. It is safe for concurrent use.
type recentRateRefusals struct {
	mu     sync.Mutex
	expiry map[string]time.Time // by organisation
}

func (r *recentRateRefusals) add(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expiry == nil {
		r.expiry = make(map[string]time.Time)
	}
	r.expiry[organisation] = time.Now().Add(rateRefusalTTL)
}

func (r *recentRateRefusals) contains(organisation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expiry, found := r.expiry[organisation]
	if found && time.Now().After(expiry) {
		delete(r.expiry, organisation)
		return false
	}
	return found
}

// admit acquires one request from the organisation's rate limit and begins the call in
// its program. Both run concurrently to save a round trip. For an organisation that
// was recently over its rate, the rate is acquired first, so that a flood of requests
// puts no load on the owners of the programs' shards.
func (e *Entry) admit(ctx context.Context, c *call, begin program.BeginCall) (*program.StoredResponse, *Problem) {
	if e.rateRefusals.contains(c.organisation()) {
		if rateProblem := e.acquireRate(ctx, c); rateProblem != nil {
			return nil, rateProblem
		}
		return e.beginCall(ctx, c, begin)
	}
	beginCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	rateResult := make(chan *Problem, 1)
	go func() {
		rateProblem := e.acquireRate(ctx, c)
		if rateProblem != nil {
			// A rate refusal must not wait until the program can begin the call.
			cancel()
		}
		rateResult <- rateProblem
	}()
	replay, beginProblem := e.beginCall(beginCtx, c, begin)
	rateProblem := <-rateResult
	if rateProblem == nil {
		return replay, beginProblem
	}
	if c.ticket != nil && beginProblem == nil {
		_ = e.finishCall(ctx, c, program.FinishCall{Outcome: program.NotRun})
	}
	return nil, rateProblem
}
