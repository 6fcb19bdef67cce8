package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hemlockvale.dev/bench/sim"
)

// config describes the engine under test.
var config = Config{
	MaxBatch: 2, StepTime: 10 * time.Millisecond, DecodeCallTime: 0, PrefillTokenTime: 100 * time.Microsecond,
	ChunkTokens: 100, KVCapacity: 1000,
}

// submission is a call that a test submits after a delay.
type submission struct {
	delay          time.Duration
	program        int
	prompt, output int64
	priority       int
}

// TestEngineRunsCalls guards the engine behaviour that the placement policy relies
// on: the duration of each call, the order of waiting calls, cache hits and eviction.
func TestEngineRunsCalls(t *testing.T) {
	cases := []struct {
		name   string
		calls  []submission
		order  []int // programs in the order of their end
		cached []int64
		end    time.Duration // of the last call; 0: not checked
	}{
		{"alone", []submission{{0, 1, 100, 10, 0}}, []int{1}, []int64{0}, 120 * time.Millisecond},
		{"prefill slows down decoding", []submission{{0, 1, 1, 20, 0}, {100 * time.Millisecond, 2, 500, 1, 0}},
			[]int{2, 1}, []int64{0, 0}, 250 * time.Millisecond},
		{"priority orders waiting calls", []submission{{0, 1, 1, 5, 0}, {0, 2, 1, 9, 0}, {1, 3, 1, 1, 7}, {2, 4, 1, 1, 3}},
			[]int{1, 4, 3, 2}, []int64{0, 0, 0, 0}, 0},
		{"second call finds its prefix", []submission{{0, 1, 100, 10, 0}, {time.Second, 1, 200, 10, 0}},
			[]int{1, 1}, []int64{0, 110}, 0},
		{"the end of the least recently used prefix is evicted", []submission{{0, 1, 390, 10, 0}, {time.Second, 2, 700, 10, 0}, {2 * time.Second, 1, 400, 10, 0}},
			[]int{1, 2, 1}, []int64{0, 0, 290}, 0},
		{"a call that does not fit waits", []submission{{0, 1, 590, 10, 0}, {1, 2, 590, 10, 0}, {2, 3, 10, 1, 0}},
			[]int{1, 3, 2}, []int64{0, 0, 0}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := &sim.Clock{}
			e := New(config, clock)
			var order []int
			var cached []int64
			for _, s := range c.calls {
				clock.After(s.delay, func() {
					e.Submit(&Call{Program: s.program, PromptTokens: s.prompt, OutputTokens: s.output, Priority: s.priority, Done: func(o Outcome) {
						order = append(order, s.program)
						cached = append(cached, o.CachedTokens)
					}})
				})
			}
			clock.Run(time.Hour, func() bool { return false })
			assert.Equal(t, c.order, order)
			assert.Equal(t, c.cached, cached)
			if c.end > 0 {
				assert.InDelta(t, c.end.Seconds(), clock.Now().Seconds(), 0.001)
			}
			assert.Zero(t, e.reservedTokens)
			assert.LessOrEqual(t, e.cache.tokens, config.KVCapacity)
		})
	}
}

// TestEngineFailsAndCancels guards against calls that never end and memory that is
// never released when calls are cancelled or the engine is killed.
func TestEngineFailsAndCancels(t *testing.T) {
	clock := &sim.Clock{}
	e := New(config, clock)
	failed := 0
	calls := make([]*Call, 4)
	for i := range calls {
		calls[i] = &Call{Program: i, PromptTokens: 10, OutputTokens: 10, Done: func(o Outcome) {
			assert.True(t, o.Failed)
			failed++
		}}
		e.Submit(calls[i])
	}
	e.Cancel(calls[0])
	e.Cancel(calls[3])
	assert.Equal(t, Load{Running: 2, MaxBatch: 2, KVUsed: 40, KVCapacity: 1000, TokensPerSecond: 5000}, e.Load())
	e.Kill()
	clock.Run(time.Hour, func() bool { return false })
	assert.Equal(t, 2, failed)
	assert.False(t, e.Submit(calls[0]))
}
