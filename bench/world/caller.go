package world

import (
	"strconv"
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/bench/workload"
	"hemlockvale.dev/coord/placement"
)

const (
	// switchProbability is the probability that a caller sends its next call to another
	// entry.
	switchProbability = 0.05
	// maxFirstCallRefusals is the number of refusals after which a caller gives up the
	// first call of a program.
	maxFirstCallRefusals = 3
	// maxLaterCallRefusals is the number of refusals after which a caller gives up a
	// later call.
	maxLaterCallRefusals = 100
	// maxDispatches is the maximum number of failed dispatches of a call, after which the
	// entry refuses the call.
	maxDispatches = 3
	// releaseDelay is the time from the end of a program to the release of its memory at
	// the targets.
	releaseDelay = 10 * time.Second
	// minRetryDelay is the minimum time until a caller repeats a refused call.
	minRetryDelay = time.Second
)

// programRun is the state of a running program.
type programRun struct {
	program *workload.Program
	// entry is the index of the entry that the caller uses.
	entry int
	// turn is the index of the current turn.
	turn int
	// historyTokens is the length of the program's history.
	historyTokens int64
	// lastCallEnd is the time at which the entry received the last response.
	lastCallEnd time.Duration
	// lastTarget is the id of the target that ran the last call.
	lastTarget string
	// attainedTokens counts the tokens served to the program and its ancestors so far.
	attainedTokens int64
	// onEnd is called once, when the program has finished or its caller has given up.
	onEnd func(finished bool)
}

// pendingCall is a call of a program until its response arrives or the caller gives up.
type pendingCall struct {
	programRun       *programRun
	refusals         int
	dispatches       int          // reset to 0 after maxDispatches failed dispatches
	target           int          // index of the target of the last dispatch
	bestCachedTokens int64        // largest part of the prompt that a target had cached at placement
	call             *engine.Call // the call as submitted at the last dispatch
}

// startProgram starts a program or a sub-agent. attainedTokens is the number of tokens
// that its ancestors have been served.
func (s *simulation) startProgram(p *workload.Program, attainedTokens int64, onEnd func(bool)) {
	r := &programRun{program: p, entry: s.pickEntry(), attainedTokens: attainedTokens, onEnd: onEnd}
	s.sendCall(&pendingCall{programRun: r})
}

// endProgram reports the end of a program; the targets release its memory after
// releaseDelay.
func (s *simulation) endProgram(r *programRun, finished bool) {
	s.clock.After(releaseDelay, func() {
		for _, e := range s.engines {
			e.EvictProgram(r.program.ID)
		}
	})
	r.onEnd(finished)
}

// pickEntry returns the index of a random entry that is alive.
func (s *simulation) pickEntry() int {
	for {
		if i := s.random.IntN(len(s.entries)); s.entries[i].Alive {
			return i
		}
	}
}

// sendCall sends a call to the caller's entry. The caller picks a new entry first if
// its entry has failed, and otherwise with switchProbability.
func (s *simulation) sendCall(c *pendingCall) {
	if !s.entries[c.programRun.entry].Alive || s.random.Float64() < switchProbability {
		c.programRun.entry = s.pickEntry()
	}
	s.clock.After(s.config.Deployment.ClientDelay, func() { s.admitCall(c) })
}

// admitCall applies the organisation's rate limit to a call.
func (s *simulation) admitCall(c *pendingCall) {
	organisation := c.programRun.program.Organisation
	if len(s.buckets) > 0 {
		admitted, wait := s.buckets[organisation].Take(s.clock.Now())
		if !admitted {
			s.result.RateLimited++
			s.handleRefusal(c, wait)
			return
		}
	}
	s.placeCall(c)
}

// handleRefusal repeats a refused call later or abandons the program.
func (s *simulation) handleRefusal(c *pendingCall, retryAfter time.Duration) {
	c.refusals++
	limit := maxLaterCallRefusals
	if c.programRun.turn == 0 {
		limit = maxFirstCallRefusals
	}
	if c.refusals >= limit {
		s.endProgram(c.programRun, false)
		return
	}
	s.clock.After(max(retryAfter, minRetryDelay), func() { s.sendCall(c) })
}

// placeCall asks the entry's decider for a decision and dispatches or refuses the call.
func (s *simulation) placeCall(c *pendingCall) {
	r, now := c.programRun, s.clock.Now()
	view := s.entries[r.entry]
	turn := r.program.Turns[r.turn]
	request := s.placementRequest(r, turn)
	decision := s.deciders[r.entry].Decide(request, view.Candidates(now, r.program.ID), s.random.Uint64())
	if decision.Action == placement.Refuse {
		s.result.Refused++
		if c.dispatches > 0 {
			s.result.RefusedAfterDispatch++
		}
		s.handleRefusal(c, decision.RetryAfter)
		return
	}
	c.target = view.TargetIndex(decision.Target)
	c.bestCachedTokens = s.maxCachedTokens(r.program.ID, request.PromptTokens)
	c.call = &engine.Call{
		Program: r.program.ID, PromptTokens: request.PromptTokens, OutputTokens: turn.OutputTokens, Priority: decision.Priority,
		Done: func(o engine.Outcome) { s.handleOutcome(c, o) },
	}
	s.usage.Record(now, r.program.Organisation, request.PromptTokens-decision.CachedTokens)
	s.dispatchCall(c)
}

// placementRequest returns the placement request for the call of a turn.
func (s *simulation) placementRequest(r *programRun, turn workload.Turn) placement.Request {
	tokens, share := s.usage.Read(s.clock.Now(), r.program.Organisation)
	return placement.Request{
		Organisation:            strconv.Itoa(r.program.Organisation),
		Program:                 strconv.Itoa(r.program.ID),
		PromptTokens:            r.historyTokens + turn.InputTokens,
		LastTarget:              r.lastTarget,
		LastTargetTokens:        r.historyTokens,
		SinceLastCall:           s.clock.Now() - r.lastCallEnd,
		AttainedTokens:          r.attainedTokens,
		OrganisationTokens:      tokens,
		OrganisationShare:       share,
		OrganisationEntitlement: s.entitlement(r.program.Organisation),
		Weights:                 s.config.Deployment.Weights,
	}
}

// entitlement returns the organisation's share of the sum of all contracted rates, or
// 0 if there are no contracts.
func (s *simulation) entitlement(organisation int) float64 {
	if len(s.buckets) == 0 {
		return 0
	}
	sum := 0.0
	for _, b := range s.buckets {
		sum += b.Rate
	}
	return s.buckets[organisation].Rate / sum
}

// maxCachedTokens returns the largest number of prompt tokens that any target has
// cached.
func (s *simulation) maxCachedTokens(program int, promptTokens int64) int64 {
	best := int64(0)
	for _, e := range s.engines {
		best = max(best, e.CachedTokens(program))
	}
	return min(best, promptTokens)
}

// dispatchCall sends a call to its target.
func (s *simulation) dispatchCall(c *pendingCall) {
	c.dispatches++
	s.result.Dispatched++
	s.inFlight[c] = struct{}{}
	delay := s.config.Deployment.TargetDelay
	s.entries[c.programRun.entry].RecordDispatch(c.target, s.clock.Now()+delay, c.call.PromptTokens+c.call.OutputTokens)
	s.clock.After(delay, func() {
		if _, ok := s.inFlight[c]; !ok {
			return
		}
		if !s.engines[c.target].Submit(c.call) {
			s.handleOutcome(c, engine.Outcome{Failed: true})
		}
	})
}

// handleOutcome returns the outcome of a call from the target to the entry, which sends
// the response to the caller or, if the call failed, places the call again.
func (s *simulation) handleOutcome(c *pendingCall, o engine.Outcome) {
	measuredAt, load := s.clock.Now(), s.engines[c.target].Load()
	if !o.Failed {
		s.result.UncachedTokens += c.call.PromptTokens - o.CachedTokens
		s.result.RecomputedTokens += max(0, c.bestCachedTokens-o.CachedTokens)
	}
	s.clock.After(s.config.Deployment.TargetDelay, func() {
		if _, ok := s.inFlight[c]; !ok {
			return
		}
		delete(s.inFlight, c)
		view := s.entries[c.programRun.entry]
		if o.Failed {
			view.MarkSuspect(s.clock.Now(), c.target)
			s.retryFailedCall(c)
			return
		}
		c.programRun.lastCallEnd = s.clock.Now()
		c.programRun.lastTarget = view.TargetID(c.target)
		view.ApplyLoad(c.target, measuredAt, load)
		s.usage.Record(s.clock.Now(), c.programRun.program.Organisation, c.call.OutputTokens)
		s.clock.After(s.config.Deployment.ClientDelay, func() { s.finishTurn(c.programRun) })
	})
}

// retryFailedCall places a call again after its target has failed, and refuses it after
// maxDispatches.
func (s *simulation) retryFailedCall(c *pendingCall) {
	if c.dispatches >= maxDispatches {
		c.dispatches = 0
		s.handleRefusal(c, minRetryDelay)
		return
	}
	s.placeCall(c)
}

// finishTurn starts the sub-agents of the turn. The next turn starts when all of them
// have ended and the tool call that follows them has finished.
func (s *simulation) finishTurn(r *programRun) {
	turn := r.program.Turns[r.turn]
	r.historyTokens += turn.InputTokens + turn.OutputTokens
	r.attainedTokens += turn.InputTokens + turn.OutputTokens
	childrenLeft := len(turn.Children)
	if childrenLeft == 0 {
		s.scheduleNextTurn(r, turn.ToolTime)
		return
	}
	for _, child := range turn.Children {
		s.startProgram(child, r.attainedTokens, func(bool) {
			childrenLeft--
			if childrenLeft == 0 {
				s.scheduleNextTurn(r, turn.ToolTime)
			}
		})
	}
}

// scheduleNextTurn starts the next turn, or ends the program, after the delay.
func (s *simulation) scheduleNextTurn(r *programRun, delay time.Duration) {
	s.clock.After(delay, func() {
		r.turn++
		if r.turn == len(r.program.Turns) {
			s.endProgram(r, true)
			return
		}
		s.sendCall(&pendingCall{programRun: r})
	})
}
