package program

import (
	"maps"
	"slices"
	"time"
)

// suspectKey identifies a request of an organisation.
type suspectKey struct {
	organisation string
	fingerprint  uint64
}

// suspect records the targets that failed while they ran a request.
type suspect struct {
	applied   uint64 // index of the last record that changed this suspect
	targets   []string
	lastCrash time.Duration // shard time of the last crash, or of the clearing
	cleared   bool
}

// expired reports whether the suspect no longer has an effect.
func (s *suspect) expired(now time.Duration) bool {
	return s.cleared || now >= s.lastCrash+QuarantineDuration
}

// Quarantined reports whether the request is refused because it crashed two
// different targets, with the last crash less than QuarantineDuration ago.
func (t *Table) Quarantined(now time.Duration, organisation string, fingerprint uint64) bool {
	s := t.suspects[suspectKey{organisation, fingerprint}]
	return s != nil && len(s.targets) >= quarantineThreshold && !s.expired(now)
}

// applyCrash records or clears a crash of a request. It also deletes the suspects
// whose quarantine is over.
func (t *Table) applyCrash(index uint64, at time.Duration, c *Crash) {
	maps.DeleteFunc(t.suspects, func(_ suspectKey, s *suspect) bool { return s.applied < index && at >= s.lastCrash+QuarantineDuration })
	k := suspectKey{t.intern(c.Organisation), c.Fingerprint}
	s := t.suspects[k]
	if s == nil {
		s = &suspect{}
		t.suspects[k] = s
	}
	if s.applied >= index {
		return
	}
	s.applied, s.lastCrash = index, at
	if s.cleared = c.Clear; c.Clear {
		s.targets = nil
		return
	}
	if !slices.Contains(s.targets, c.Target) {
		s.targets = append(s.targets, c.Target)
	}
}
