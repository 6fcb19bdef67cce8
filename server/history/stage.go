package history

import (
	"sync"
	"time"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/bootclock"
)

const (
	// maxStagedBytes bounds the memory of all staged parts. A record whose part was not
	// staged is sent as a whole.
	maxStagedBytes = 16 << 20
	// stageTimeout is how long a staged part waits for the end of its turn.
	stageTimeout = 10 * time.Second
)

// stagedPart is the first part of a record that is not complete yet.
type stagedPart struct {
	content []byte
	// expires is on the boot clock.
	expires time.Duration
}

// stage holds the first parts of records whose turns are running. It is safe for
// concurrent use.
type stage struct {
	mu    sync.Mutex
	parts map[history.Turn]stagedPart
	bytes int
}

func newStage() *stage { return &stage{parts: make(map[history.Turn]stagedPart)} }

// put keeps a part and reports whether there was room for it.
func (s *stage) put(t history.Turn, content []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(t)
	if s.bytes+len(content) > maxStagedBytes {
		s.removeExpired()
	}
	if s.bytes+len(content) > maxStagedBytes {
		return false
	}
	s.parts[t] = stagedPart{content, bootclock.Now() + stageTimeout}
	s.bytes += len(content)
	return true
}

// take removes and returns a part, and whether there is one.
func (s *stage) take(t history.Turn) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.parts[t]
	s.remove(t)
	return p.content, ok
}

// remove drops a part. The caller holds s.mu.
func (s *stage) remove(t history.Turn) {
	s.bytes -= len(s.parts[t].content)
	delete(s.parts, t)
}

// removeExpired drops the parts of turns that did not end in time. The caller holds s.mu.
func (s *stage) removeExpired() {
	now := bootclock.Now()
	for t, p := range s.parts {
		if now > p.expires {
			s.remove(t)
		}
	}
}
