package targets

import (
	"errors"

	"hemlockvale.dev/coord/program"
)

// ErrReleasePending reports a release that its owners have not confirmed yet.
var ErrReleasePending = errors.New("release pending")

// EnsureReleased starts the release of a program on the first call and returns
// nil once the owners of the targets' orders have confirmed it. Until then it
// returns ErrReleasePending and may be called again: whoever must not forget
// the release keeps its record until this succeeds.
func (t *Targets) EnsureReleased(ref program.Ref, ids []string) error {
	key := CacheKey(ref)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.requested[key] {
		t.Release(ref, ids)
		t.requested[key] = true
		return ErrReleasePending
	}
	if t.pending(key) {
		return ErrReleasePending
	}
	delete(t.requested, key)
	return nil
}

// pending reports whether a release of the program waits. The caller holds the lock.
func (t *Targets) pending(key string) bool {
	if t.inbox.has(key) {
		return true
	}
	for k := range t.releases {
		if k.program == key {
			return true
		}
	}
	return false
}

func (b *releaseInbox) has(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, item := range b.items {
		if item.program == key {
			return true
		}
	}
	return false
}
