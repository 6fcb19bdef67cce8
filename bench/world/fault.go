package world

import (
	"cmp"
	"slices"
	"time"
)

// FaultKind is the kind of fault that is injected into a run.
type FaultKind string

// These constants are the kinds of faults.
const (
	// NoFault injects no fault.
	NoFault FaultKind = ""
	// TargetLost kills target 0.
	TargetLost FaultKind = "target lost"
	// TargetSlow divides the speed of target 0 by slowTargetFactor until the fault ends.
	TargetSlow FaultKind = "target slow"
	// EntryLost stops entry 0; its view of the targets and its calls are lost.
	EntryLost FaultKind = "entry lost"
	// CacheEventsStop suppresses all cache events until the fault ends.
	CacheEventsStop FaultKind = "cache events stop"
)

// slowTargetFactor is the factor by which TargetSlow lengthens the steps of the target.
const slowTargetFactor = 4

// entryLossTimeout is the time after which a caller notices that its entry has failed.
const entryLossTimeout = time.Second

// Fault describes a fault that is injected at a fixed virtual time.
type Fault struct {
	// Kind is the kind of fault.
	Kind FaultKind
	// At and Until are the start and the end, relative to the start of the run. Lost
	// targets and entries do not return.
	At, Until time.Duration
}

// scheduleFault schedules the start and the end of the configured fault.
func (s *simulation) scheduleFault() {
	f := s.config.Fault
	switch f.Kind {
	case TargetLost:
		s.clock.After(f.At, s.engines[0].Kill)
	case TargetSlow:
		s.clock.After(f.At, func() { s.engines[0].SetSlowdown(slowTargetFactor) })
		s.clock.After(f.Until, func() { s.engines[0].SetSlowdown(1) })
	case EntryLost:
		s.clock.After(f.At, func() { s.loseEntry(0) })
	case CacheEventsStop:
		s.clock.After(f.At, func() { s.cacheEventsOff = true })
		s.clock.After(f.Until, func() { s.cacheEventsOff = false })
	}
}

// loseEntry stops an entry and cancels its calls at the targets; the callers repeat
// the calls through other entries.
func (s *simulation) loseEntry(i int) {
	s.entries[i].Alive = false
	var lost []*pendingCall
	for c := range s.inFlight {
		if c.programRun.entry == i {
			lost = append(lost, c)
		}
	}
	sortCalls(lost)
	for _, c := range lost {
		delete(s.inFlight, c)
		s.engines[c.target].Cancel(c.call)
		s.clock.After(entryLossTimeout, func() { s.sendCall(&pendingCall{programRun: c.programRun}) })
	}
}

// sortCalls sorts by program id, because the iteration order of maps is random and runs
// must be deterministic.
func sortCalls(calls []*pendingCall) {
	slices.SortFunc(calls, func(a, b *pendingCall) int {
		return cmp.Compare(a.programRun.program.ID, b.programRun.program.ID)
	})
}
