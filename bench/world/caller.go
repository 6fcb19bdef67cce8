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
	entry   int
	turn    int
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

// attempt is a call that a caller sends through an entry until it is answered or
// given up.
type attempt struct {
	programRun       *programRun
	refusals         int
	dispatches       int
	target           int
	bestCachedTokens int64 // largest part of the prompt that a target had cached at placement
	call             *engine.Call
}

// startProgram starts a program or sub-agent whose ancestors have attained the given
// service.
func (s *simulation) startProgram(p *workload.Program, attainedTokens int64, onEnd func(bool)) {
	r := &programRun{program: p, entry: s.pickEntry(), attainedTokens: attainedTokens, onEnd: onEnd}
	s.sendCall(&attempt{programRun: r})
}

// endProgram reports the end of a program; the targets release its memory later.
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

// sendCall sends a call to the caller's entry, or to another one at random or if that
// entry has failed.
func (s *simulation) sendCall(a *attempt) {
	if !s.entries[a.programRun.entry].Alive || s.random.Float64() < switchProbability {
		a.programRun.entry = s.pickEntry()
	}
	s.clock.After(s.config.Deployment.ClientDelay, func() { s.admitCall(a) })
}

// admitCall applies the organisation's rate limit to a call.
func (s *simulation) admitCall(a *attempt) {
	organisation := a.programRun.program.Organisation
	if len(s.buckets) > 0 {
		admitted, wait := s.buckets[organisation].Take(s.clock.Now())
		if !admitted {
			s.result.RateLimited++
			s.handleRefusal(a, wait)
			return
		}
	}
	s.placeCall(a)
}

// handleRefusal repeats a refused call later or abandons the program.
func (s *simulation) handleRefusal(a *attempt, retryAfter time.Duration) {
	a.refusals++
	limit := maxLaterCallRefusals
	if a.programRun.turn == 0 {
		limit = maxFirstCallRefusals
	}
	if a.refusals >= limit {
		s.endProgram(a.programRun, false)
		return
	}
	s.clock.After(max(retryAfter, minRetryDelay), func() { s.sendCall(a) })
}

// placeCall dispatches or refuses a call as the entry's decider decides.
func (s *simulation) placeCall(a *attempt) {
	r, now := a.programRun, s.clock.Now()
	view := s.entries[r.entry]
	turn := r.program.Turns[r.turn]
	request := s.placementRequest(r, turn)
	decision := s.deciders[r.entry].Decide(request, view.Candidates(now, r.program.ID), s.random.Uint64())
	if decision.Action == placement.Refuse {
		s.result.Refused++
		if a.dispatches > 0 {
			s.result.RefusedAfterDispatch++
		}
		s.handleRefusal(a, decision.RetryAfter)
		return
	}
	a.target = view.TargetIndex(decision.Target)
	a.bestCachedTokens = s.maxCachedTokens(r.program.ID, request.PromptTokens)
	a.call = &engine.Call{
		Program: r.program.ID, PromptTokens: request.PromptTokens, OutputTokens: turn.OutputTokens, Priority: decision.Priority,
		Done: func(o engine.Outcome) { s.handleOutcome(a, o) },
	}
	s.usage.Record(now, r.program.Organisation, request.PromptTokens-decision.CachedTokens)
	s.dispatchCall(a)
}

// placementRequest returns the input of the decider for a turn of the program.
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
// 0 if there are none.
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
func (s *simulation) dispatchCall(a *attempt) {
	a.dispatches++
	s.result.Dispatched++
	s.inFlight[a] = struct{}{}
	delay := s.config.Deployment.TargetDelay
	s.entries[a.programRun.entry].RecordDispatch(a.target, s.clock.Now()+delay, a.call.PromptTokens+a.call.OutputTokens)
	s.clock.After(delay, func() {
		if _, ok := s.inFlight[a]; !ok {
			return
		}
		if !s.engines[a.target].Submit(a.call) {
			s.handleOutcome(a, engine.Outcome{Failed: true})
		}
	})
}

// handleOutcome processes the outcome of a call when the target has ended it, and
// returns the response through the entry to the caller.
func (s *simulation) handleOutcome(a *attempt, o engine.Outcome) {
	measuredAt, load := s.clock.Now(), s.engines[a.target].Load()
	if !o.Failed {
		s.result.UncachedTokens += a.call.PromptTokens - o.CachedTokens
		s.result.RecomputedTokens += max(0, a.bestCachedTokens-o.CachedTokens)
	}
	s.clock.After(s.config.Deployment.TargetDelay, func() {
		if _, ok := s.inFlight[a]; !ok {
			return
		}
		delete(s.inFlight, a)
		view := s.entries[a.programRun.entry]
		if o.Failed {
			view.MarkSuspect(s.clock.Now(), a.target)
			s.retryFailedCall(a)
			return
		}
		a.programRun.lastCallEnd = s.clock.Now()
		a.programRun.lastTarget = view.TargetID(a.target)
		view.ApplyLoad(a.target, measuredAt, load)
		s.usage.Record(s.clock.Now(), a.programRun.program.Organisation, a.call.OutputTokens)
		s.clock.After(s.config.Deployment.ClientDelay, func() { s.finishTurn(a.programRun) })
	})
}

// retryFailedCall places a call again after its target has failed.
func (s *simulation) retryFailedCall(a *attempt) {
	if a.dispatches >= maxDispatches {
		a.dispatches = 0
		s.handleRefusal(a, minRetryDelay)
		return
	}
	s.placeCall(a)
}

// finishTurn starts the sub-agents of the turn; the next call follows when all of them
// have ended and the tool has responded.
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
		s.sendCall(&attempt{programRun: r})
	})
}
