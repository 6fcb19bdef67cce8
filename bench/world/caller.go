package world

import (
	"strconv"
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/bench/workload"
	"hemlockvale.dev/coord/placement"
)

const (
	// switchProbability is the chance that a caller uses another entry for its
	// next call.
	switchProbability = 0.05
	// maxFirstTries is how often a caller tries the first call of a program.
	maxFirstTries = 3
	// maxTries is how often a caller tries a later call.
	maxTries = 100
	// maxDispatches is how often an entry dispatches a call whose target fails.
	maxDispatches = 3
	// releaseDelay is when the memory of an ended program is released.
	releaseDelay = 10 * time.Second
	// minRetry is the least time until a caller repeats a refused call.
	minRetry = time.Second
)

// run is the progress of one program.
type run struct {
	program *workload.Program
	entry   int
	turn    int
	history int64
	// lastEnd is when the last call ended.
	lastEnd time.Duration
	// last is the id of the target that ran the last call.
	last string
	// attained is the service of the program and its ancestors so far.
	attained int64
	ended    func(finished bool)
}

// attempt is a call on its way through an entry.
type attempt struct {
	run        *run
	tries      int
	dispatches int
	target     int
	best       int64 // most of the prefix that any target held at placement
	call       *engine.Call
}

func (w *world) start(p *workload.Program, attained int64, ended func(bool)) {
	r := &run{program: p, entry: w.pickEntry(), attained: attained, ended: ended}
	w.call(&attempt{run: r})
}

// end reports the program's end; the targets release its memory later.
func (w *world) end(r *run, finished bool) {
	w.clock.After(releaseDelay, func() {
		for _, e := range w.engines {
			e.Release(r.program.ID)
		}
	})
	r.ended(finished)
}

func (w *world) pickEntry() int {
	for {
		if i := w.random.IntN(len(w.entries)); w.entries[i].Alive {
			return i
		}
	}
}

func (w *world) call(a *attempt) {
	if !w.entries[a.run.entry].Alive || w.random.Float64() < switchProbability {
		a.run.entry = w.pickEntry()
	}
	w.clock.After(w.config.Deployment.ClientDelay, func() { w.admit(a) })
}

func (w *world) admit(a *attempt) {
	organisation := a.run.program.Organisation
	if len(w.buckets) > 0 {
		admitted, wait := w.buckets[organisation].Take(w.clock.Now())
		if !admitted {
			w.result.Limited++
			w.refused(a, wait)
			return
		}
	}
	w.place(a)
}

// refused lets the caller repeat the call later or give up.
func (w *world) refused(a *attempt, after time.Duration) {
	a.tries++
	limit := maxTries
	if a.run.turn == 0 {
		limit = maxFirstTries
	}
	if a.tries >= limit {
		w.end(a.run, false)
		return
	}
	w.clock.After(max(after, minRetry), func() { w.call(a) })
}

func (w *world) place(a *attempt) {
	r, now := a.run, w.clock.Now()
	view := w.entries[r.entry]
	turn := r.program.Turns[r.turn]
	request := w.request(r, turn)
	decision := w.deciders[r.entry].Decide(request, view.Candidates(now, r.program.ID), w.random.Uint64())
	if decision.Action == placement.Refuse {
		w.result.Refused++
		if a.dispatches > 0 {
			w.result.RefusedLate++
		}
		w.refused(a, decision.RetryAfter)
		return
	}
	a.target = view.Target(decision.Target)
	a.best = w.bestCached(r.program.ID, request.PromptTokens)
	a.call = &engine.Call{
		Program: r.program.ID, Prompt: request.PromptTokens, Output: turn.Output, Priority: decision.Priority,
		Done: func(o engine.Outcome) { w.answered(a, o) },
	}
	w.usage.Record(now, r.program.Organisation, request.PromptTokens-decision.CachedTokens)
	w.dispatch(a)
}

func (w *world) request(r *run, turn workload.Turn) placement.Request {
	tokens, share := w.usage.Read(w.clock.Now(), r.program.Organisation)
	return placement.Request{
		Organisation:            strconv.Itoa(r.program.Organisation),
		Program:                 strconv.Itoa(r.program.ID),
		PromptTokens:            r.history + turn.Input,
		LastTarget:              r.last,
		LastTargetTokens:        r.history,
		SinceLastCall:           w.clock.Now() - r.lastEnd,
		AttainedTokens:          r.attained,
		OrganisationTokens:      tokens,
		OrganisationShare:       share,
		OrganisationEntitlement: w.entitlement(r.program.Organisation),
		Weights:                 w.config.Deployment.Weights,
	}
}

// entitlement is the organisation's part of all contracted rates.
func (w *world) entitlement(organisation int) float64 {
	if len(w.buckets) == 0 {
		return 0
	}
	sum := 0.0
	for _, b := range w.buckets {
		sum += b.Rate
	}
	return w.buckets[organisation].Rate / sum
}

func (w *world) bestCached(program int, prompt int64) int64 {
	best := int64(0)
	for _, e := range w.engines {
		best = max(best, e.Cached(program))
	}
	return min(best, prompt)
}

func (w *world) dispatch(a *attempt) {
	a.dispatches++
	w.result.Dispatched++
	w.running[a] = struct{}{}
	delay := w.config.Deployment.TargetDelay
	w.entries[a.run.entry].Dispatched(a.target, w.clock.Now()+delay, a.call.Prompt+a.call.Output)
	w.clock.After(delay, func() {
		if _, wanted := w.running[a]; !wanted {
			return
		}
		if !w.engines[a.target].Submit(a.call) {
			w.answered(a, engine.Outcome{Failed: true})
		}
	})
}

// answered runs when the target has ended the call.
func (w *world) answered(a *attempt, o engine.Outcome) {
	measured, load := w.clock.Now(), w.engines[a.target].Load()
	if !o.Failed {
		w.result.Uncached += a.call.Prompt - o.Cached
		w.result.Recomputed += max(0, a.best-o.Cached)
	}
	w.clock.After(w.config.Deployment.TargetDelay, func() {
		if _, wanted := w.running[a]; !wanted {
			return
		}
		delete(w.running, a)
		view := w.entries[a.run.entry]
		if o.Failed {
			view.Failed(w.clock.Now(), a.target)
			w.retry(a)
			return
		}
		a.run.lastEnd = w.clock.Now()
		a.run.last = view.ID(a.target)
		view.Observe(a.target, measured, load)
		w.usage.Record(w.clock.Now(), a.run.program.Organisation, a.call.Output)
		w.clock.After(w.config.Deployment.ClientDelay, func() { w.finishTurn(a.run) })
	})
}

// retry places a call whose target failed on another target.
func (w *world) retry(a *attempt) {
	if a.dispatches >= maxDispatches {
		a.dispatches = 0
		w.refused(a, minRetry)
		return
	}
	w.place(a)
}

// finishTurn starts the sub-agents of the turn; the next call follows when all
// of them have ended and the tool has responded.
func (w *world) finishTurn(r *run) {
	turn := r.program.Turns[r.turn]
	r.history += turn.Input + turn.Output
	r.attained += turn.Input + turn.Output
	left := len(turn.Children)
	if left == 0 {
		w.pause(r, turn.Pause)
		return
	}
	for _, child := range turn.Children {
		w.start(child, r.attained, func(bool) {
			left--
			if left == 0 {
				w.pause(r, turn.Pause)
			}
		})
	}
}

func (w *world) pause(r *run, pause time.Duration) {
	w.clock.After(pause, func() {
		r.turn++
		if r.turn == len(r.program.Turns) {
			w.end(r, true)
			return
		}
		w.call(&attempt{run: r})
	})
}
