package targets

import (
	"errors"
	"time"

	"hemlockvale.dev/coord/program"
)

// askedMemory is how long after the last call EnsureReleased still counts a call
// as a repetition. Later the program may have come back in the meantime.
const askedMemory = 10 * time.Second

// ErrReleasePending reports a release that its owners have not confirmed yet.
var ErrReleasePending = errors.New("release pending")

// askedRelease is a release that EnsureReleased was called for.
type askedRelease struct {
	lastAsked time.Duration
	// incomplete is set when some part of it was given up.
	incomplete bool
}

// EnsureReleased starts the release of a program on the first call and returns
// nil once the owners of the targets' orders have confirmed it. Until then it
// returns ErrReleasePending and must be repeated within askedMemory: whoever
// must not forget the release keeps its record until this succeeds.
func (t *Targets) EnsureReleased(ref program.Ref, ids []string) error {
	key := CacheKey(ref)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	a := t.asked[key]
	if a == nil || a.incomplete || now-a.lastAsked > askedMemory {
		if t.inbox.add(inboxItem{program: key, ids: ids, renew: true}) {
			t.asked[key] = &askedRelease{lastAsked: now}
		}
		return ErrReleasePending
	}
	a.lastAsked = now
	if t.inbox.has(key) || t.pendingOf[key] > 0 {
		return ErrReleasePending
	}
	delete(t.asked, key)
	return nil
}

// forgetAsked drops what nobody asks for any more. The caller holds the lock.
func (t *Targets) forgetAsked(now time.Duration) {
	for key, a := range t.asked {
		if now-a.lastAsked > askedMemory {
			delete(t.asked, key)
		}
	}
}

// giveUp notes that a release of the program will not be confirmed. The caller
// holds the lock.
func (t *Targets) giveUp(key string) {
	if a := t.asked[key]; a != nil {
		a.incomplete = true
	}
}
