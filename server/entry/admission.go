package entry

import (
	"context"
	"sync"
	"time"

	"hemlockvale.dev/coord/program"
)

// refusalMemory is how long an organisation counts as over its rate after a refusal.
const refusalMemory = time.Second

// recentRefusals remembers which organisations were over their rate lately.
type recentRefusals struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (r *recentRefusals) note(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[organisation] = time.Now().Add(refusalMemory)
}

func (r *recentRefusals) has(organisation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, noted := r.until[organisation]
	if noted && time.Now().After(until) {
		delete(r.until, organisation)
		return false
	}
	return noted
}

// admit takes one request from the organisation's rate and the program's turn.
// Both are asked for at once to save a round trip, unless the organisation was
// over its rate lately: then the rate is asked first, so that a flood costs the
// owners of programs nothing.
func (e *Entry) admit(ctx context.Context, c *call, b program.BeginCall) (*program.StoredResponse, *Problem) {
	if e.refusals.has(c.organisation()) {
		if limited := e.acquireRate(ctx, c); limited != nil {
			return nil, limited
		}
		return e.begin(ctx, c, b)
	}
	beginCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	rate := make(chan *Problem, 1)
	go func() {
		limited := e.acquireRate(ctx, c)
		if limited != nil {
			// A refusal must not wait for the program's turn.
			cancel()
		}
		rate <- limited
	}()
	replay, problem := e.begin(beginCtx, c, b)
	limited := <-rate
	if limited == nil {
		return replay, problem
	}
	if c.ticket != nil && problem == nil {
		_ = e.finish(ctx, c, program.FinishCall{Outcome: program.NotRun})
	}
	return nil, limited
}
