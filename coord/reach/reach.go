// Package reach decides which targets a VM can reach, and whether the VM has lost its links
// to all of them. It knows connections that were made, refused or not answered, and
// responses; it asks for further connection attempts where these leave a doubt.
//
// The package has no I/O and no clock, and is not safe for concurrent use.
//
// Invariants:
//   - While all connections succeed, no attempt is asked for.
//   - The number of attempts asked for at once does not grow with the number of targets.
//   - A response from a target, or a connection to it, ends every doubt about it at once.
package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// surveySize is the number of targets that are tried to find out whether the VM has lost
	// all of its links, and the most attempts that are asked for at once.
	surveySize = 12
	// surveyTrigger is the number of unreachable targets that start a survey.
	surveyTrigger = 2
	// quietTime is the time without a response of any target that lets a survey start.
	quietTime = 250 * time.Millisecond
	// minRetry and maxRetry bound the time between two attempts at an unreachable target,
	// which doubles with each failure.
	minRetry = 250 * time.Millisecond
	maxRetry = 8 * time.Second
	// isolatedRetry is the time between two rounds of attempts of a VM that has lost all of
	// its links, and isolatedSample the number of targets tried in each.
	isolatedRetry  = 500 * time.Millisecond
	isolatedSample = 4
	// minDoubtInterval is the time between two attempts at a target that is only in doubt.
	minDoubtInterval = 300 * time.Millisecond
)

// state is what is known about one target that is in doubt or unreachable.
type state struct {
	// failures is the number of successive failed connections; 0 means reachable.
	failures int
	// triedAt is when the latest attempt was asked for, and retryAt when the next one is
	// due.
	triedAt, retryAt time.Duration
}

// Tracker follows the targets of one VM.
type Tracker struct {
	random *rand.Rand
	// known holds the targets of the catalog. states holds those that are in doubt.
	known  map[string]bool
	states map[string]*state
	// down is the number of unreachable targets.
	down int
	// heardAt is when any target was last heard, and lostAt is when one was last found to be
	// unreachable that had been reachable.
	heardAt, lostAt time.Duration
	// isolated is set while the VM has lost all of its links, and isolatedRetryAt is when
	// the next targets are tried then.
	isolated        bool
	isolatedRetryAt time.Duration
}

// New returns a tracker without targets. The seed initialises the choice of samples.
func New(seed uint64) *Tracker {
	return &Tracker{random: rand.New(rand.NewPCG(seed, 2)), known: make(map[string]bool), states: make(map[string]*state)}
}

// SetTargets replaces the set of known targets.
func (t *Tracker) SetTargets(ids []string) {
	t.known = make(map[string]bool, len(ids))
	for _, id := range ids {
		t.known[id] = true
	}
	for id := range t.states {
		if !t.known[id] {
			t.forget(id)
		}
	}
	if len(t.known) == 0 || t.down == 0 {
		t.isolated = false
	}
}

func (t *Tracker) forget(id string) {
	if s := t.states[id]; s != nil {
		if s.failures > 0 {
			t.down--
		}
		delete(t.states, id)
	}
}

// Heard records a response of a target or a connection to it.
func (t *Tracker) Heard(now time.Duration, id string) {
	t.heardAt = now
	returned := t.Unreachable(id)
	t.forget(id)
	t.isolated = false
	if !returned {
		return
	}
	// The other targets are probably reachable again as well.
	for _, s := range t.states {
		s.retryAt = now
	}
}

// Failed records that a connection to a target was refused or not answered in time.
func (t *Tracker) Failed(now time.Duration, id string) {
	if !t.known[id] {
		return
	}
	s := t.state(id)
	if s.failures == 0 {
		t.down++
		t.lostAt = now
	}
	s.failures++
	s.retryAt = now + min(minRetry<<min(s.failures-1, 8), maxRetry)
	if !t.isolated && t.lostAll(now) {
		t.isolated, t.isolatedRetryAt = true, now+isolatedRetry
	}
}

func (t *Tracker) state(id string) *state {
	s := t.states[id]
	if s == nil {
		s = &state{triedAt: -minDoubtInterval}
		t.states[id] = s
	}
	return s
}

// lostAll reports whether the unreachable targets show that the VM has lost all of its
// links: they are all that there are, or a sample of many while no other one is heard.
func (t *Tracker) lostAll(now time.Duration) bool {
	if len(t.known) < surveyTrigger {
		return false
	}
	return t.down == len(t.known) || t.down >= surveySize && now >= t.heardAt+quietTime
}

// Doubt records that a connection to a target broke or that the target does not respond. It
// reports whether a connection attempt should be made now.
func (t *Tracker) Doubt(now time.Duration, id string) bool {
	if !t.known[id] || t.isolated {
		return false
	}
	s := t.state(id)
	if now < s.triedAt+minDoubtInterval {
		return false
	}
	s.triedAt = now
	return true
}

// Due returns the targets that should be tried now.
func (t *Tracker) Due(now time.Duration) []string {
	switch {
	case t.isolated && now < t.isolatedRetryAt:
		return nil
	case t.isolated:
		t.isolatedRetryAt = now + isolatedRetry
		return t.take(now, isolatedSample, slices.Collect(maps.Keys(t.known)))
	case t.Suspicious(now):
		return t.take(now, surveySize, t.untried(now))
	}
	return t.take(now, surveySize, t.dueRetries(now))
}

// Suspicious reports whether the VM may have lost all of its links: some targets can't be
// reached, and none has been heard since that was found.
func (t *Tracker) Suspicious(now time.Duration) bool {
	if t.isolated || t.down < surveyTrigger || t.down >= min(surveySize, len(t.known)) {
		return false
	}
	return t.heardAt < t.lostAt && now >= t.heardAt+quietTime
}

// dueRetries returns the unreachable targets whose next attempt is due.
func (t *Tracker) dueRetries(now time.Duration) []string {
	var ids []string
	for id, s := range t.states {
		if s.failures > 0 && now >= s.retryAt {
			ids = append(ids, id)
		}
	}
	return ids
}

// untried returns the targets for a survey: all but those that were tried just now.
func (t *Tracker) untried(now time.Duration) []string {
	ids := t.dueRetries(now)
	for id := range t.known {
		if s := t.states[id]; s == nil || s.failures == 0 && now >= s.triedAt+minDoubtInterval {
			ids = append(ids, id)
		}
	}
	return ids
}

// take returns up to n of the targets, chosen at random, and records that they are tried.
func (t *Tracker) take(now time.Duration, n int, ids []string) []string {
	slices.Sort(ids)
	t.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		s := t.state(id)
		s.triedAt, s.retryAt = now, now+maxRetry
	}
	return ids
}

// Idle reports whether no target is unreachable, so that Due need not be called.
func (t *Tracker) Idle() bool { return t.down == 0 }

// Isolated reports whether the VM has lost the links to all targets.
func (t *Tracker) Isolated() bool { return t.isolated }

// AllUnreachable returns the targets that can't be reached, in no particular order.
func (t *Tracker) AllUnreachable() []string {
	var ids []string
	for id := range t.states {
		if t.Unreachable(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Unreachable reports whether a target can't be reached.
func (t *Tracker) Unreachable(id string) bool {
	s := t.states[id]
	return s != nil && s.failures > 0
}
