// Package engine is a queueing model of a model engine with continuous batching.
//
// Each step produces one token for every decoding call and processes up to one
// chunk of prefill, so that prefill slows down all running calls. Between two
// events the step time is constant; the model therefore advances from event to
// event and never executes single steps.
package engine

import (
	"container/heap"
	"time"

	"hemlockvale.dev/bench/sim"
)

// Config describes an engine.
type Config struct {
	// MaxBatch is how many calls run at once.
	MaxBatch int
	// StepTime is the duration of a step without calls.
	StepTime time.Duration
	// SequenceTime is added to a step for each decoding call.
	SequenceTime time.Duration
	// TokenTime is added to a step for each prefill token.
	TokenTime time.Duration
	// ChunkTokens is the most prefill tokens in one step.
	ChunkTokens int64
	// KVCapacity is the memory for running calls and cached prefixes, in tokens.
	KVCapacity int64
}

// Alone is the service time of a call on an idle engine.
func (c Config) Alone(prefill, output int64) time.Duration {
	chunks := float64(prefill) / float64(c.ChunkTokens)
	first := chunks * float64(c.StepTime+time.Duration(c.ChunkTokens)*c.TokenTime)
	return time.Duration(first + float64(output)*float64(c.StepTime+c.SequenceTime))
}

// Outcome is the result of a call.
type Outcome struct {
	// Failed means that the engine died before the call ended.
	Failed bool
	// Cached is how much of the prompt was not computed again.
	Cached int64
}

// Call is a request to the engine.
type Call struct {
	Program        int
	Prompt, Output int64
	// Priority orders waiting calls; lower runs first.
	Priority int
	// Done is invoked once, unless the call is cancelled.
	Done func(Outcome)

	sequence uint64
	state    state
	index    int     // position in the heap of its state
	prefill  float64 // tokens left to prefill
	finish   float64 // value of Engine.decoded at which the call ends
	cached   int64
}

type state int

const (
	stateNew state = iota
	stateWaiting
	statePrefill
	stateDecode
	stateEnded
)

// Load is what an engine reports about itself.
type Load struct {
	Running, Waiting, MaxBatch int
	KVUsed, KVCapacity         int64
	TokensPerSecond            float64
}

// Engine is one target.
type Engine struct {
	config     Config
	clock      *sim.Clock
	slowdown   float64
	dead       bool
	cache      cache
	waiting    callHeap
	decoding   callHeap
	prefilling []*Call
	reserved   int64   // memory of running calls, in tokens
	decoded    float64 // tokens that each decoding call has produced since the start
	advanced   time.Duration
	sequence   uint64
	generation uint64 // invalidates scheduled events after a change
}

// New returns an idle engine.
func New(config Config, clock *sim.Clock) *Engine {
	return &Engine{
		config:   config,
		clock:    clock,
		slowdown: 1,
		cache:    newCache(),
		waiting:  callHeap{less: waitsBefore},
		decoding: callHeap{less: endsBefore},
	}
}

// Submit queues a call and reports whether the engine is alive.
func (e *Engine) Submit(c *Call) bool {
	if e.dead {
		return false
	}
	e.advance()
	e.sequence++
	c.sequence = e.sequence
	c.state = stateWaiting
	heap.Push(&e.waiting, c)
	e.settle()
	return true
}

// Cancel ends a call without invoking Done and releases its memory.
func (e *Engine) Cancel(c *Call) {
	e.advance()
	switch c.state {
	case stateWaiting:
		heap.Remove(&e.waiting, c.index)
	case statePrefill:
		e.removePrefill(c)
		e.release(c)
	case stateDecode:
		heap.Remove(&e.decoding, c.index)
		e.release(c)
	}
	c.state = stateEnded
	e.settle()
}

func (e *Engine) release(c *Call) {
	e.reserved -= c.Prompt + c.Output
	e.cache.drop(c.Program)
}

func (e *Engine) removePrefill(c *Call) {
	for i, other := range e.prefilling {
		if other == c {
			e.prefilling = append(e.prefilling[:i], e.prefilling[i+1:]...)
			return
		}
	}
}

// Kill fails all calls and loses the cache.
func (e *Engine) Kill() {
	calls := append([]*Call{}, e.waiting.calls...)
	calls = append(calls, e.prefilling...)
	calls = append(calls, e.decoding.calls...)
	e.dead = true
	e.generation++
	e.waiting.calls, e.prefilling, e.decoding.calls = nil, nil, nil
	e.cache = newCache()
	for _, c := range calls {
		c.state = stateEnded
		c.Done(Outcome{Failed: true})
	}
}

// Alive reports whether the engine runs.
func (e *Engine) Alive() bool {
	return !e.dead
}

// SetSlowdown multiplies the duration of all steps.
func (e *Engine) SetSlowdown(factor float64) {
	e.advance()
	e.slowdown = factor
	e.settle()
}

// Cached is how much of the program's history the engine holds while no call of
// the program runs.
func (e *Engine) Cached(program int) int64 {
	return e.cache.lookup(program)
}

// Release drops the history of a program that has ended.
func (e *Engine) Release(program int) {
	if e.cache.lookup(program) > 0 {
		e.cache.drop(program)
	}
}

// Load returns the current load.
func (e *Engine) Load() Load {
	chunk := e.config.StepTime + time.Duration(e.config.ChunkTokens)*e.config.TokenTime
	return Load{
		Running:         len(e.prefilling) + e.decoding.Len(),
		Waiting:         e.waiting.Len(),
		MaxBatch:        e.config.MaxBatch,
		KVUsed:          e.reserved + e.cache.tokens,
		KVCapacity:      e.config.KVCapacity,
		TokensPerSecond: float64(e.config.ChunkTokens) / (chunk.Seconds() * e.slowdown),
	}
}

// TakeEvents returns the cache events since the previous invocation.
func (e *Engine) TakeEvents() []CacheEvent {
	events := e.cache.events
	e.cache.events = nil
	return events
}

// step is the duration of the current kind of step, in nanoseconds.
func (e *Engine) step() float64 {
	step := e.config.StepTime + time.Duration(e.decoding.Len())*e.config.SequenceTime
	if len(e.prefilling) > 0 {
		step += time.Duration(e.config.ChunkTokens) * e.config.TokenTime
	}
	return float64(step) * e.slowdown
}

// advance applies the steps since the previous change.
func (e *Engine) advance() {
	now := e.clock.Now()
	steps := float64(now-e.advanced) / e.step()
	e.advanced = now
	e.decoded += steps
	if len(e.prefilling) > 0 {
		e.prefilling[0].prefill -= steps * float64(e.config.ChunkTokens)
	}
}

// tolerance absorbs rounding of event times to nanoseconds, in tokens.
const tolerance = 1e-4

// settle applies all changes that are due and schedules the next one.
func (e *Engine) settle() {
	ended := e.endCalls()
	e.admit()
	e.schedule()
	for _, c := range ended {
		c.Done(Outcome{Cached: c.cached})
	}
}

func (e *Engine) endCalls() []*Call {
	if len(e.prefilling) > 0 && e.prefilling[0].prefill <= tolerance {
		c := e.prefilling[0]
		e.prefilling = e.prefilling[1:]
		c.state = stateDecode
		c.finish = e.decoded + float64(c.Output)
		heap.Push(&e.decoding, c)
	}
	var ended []*Call
	for e.decoding.Len() > 0 && e.decoding.calls[0].finish <= e.decoded+tolerance {
		c := heap.Pop(&e.decoding).(*Call)
		c.state = stateEnded
		e.reserved -= c.Prompt + c.Output
		e.cache.store(c.Program, c.Prompt+c.Output)
		ended = append(ended, c)
	}
	return ended
}

// admit starts waiting calls while the batch and the memory have room. A call
// that does not fit blocks those behind it, so that long calls are not starved.
func (e *Engine) admit() {
	for e.waiting.Len() > 0 && len(e.prefilling)+e.decoding.Len() < e.config.MaxBatch {
		c := e.waiting.calls[0]
		need := c.Prompt + c.Output
		if e.reserved > 0 && e.reserved+need > e.config.KVCapacity {
			return
		}
		heap.Pop(&e.waiting)
		c.cached = min(e.cache.take(c.Program), c.Prompt)
		c.state = statePrefill
		c.prefill = float64(c.Prompt - c.cached)
		e.reserved += need
		e.cache.shrink(e.config.KVCapacity - e.reserved)
		e.prefilling = append(e.prefilling, c)
	}
}

func (e *Engine) schedule() {
	e.generation++
	steps := -1.0
	if len(e.prefilling) > 0 {
		steps = max(0, e.prefilling[0].prefill/float64(e.config.ChunkTokens))
	}
	if e.decoding.Len() > 0 {
		left := max(0, e.decoding.calls[0].finish-e.decoded)
		if steps < 0 || left < steps {
			steps = left
		}
	}
	if steps < 0 {
		return
	}
	generation := e.generation
	e.clock.After(time.Duration(steps*e.step())+1, func() {
		if generation != e.generation {
			return
		}
		e.advance()
		e.settle()
	})
}
