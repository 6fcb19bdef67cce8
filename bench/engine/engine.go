// Package engine is a queueing model of an inference engine with continuous batching.
//
// Each step generates one token for every decoding call and processes up to one
// chunk of prefill, so that prefill slows down all running calls. The step time is
// constant between two events; the model therefore advances from event to event and
// never executes single steps.
package engine

import (
	"container/heap"
	"time"

	"hemlockvale.dev/bench/sim"
)

// Config holds the size and the speed of an engine.
type Config struct {
	// MaxBatch is the maximum number of running calls.
	MaxBatch int
	// StepTime is the duration of a step without calls.
	StepTime time.Duration
	// DecodeCallTime is the time that each decoding call adds to a step.
	DecodeCallTime time.Duration
	// PrefillTokenTime is the time that each prefill token adds to a step.
	PrefillTokenTime time.Duration
	// ChunkTokens is the maximum number of prefill tokens in a step.
	ChunkTokens int64
	// KVCapacity is the memory for running calls and cached prefixes, in tokens.
	KVCapacity int64
}

// UnloadedTime returns the service time of a call on an idle engine.
func (c Config) UnloadedTime(prefillTokens, outputTokens int64) time.Duration {
	chunks := float64(prefillTokens) / float64(c.ChunkTokens)
	prefillTime := chunks * float64(c.StepTime+time.Duration(c.ChunkTokens)*c.PrefillTokenTime)
	return time.Duration(prefillTime + float64(outputTokens)*float64(c.StepTime+c.DecodeCallTime))
}

// Outcome is the result of a call.
type Outcome struct {
	// Failed is true if the engine was killed before the call finished.
	Failed bool
	// CachedTokens is the number of prompt tokens that were in the prefix cache.
	CachedTokens int64
}

// Call is a request to the engine.
type Call struct {
	// Program is the id of the program that makes the call.
	Program int
	// PromptTokens includes the cached prefix; OutputTokens is the number of tokens to
	// generate.
	PromptTokens, OutputTokens int64
	// Priority orders waiting calls; the lowest value runs first.
	Priority int
	// Done is invoked once, when the call has finished or failed, unless it is cancelled.
	Done func(Outcome)

	arrival      uint64 // position in the order of submission
	state        state
	heapIndex    int     // position in the heap of waiting or decoding calls
	prefillLeft  float64 // prompt tokens still to be processed
	finishAt     float64 // value of Engine.decodedTokens at which the call ends
	cachedTokens int64
}

// state is the phase of a call in the engine.
type state int

const (
	stateNew state = iota
	stateWaiting
	statePrefill
	stateDecode
	stateEnded
)

// Load is the load report of an engine.
type Load struct {
	// Running, Waiting and MaxBatch are numbers of calls.
	Running, Waiting, MaxBatch int
	// KVUsed is the part of KVCapacity that running calls and cached prefixes use; both
	// are in tokens.
	KVUsed, KVCapacity int64
	// TokensPerSecond is the prefill speed without decoding calls, at the current slowdown.
	TokensPerSecond float64
}

// Engine models the engine of one target.
type Engine struct {
	config         Config
	clock          *sim.Clock
	slowdown       float64 // factor of the duration of all steps
	killed         bool
	cache          cache
	waiting        callHeap
	decoding       callHeap
	prefilling     []*Call
	reservedTokens int64   // memory of running calls, in tokens
	decodedTokens  float64 // number of steps so far; each step generates one token for every decoding call
	lastAdvance    time.Duration
	sequence       uint64
	generation     uint64 // incremented at each change, which invalidates the event scheduled before
}

// New returns an idle engine.
func New(config Config, clock *sim.Clock) *Engine {
	return &Engine{
		config:   config,
		clock:    clock,
		slowdown: 1,
		cache:    newCache(),
		waiting:  callHeap{less: queuedBefore},
		decoding: callHeap{less: finishesBefore},
	}
}

// Submit queues a call. It returns false if the engine has been killed.
func (e *Engine) Submit(c *Call) bool {
	if e.killed {
		return false
	}
	e.advance()
	e.sequence++
	c.arrival = e.sequence
	c.state = stateWaiting
	heap.Push(&e.waiting, c)
	e.applyDueChanges()
	return true
}

// Cancel ends a call without invoking Done and releases its memory.
func (e *Engine) Cancel(c *Call) {
	e.advance()
	switch c.state {
	case stateWaiting:
		heap.Remove(&e.waiting, c.heapIndex)
	case statePrefill:
		e.removePrefill(c)
		e.releaseMemory(c)
	case stateDecode:
		heap.Remove(&e.decoding, c.heapIndex)
		e.releaseMemory(c)
	}
	c.state = stateEnded
	e.applyDueChanges()
}

// releaseMemory frees the memory of a running call that is cancelled. The program's
// history is lost, because the call had taken it from the cache.
func (e *Engine) releaseMemory(c *Call) {
	e.reservedTokens -= c.PromptTokens + c.OutputTokens
	e.cache.drop(c.Program)
}

// removePrefill removes a call from the prefill queue.
func (e *Engine) removePrefill(c *Call) {
	for i, other := range e.prefilling {
		if other == c {
			e.prefilling = append(e.prefilling[:i], e.prefilling[i+1:]...)
			return
		}
	}
}

// Kill stops the engine. All calls fail and the cache is lost.
func (e *Engine) Kill() {
	calls := append([]*Call{}, e.waiting.calls...)
	calls = append(calls, e.prefilling...)
	calls = append(calls, e.decoding.calls...)
	e.killed = true
	e.generation++
	e.waiting.calls, e.prefilling, e.decoding.calls = nil, nil, nil
	e.cache = newCache()
	for _, c := range calls {
		c.state = stateEnded
		c.Done(Outcome{Failed: true})
	}
}

// Alive reports whether the engine has not been killed.
func (e *Engine) Alive() bool {
	return !e.killed
}

// SetSlowdown sets the factor by which the duration of all steps is multiplied.
func (e *Engine) SetSlowdown(factor float64) {
	e.advance()
	e.slowdown = factor
	e.applyDueChanges()
}

// CachedTokens returns the number of tokens of the program's history in the cache.
// It is 0 while a call of the program runs on this engine.
func (e *Engine) CachedTokens(program int) int64 {
	return e.cache.lookup(program)
}

// EvictProgram removes the history of an ended program from the cache.
func (e *Engine) EvictProgram(program int) {
	if e.cache.lookup(program) > 0 {
		e.cache.drop(program)
	}
}

// Load returns the current load.
func (e *Engine) Load() Load {
	chunk := e.config.StepTime + time.Duration(e.config.ChunkTokens)*e.config.PrefillTokenTime
	return Load{
		Running:         len(e.prefilling) + e.decoding.Len(),
		Waiting:         e.waiting.Len(),
		MaxBatch:        e.config.MaxBatch,
		KVUsed:          e.reservedTokens + e.cache.tokens,
		KVCapacity:      e.config.KVCapacity,
		TokensPerSecond: float64(e.config.ChunkTokens) / (chunk.Seconds() * e.slowdown),
	}
}

// TakeEvents returns the cache events since the previous call of TakeEvents.
func (e *Engine) TakeEvents() []CacheEvent {
	events := e.cache.events
	e.cache.events = nil
	return events
}

// stepNanoseconds returns the current duration of a step, in nanoseconds.
func (e *Engine) stepNanoseconds() float64 {
	step := e.config.StepTime + time.Duration(e.decoding.Len())*e.config.DecodeCallTime
	if len(e.prefilling) > 0 {
		step += time.Duration(e.config.ChunkTokens) * e.config.PrefillTokenTime
	}
	return float64(step) * e.slowdown
}

// advance applies the steps that have passed since the previous advance.
func (e *Engine) advance() {
	now := e.clock.Now()
	steps := float64(now-e.lastAdvance) / e.stepNanoseconds()
	e.lastAdvance = now
	e.decodedTokens += steps
	if len(e.prefilling) > 0 {
		e.prefilling[0].prefillLeft -= steps * float64(e.config.ChunkTokens)
	}
}

// tokenTolerance absorbs the rounding of event times to nanoseconds, in tokens.
const tokenTolerance = 1e-4

// applyDueChanges applies all state changes that are due, schedules the next one and
// notifies the callers of finished calls.
func (e *Engine) applyDueChanges() {
	ended := e.completePhases()
	e.startWaiting()
	e.scheduleNextChange()
	for _, c := range ended {
		c.Done(Outcome{CachedTokens: c.cachedTokens})
	}
}

// completePhases moves the first prefilling call to decoding if its prefill is
// complete, and returns the calls that have finished decoding.
func (e *Engine) completePhases() []*Call {
	if len(e.prefilling) > 0 && e.prefilling[0].prefillLeft <= tokenTolerance {
		c := e.prefilling[0]
		e.prefilling = e.prefilling[1:]
		c.state = stateDecode
		c.finishAt = e.decodedTokens + float64(c.OutputTokens)
		heap.Push(&e.decoding, c)
	}
	var ended []*Call
	for e.decoding.Len() > 0 && e.decoding.calls[0].finishAt <= e.decodedTokens+tokenTolerance {
		c := heap.Pop(&e.decoding).(*Call)
		c.state = stateEnded
		e.reservedTokens -= c.PromptTokens + c.OutputTokens
		e.cache.store(c.Program, c.PromptTokens+c.OutputTokens)
		ended = append(ended, c)
	}
	return ended
}

// startWaiting starts waiting calls while the batch and the memory have room. A call
// that does not fit blocks the calls behind it, so that long calls are not starved; it
// starts at the latest when no other call is running.
func (e *Engine) startWaiting() {
	for e.waiting.Len() > 0 && len(e.prefilling)+e.decoding.Len() < e.config.MaxBatch {
		c := e.waiting.calls[0]
		required := c.PromptTokens + c.OutputTokens
		if e.reservedTokens > 0 && e.reservedTokens+required > e.config.KVCapacity {
			return
		}
		heap.Pop(&e.waiting)
		c.cachedTokens = min(e.cache.take(c.Program), c.PromptTokens)
		c.state = statePrefill
		c.prefillLeft = float64(c.PromptTokens - c.cachedTokens)
		e.reservedTokens += required
		e.cache.shrink(e.config.KVCapacity - e.reservedTokens)
		e.prefilling = append(e.prefilling, c)
	}
}

// scheduleNextChange schedules the next change of state: the end of the current prefill
// or of the decoding call that finishes first, whichever is earlier.
func (e *Engine) scheduleNextChange() {
	e.generation++
	stepsLeft := -1.0
	if len(e.prefilling) > 0 {
		stepsLeft = max(0, e.prefilling[0].prefillLeft/float64(e.config.ChunkTokens))
	}
	if e.decoding.Len() > 0 {
		stepsToFinish := max(0, e.decoding.calls[0].finishAt-e.decodedTokens)
		if stepsLeft < 0 || stepsToFinish < stepsLeft {
			stepsLeft = stepsToFinish
		}
	}
	if stepsLeft < 0 {
		return
	}
	generation := e.generation
	e.clock.After(time.Duration(stepsLeft*e.stepNanoseconds())+1, func() {
		if generation != e.generation {
			return
		}
		e.advance()
		e.applyDueChanges()
	})
}
