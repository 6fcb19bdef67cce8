package targets

import (
	"errors"
	"time"

	"hemlockvale.dev/coord/program"
)

// ensureRetryWindow is the time after a call of EnsureReleased during which another
// call for the same program counts as a retry. A later call starts a new release,
// because engines may have stored the program again in the meantime.
const ensureRetryWindow = 10 * time.Second

// ErrReleasePending reports a release that the owners of the targets' shards have
// not confirmed yet.
var ErrReleasePending = errors.New("release pending")

// ensuredRelease is a release that EnsureReleased was called for.
type ensuredRelease struct {
	// lastCall is the time of the last call of EnsureReleased.
	lastCall time.Duration
	// incomplete is set when the release on some target will not be confirmed.
	incomplete bool
}

// EnsureReleased starts the release of a program on the first call and returns nil
// once the owners of the targets' shards have confirmed it. Until then it returns
// ErrReleasePending, and the caller must call it again within ensureRetryWindow. A
// caller that must not lose the release keeps its own record of it until
// EnsureReleased returns nil.
func (t *Targets) EnsureReleased(ref program.Ref, targets []string) error {
	key := CacheKey(ref)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	e := t.ensured[key]
	if e == nil || e.incomplete || now-e.lastCall > ensureRetryWindow {
		if t.requested.add(requestedRelease{program: key, targets: targets, recheck: true}) {
			t.ensured[key] = &ensuredRelease{lastCall: now}
		}
		return ErrReleasePending
	}
	e.lastCall = now
	if t.requested.has(key) || t.pendingCount[key] > 0 {
		return ErrReleasePending
	}
	delete(t.ensured, key)
	return nil
}

// expireEnsured deletes the releases for which EnsureReleased was not called during
// ensureRetryWindow. The caller holds the lock.
func (t *Targets) expireEnsured(now time.Duration) {
	for key, e := range t.ensured {
		if now-e.lastCall > ensureRetryWindow {
			delete(t.ensured, key)
		}
	}
}

// markIncomplete records that a release of the program will not be confirmed on all
// targets. The caller holds the lock.
func (t *Targets) markIncomplete(key string) {
	if e := t.ensured[key]; e != nil {
		e.incomplete = true
	}
}
