package dispatch

import "time"

const (
	// crashWindow is the time after a broken answer within which its target must be
	// found unreachable for the request to count as the cause of a crash.
	crashWindow = 2 * time.Second
	// quarantineThreshold is the number of different targets that a request must crash
	// to be quarantined.
	quarantineThreshold = 3
	// quarantineDuration is the time for which a request is refused after its last
	// crash.
	quarantineDuration = 10 * time.Minute
	// maxSuspects bounds the number of suspect requests that are remembered.
	maxSuspects = 4096
)

// suspectRequest is a request whose answers broke off at targets that were found
// unreachable shortly afterwards.
type suspectRequest struct {
	crashedTargets map[string]struct{}
	lastCrashAt    time.Duration
}

// brokenAnswer is a lost or incomplete answer that may be due to a crash of its target.
type brokenAnswer struct {
	fingerprint uint64
	brokenAt    time.Duration
}

// quarantine refuses requests that crash targets. It identifies them by fingerprint,
// because callers retry them with another id but the same content.
type quarantine struct {
	suspects map[uint64]*suspectRequest
	broken   map[string][]brokenAnswer // by target
}

func newQuarantine() quarantine {
	return quarantine{suspects: make(map[uint64]*suspectRequest), broken: make(map[string][]brokenAnswer)}
}

// observe records the result of a request; a fingerprint of 0 means unknown.
func (q *quarantine) observe(now time.Duration, target string, fingerprint uint64, r Result) {
	switch r {
	case Broken:
		if fingerprint != 0 {
			q.broken[target] = append(q.broken[target], brokenAnswer{fingerprint, now})
		}
	case Unreachable:
		for _, b := range q.broken[target] {
			if now-b.brokenAt <= crashWindow {
				q.recordCrash(now, b.fingerprint, target)
			}
		}
		delete(q.broken, target)
	case Completed, Failed:
		delete(q.broken, target)
		// The same content ran without a crash, so another request must have crashed
		// the targets.
		delete(q.suspects, fingerprint)
	}
}

func (q *quarantine) recordCrash(now time.Duration, fingerprint uint64, target string) {
	s := q.suspects[fingerprint]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			return
		}
		s = &suspectRequest{crashedTargets: make(map[string]struct{})}
		q.suspects[fingerprint] = s
	}
	s.crashedTargets[target] = struct{}{}
	s.lastCrashAt = now
}

// blocks reports whether a request is quarantined.
func (q *quarantine) blocks(now time.Duration, fingerprint uint64) bool {
	s := q.suspects[fingerprint]
	if s == nil {
		return false
	}
	if now-s.lastCrashAt > quarantineDuration {
		delete(q.suspects, fingerprint)
		return false
	}
	return len(s.crashedTargets) >= quarantineThreshold
}
