package world

import (
	"cmp"
	"slices"
	"time"
)

// FaultKind is what goes wrong during a run.
type FaultKind string

// Kinds of faults.
const (
	// NoFault lets everything work.
	NoFault FaultKind = ""
	// TargetLost kills target 0.
	TargetLost FaultKind = "target lost"
	// TargetSlow slows target 0 down to a quarter of its speed until the end.
	TargetSlow FaultKind = "target slow"
	// EntryLost loses entry 0 with its view and its calls.
	EntryLost FaultKind = "entry lost"
	// CacheEventsStop suppresses all cache events until the end.
	CacheEventsStop FaultKind = "cache events stop"
)

// slowdown is the factor of TargetSlow.
const slowdown = 4

// entryTimeout is when a caller notices that its entry is lost.
const entryTimeout = time.Second

// Fault happens at a fixed time of a run.
type Fault struct {
	Kind      FaultKind
	At, Until time.Duration
}

func (w *world) scheduleFault() {
	f := w.config.Fault
	switch f.Kind {
	case TargetLost:
		w.clock.After(f.At, w.engines[0].Kill)
	case TargetSlow:
		w.clock.After(f.At, func() { w.engines[0].SetSlowdown(slowdown) })
		w.clock.After(f.Until, func() { w.engines[0].SetSlowdown(1) })
	case EntryLost:
		w.clock.After(f.At, func() { w.loseEntry(0) })
	case CacheEventsStop:
		w.clock.After(f.At, func() { w.cacheOff = true })
		w.clock.After(f.Until, func() { w.cacheOff = false })
	}
}

// loseEntry ends the entry's calls at their targets; the callers repeat them
// through other entries.
func (w *world) loseEntry(i int) {
	w.entries[i].Alive = false
	var lost []*attempt
	for a := range w.running {
		if a.run.entry == i {
			lost = append(lost, a)
		}
	}
	sortAttempts(lost)
	for _, a := range lost {
		delete(w.running, a)
		w.engines[a.target].Cancel(a.call)
		w.clock.After(entryTimeout, func() { w.call(&attempt{run: a.run}) })
	}
}

// sortAttempts makes the order independent of the map.
func sortAttempts(attempts []*attempt) {
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Compare(a.run.program.ID, b.run.program.ID)
	})
}
