package target

import (
	"maps"
	"slices"
	"time"
)

// release is one program's memory on one target, until it is certainly free.
type release struct {
	status ReleaseStatus
	// requests are those that this release serves.
	requests map[string]bool
	// underWay is set while a release order waits or is sent.
	underWay bool
	// acknowledged is set when an order has ended, so that a read may confirm it.
	acknowledged bool
	// since is when the last order about the program ended; only a read that
	// started later confirms.
	since time.Duration
	// nextOrder is when the next order may be given.
	nextOrder time.Duration
	// finishedAt is when the status became final.
	finishedAt time.Duration
}

// ordered notes the end of a release order. Only an order that was not carried
// out is repeated at once; in all other cases the target's state decides.
func (r *release) ordered(now time.Duration, err error) {
	r.underWay = false
	r.nextOrder = now + retryDelay
	if err == nil {
		r.acknowledged, r.since = true, now
	}
}

func (r *release) finish(now time.Duration, status ReleaseStatus) {
	r.status, r.finishedAt, r.underWay = status, now, false
}

// reopen starts over because the program is held again.
func (r *release) reopen(now time.Duration) {
	r.status, r.acknowledged, r.nextOrder = ReleasePending, false, now
}

func (s *step) release(l *line, program, request string) {
	r := l.releases[program]
	if r == nil {
		r = &release{status: ReleasePending, nextOrder: s.now, requests: make(map[string]bool)}
		l.releases[program] = r
	}
	if r.requests[request] {
		return
	}
	r.requests[request] = true
	// The program may have come back after the state that a check has seen.
	r.reopen(s.now)
}

// stored reacts to a cache event that shows released memory to be held again.
func (s *step) stored(l *line, program string) {
	if r := l.releases[program]; r != nil && (r.status == ReleaseFreed || r.status == ReleaseConfirmed) {
		r.reopen(s.now)
	}
}

// advanceReleases gives release orders and forgets what has long been complete.
func (s *step) advanceReleases(l *line) {
	for _, program := range slices.Sorted(maps.Keys(l.releases)) {
		r := l.releases[program]
		switch {
		case r.status.Final():
			if s.now-r.finishedAt >= releaseMemory {
				delete(l.releases, program)
			}
		case l.kind == "service":
			r.finish(s.now, ReleaseGone)
		case l.incarnation == "":
			if s.now-l.ownedSince >= unknownTargetTime {
				r.finish(s.now, ReleaseGone)
			}
		case r.status == ReleasePending && !r.underWay && !r.acknowledged && s.now >= r.nextOrder && !l.stale:
			r.underWay = true
			l.queue = append(l.queue, &flight{internal: true, order: Order{
				ID: s.book.nextID(l), Kind: "release", Program: program, DeadlineMS: releaseDeadline.Milliseconds(),
			}})
		}
	}
}

// readIfNeeded reads the target's state when something waits for it.
func (s *step) readIfNeeded(l *line) {
	if l.reading != 0 && s.now-l.readStart < 2*readTimeout {
		return
	}
	if s.now < l.nextRead || !s.readNeeded(l) {
		return
	}
	s.book.sequence++
	l.reading, l.readStart, l.nextRead = s.book.sequence, s.now, s.now+retryDelay
	s.emit(Read{Target: l.target, Read: l.reading, Timeout: readTimeout})
}

func (s *step) readNeeded(l *line) bool {
	// A plain service has no orders to read back, and the read would be a request like any other.
	if l.kind == "service" || s.now < l.quietUntil {
		return false
	}
	if !l.fenced() && !l.synced {
		return true
	}
	for program, r := range l.releases {
		if s.checkable(l, program, r, s.now) {
			return true
		}
	}
	return false
}

// checkable reports whether a state that was read from the given time on proves
// whether the release is complete.
func (s *step) checkable(l *line, program string, r *release, from time.Duration) bool {
	if from < l.quietUntil || from < l.busyUntil || l.mayChange(program) {
		return false
	}
	switch r.status {
	case ReleasePending:
		return r.acknowledged && from >= r.since
	case ReleaseFreed:
		return from >= r.finishedAt+auditDelay && from >= r.since
	default:
		return false
	}
}

func (s *step) stateRead(l *line, e StateRead) {
	if e.Read != l.reading {
		return
	}
	l.reading = 0
	if !e.OK || e.State.ID != l.target || e.State.Incarnation != l.incarnation {
		return
	}
	if l.readStart >= l.quietUntil && !anyRunning(e.State) {
		l.synced = true
	}
	for program, r := range l.releases {
		if s.checkable(l, program, r, l.readStart) {
			s.verify(r, e.State.Holds(program))
		}
	}
}

func (s *step) verify(r *release, held bool) {
	switch {
	case held:
		r.reopen(s.now)
	case r.status == ReleaseFreed:
		r.finish(s.now, ReleaseConfirmed)
	default:
		r.finish(s.now, ReleaseFreed)
	}
}

// anyRunning reports whether the target still carries out an order.
func anyRunning(s EngineState) bool {
	for _, o := range s.Orders {
		if o.Status == "running" {
			return true
		}
	}
	return false
}
