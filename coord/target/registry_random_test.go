package target

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockvale.dev/coord/internal/schedule"
)

// maxNetworkDelay is the longest network delay of a simulated message, which its age
// does not include.
const maxNetworkDelay = 100 * time.Millisecond

// simTarget is a target that announces itself and publishes cache events.
type simTarget struct {
	id        string
	runNumber int
	alive     bool
	leaving   bool
	endedAt   time.Duration // when the incarnation crashed or began to leave
	sequence  uint64
	lastEvent uint64
	cache     map[string]int64
	eventLost bool // some event of this incarnation was lost or arrived too late
}

// registrySim simulates one entry's registry and the targets that announce
// themselves to it.
type registrySim struct {
	simNetwork
	registry    *Registry
	targets     []*simTarget
	drained     map[string]bool
	faultsEnded bool
}

func newRegistrySim(rt *rapid.T) *registrySim {
	s := &registrySim{simNetwork: simNetwork{rt: rt}, registry: NewRegistry(), drained: map[string]bool{}}
	for i := range 4 {
		t := &simTarget{id: fmt.Sprintf("t%d", i)}
		t.restart()
		s.targets = append(s.targets, t)
	}
	return s
}

func (t *simTarget) restart() {
	t.runNumber++
	t.alive, t.leaving, t.eventLost = true, false, false
	t.sequence, t.lastEvent, t.cache = 0, 0, map[string]int64{}
}

func (t *simTarget) incarnation() string { return fmt.Sprintf("%s-%d", t.id, t.runNumber) }

// announce sends an announcement that may be lost, repeated or delayed by a
// forwarding entry.
func (s *registrySim) announce(t *simTarget) {
	if !t.alive {
		return
	}
	t.sequence++
	a := announcement(t.id, t.incarnation(), t.sequence)
	a.Leaving = t.leaving
	for range s.copies() {
		networkDelay := s.drawDuration(0, maxNetworkDelay, "wire")
		forwardDelay := time.Duration(0)
		if !s.faultsEnded {
			forwardDelay = s.drawDelay(5, 6*time.Second, "held")
		}
		s.deliverAfter(networkDelay+forwardDelay, func() { _ = s.registry.AnnounceAged(s.now, forwardDelay, a) })
	}
}

func (s *registrySim) copies() int {
	if s.faultsEnded {
		return 1
	}
	return rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(s.rt, "copies")
}

// changeCache changes the target's cache and publishes the event.
func (s *registrySim) changeCache(t *simTarget) {
	if !t.alive {
		return
	}
	t.lastEvent++
	e := CacheEvent{Sequence: t.lastEvent, Kind: "stored", Program: fmt.Sprintf("p%d", rapid.IntRange(0, 3).Draw(s.rt, "program"))}
	e.Tokens = rapid.Int64Range(1, 1000).Draw(s.rt, "tokens")
	if rapid.IntRange(0, 3).Draw(s.rt, "removed") == 0 {
		e.Kind, e.Tokens = "removed", 0
	}
	t.cache[e.Program] = e.Tokens
	copies := s.copies()
	run := t.runNumber
	t.eventLost = t.eventLost || copies == 0
	for range copies {
		s.deliverAfter(s.drawDuration(0, reorderWindow/2, "event"), func() {
			err := s.registry.ApplyCacheEvents(s.now, t.id, fmt.Sprintf("%s-%d", t.id, run), []CacheEvent{e})
			if err != nil && t.runNumber == run {
				t.eventLost = true
			}
		})
	}
}

func (s *registrySim) step() {
	s.advance(s.now + s.drawDelay(4, time.Second, "time"))
	t := rapid.SampledFrom(s.targets).Draw(s.rt, "target")
	switch action := rapid.IntRange(0, 99).Draw(s.rt, "action"); {
	case action < 50:
		s.announce(t)
	case action < 70:
		s.changeCache(t)
	case action < 75:
		s.registry.Dispatched(s.now, t.id, 10)
	case action < 80:
		s.registry.Completed(s.now, t.id, 10, nil)
	case action < 83:
		s.registry.Failed(s.now, t.id)
	case action < 87:
		s.stopTarget(t)
	case action < 91:
		if !t.alive || t.leaving {
			t.restart()
		}
	case action < 95:
		s.toggleDrain(t)
	default:
		s.registry.Expire(s.now)
	}
	s.checkCandidates()
}

func (s *registrySim) stopTarget(t *simTarget) {
	if t.leaving || !t.alive {
		return
	}
	t.endedAt = s.now
	t.leaving = true
	t.alive = !s.oneIn(2, "crash")
}

func (s *registrySim) toggleDrain(t *simTarget) {
	s.drained[t.id] = !s.drained[t.id]
	s.registry.Undrain(t.id)
	if s.drained[t.id] {
		s.registry.Drain(t.id)
	}
}

// checkCandidates fails if a target that ended or is drained is a candidate.
func (s *registrySim) checkCandidates() {
	for _, v := range s.registry.Candidates(s.now, "s", "m", "p0") {
		var t *simTarget
		for _, known := range s.targets {
			if known.id == v.ID {
				t = known
			}
		}
		current := v.Incarnation == t.incarnation()
		switch {
		case s.drained[t.id]:
			s.rt.Fatalf("drained %s is a candidate", t.id)
		case current && t.leaving && s.now > t.endedAt+MaxLease+maxNetworkDelay:
			s.rt.Fatalf("%s is a candidate %s after it ended", t.id, s.now-t.endedAt)
		case v.Outstanding < 0 || v.OutstandingTokens < 0 || v.CachedTokens < 0 || v.CachedTokens > 1000:
			s.rt.Fatalf("%s has impossible values: %+v", t.id, v)
		}
	}
}

// endFaults ends all faults. Every running target must then become a candidate with
// its true cache contents, unless an event of it was lost.
func (s *registrySim) endFaults() {
	s.faultsEnded = true
	for range 12 {
		for _, t := range s.targets {
			s.announce(t)
		}
		s.advance(s.now + time.Second)
		s.registry.Expire(s.now)
	}
	s.checkCandidates()
	for _, t := range s.targets {
		usable := false
		for _, v := range s.registry.Candidates(s.now, "s", "m", "p0") {
			usable = usable || v.ID == t.id && v.Incarnation == t.incarnation()
			if v.ID == t.id && !t.eventLost && v.CachedTokens != t.cache["p0"] {
				s.rt.Fatalf("%s holds %d tokens of p0, the view says %d", t.id, t.cache["p0"], v.CachedTokens)
			}
			if v.Outstanding != 0 {
				s.rt.Fatalf("%s has %d outstanding dispatches long after the last one", v.ID, v.Outstanding)
			}
		}
		if want := t.alive && !t.leaving && !s.drained[t.id]; usable != want {
			s.rt.Fatalf("%s: usable is %t, want %t", t.id, usable, want)
		}
	}
}

// TestRegistrySchedules runs random schedules of lost, late and repeated announcements
// and events. It checks that a target that ended is not a candidate, that a running one
// is not excluded permanently, and that the view agrees with the target's cache unless an
// event was lost.
func TestRegistrySchedules(t *testing.T) {
	schedule.Check(t, defaultSchedules, func(rt *rapid.T, steps int) {
		s := newRegistrySim(rt)
		for range steps {
			s.step()
		}
		s.endFaults()
	})
}
