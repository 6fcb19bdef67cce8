package program

import (
	"maps"
	"slices"
	"time"
)

// suspectKey identifies a request of one organisation.
type suspectKey struct {
	organisation string
	fingerprint  uint64
}

// suspect is a request that ran on targets which then failed.
type suspect struct {
	applied uint64
	targets []string
	last    time.Duration // time of the last crash
	cleared bool
}

// expired says that the record no longer has an effect.
func (s *suspect) expired(now time.Duration) bool { return s.cleared || now >= s.last+QuarantineTime }

// Quarantined says whether the request is refused: it crashed two different
// targets, the last one less than QuarantineTime ago.
func (t *Table) Quarantined(now time.Duration, organisation string, fingerprint uint64) bool {
	s := t.suspects[suspectKey{organisation, fingerprint}]
	return s != nil && len(s.targets) >= quarantineTargets && !s.expired(now)
}

func (t *Table) applyCrash(index uint64, at time.Duration, c *Crash) {
	maps.DeleteFunc(t.suspects, func(_ suspectKey, s *suspect) bool { return s.applied < index && at >= s.last+QuarantineTime })
	k := suspectKey{t.intern(c.Organisation), c.Fingerprint}
	s := t.suspects[k]
	if s == nil {
		s = &suspect{}
		t.suspects[k] = s
	}
	if s.applied >= index {
		return
	}
	s.applied, s.last = index, at
	if s.cleared = c.Clear; c.Clear {
		s.targets = nil
		return
	}
	if !slices.Contains(s.targets, c.Target) {
		s.targets = append(s.targets, c.Target)
	}
}
