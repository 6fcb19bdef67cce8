// Package sim provides the virtual clock of the placement policy benchmark.
package sim

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their virtual time. Events at the same time run
// in the order in which they were scheduled, so that runs are deterministic.
type Clock struct {
	now      time.Duration
	sequence uint64
	events   events
}

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now returns the current virtual time.
func (c *Clock) Now() time.Duration {
	return c.now
}

// After schedules run to be called after the delay; a negative delay counts as 0.
func (c *Clock) After(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + max(0, delay), sequence: c.sequence, run: run})
}

// Run runs events until done returns true, no event is left, or the next event is
// after the limit.
func (c *Clock) Run(limit time.Duration, done func() bool) {
	for len(c.events) > 0 && !done() {
		next := heap.Pop(&c.events).(event)
		if next.at > limit {
			return
		}
		c.now = next.at
		next.run()
	}
}

// events implements heap.Interface, ordered by time and then by sequence.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
