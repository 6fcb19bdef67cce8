package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockvale.dev/coord/target"
)

// eventInterval is the time between publications of cache events. It delays each event
// by up to that time.
const eventInterval = 200 * time.Millisecond

// eventBuffer collects cache events for publication and loses some of them at random.
type eventBuffer struct {
	lossProbability float64

	// mu guards the fields below.
	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	pending  []target.CacheEvent
}

func newEventBuffer(lossProbability float64, seed uint64) *eventBuffer {
	return &eventBuffer{lossProbability: lossProbability, random: rand.New(rand.NewPCG(seed, seed))}
}

// add gives an event the next sequence number. A lost event leaves a gap in the
// sequence numbers.
func (b *eventBuffer) add(kind, program string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	if b.random.Float64() < b.lossProbability {
		return
	}
	b.pending = append(b.pending, target.CacheEvent{Sequence: b.sequence, Kind: kind, Program: program, Tokens: tokens})
}

// takePending returns the collected events and clears the buffer.
func (b *eventBuffer) takePending() []target.CacheEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.pending
	b.pending = nil
	return events
}

// run publishes the collected events every eventInterval until ctx ends.
func (b *eventBuffer) run(ctx context.Context, publish func(context.Context, []target.CacheEvent)) {
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if events := b.takePending(); len(events) > 0 {
				publish(ctx, events)
			}
		}
	}
}
