package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockvale.dev/coord/target"
)

// eventInterval is how late cache events are published.
const eventInterval = 200 * time.Millisecond

// eventLog collects cache events and loses some of them.
type eventLog struct {
	loss float64

	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	pending  []target.CacheEvent
}

func newEventLog(loss float64, seed uint64) *eventLog {
	return &eventLog{loss: loss, random: rand.New(rand.NewPCG(seed, seed))}
}

// add numbers an event; a lost one leaves a gap in the numbers.
func (l *eventLog) add(kind, program string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	if l.random.Float64() < l.loss {
		return
	}
	l.pending = append(l.pending, target.CacheEvent{Sequence: l.sequence, Kind: kind, Program: program, Tokens: tokens})
}

func (l *eventLog) take() []target.CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.pending
	l.pending = nil
	return events
}

// run publishes the collected events until ctx ends.
func (l *eventLog) run(ctx context.Context, publish func(context.Context, []target.CacheEvent)) {
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if events := l.take(); len(events) > 0 {
				publish(ctx, events)
			}
		}
	}
}
