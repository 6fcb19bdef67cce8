package target

import (
	"maps"
	"slices"
	"time"
)

// release tracks the memory of one program on one target until it is confirmed to be
// free.
type release struct {
	status ReleaseStatus
	// requests holds the IDs of the requests that this release serves.
	requests map[string]bool
	// orderPending is set while a release order is queued or sent.
	orderPending bool
	// acknowledged is set when a release order has been carried out, so that a state
	// read may confirm the release.
	acknowledged bool
	// lastOrderEnd is when the last order for the program ended. Only a state read
	// that started at this time or later can confirm the release.
	lastOrderEnd time.Duration
	// nextOrderAt is the earliest time for the next release order.
	nextOrderAt time.Duration
	// finishedAt is when the status last became freed or final.
	finishedAt time.Duration
}

// orderEnded records the end of a release order. An order that ended with an error is
// repeated after retryDelay. After one that took effect, a read of the target's state
// decides whether the release is complete.
func (r *release) orderEnded(now time.Duration, err error) {
	r.orderPending = false
	r.nextOrderAt = now + retryDelay
	if err == nil {
		r.acknowledged, r.lastOrderEnd = true, now
	}
}

func (r *release) finish(now time.Duration, status ReleaseStatus) {
	r.status, r.finishedAt, r.orderPending = status, now, false
}

// reopen starts the release again because the program is held again.
func (r *release) reopen(now time.Duration) {
	r.status, r.acknowledged, r.nextOrderAt = ReleasePending, false, now
}

func (s *step) requestRelease(t *targetOrders, program, request string) {
	r := t.releases[program]
	if r == nil {
		r = &release{status: ReleasePending, nextOrderAt: s.now, requests: make(map[string]bool)}
		t.releases[program] = r
	}
	if r.requests[request] {
		return
	}
	r.requests[request] = true
	// The program may have been stored again after the last check read the state.
	r.reopen(s.now)
}

// prefixStored reopens a release when a cache event shows that the memory is held
// again.
func (s *step) prefixStored(t *targetOrders, program string) {
	if r := t.releases[program]; r != nil && (r.status == ReleaseFreed || r.status == ReleaseConfirmed) {
		r.reopen(s.now)
	}
}

// advanceReleases queues the release orders that are due and deletes old completed
// releases.
func (s *step) advanceReleases(t *targetOrders) {
	for _, program := range slices.Sorted(maps.Keys(t.releases)) {
		r := t.releases[program]
		switch {
		case r.status.Final():
			if s.now-r.finishedAt >= releaseRetention {
				delete(t.releases, program)
			}
		case t.kind == "service":
			r.finish(s.now, ReleaseGone)
		case t.incarnation == "":
			if s.now-t.ownedSince >= unknownTargetTimeout {
				r.finish(s.now, ReleaseGone)
			}
		case r.status == ReleasePending && !r.orderPending && !r.acknowledged && s.now >= r.nextOrderAt && !t.epochStale:
			r.orderPending = true
			t.queue = append(t.queue, &pendingOrder{internal: true, order: Order{
				ID: s.manager.nextOrderID(t), Kind: "release", Program: program, DeadlineMS: releaseDeadline.Milliseconds(),
			}})
		}
	}
}

// readIfNeeded starts a read of the target's state if an order or a release depends
// on it.
func (s *step) readIfNeeded(t *targetOrders) {
	if t.readID != 0 && s.now-t.readStartedAt < 2*readTimeout {
		return
	}
	if s.now < t.nextReadAt || !s.readNeeded(t) {
		return
	}
	s.manager.sequence++
	t.readID, t.readStartedAt, t.nextReadAt = s.manager.sequence, s.now, s.now+retryDelay
	s.emit(ReadState{Target: t.target, ReadID: t.readID, Timeout: readTimeout})
}

func (s *step) readNeeded(t *targetOrders) bool {
	// A plain service takes no orders, and would handle the read like any other
	// request.
	if t.kind == "service" || s.now < t.earlierOrdersExpireAt {
		return false
	}
	if !t.enforcesFencing() && !t.synced {
		return true
	}
	for program, r := range t.releases {
		if s.canVerify(t, program, r, s.now) {
			return true
		}
	}
	return false
}

// canVerify reports whether a state read that started at the given time shows
// whether the release is complete.
func (s *step) canVerify(t *targetOrders, program string, r *release, from time.Duration) bool {
	if from < t.earlierOrdersExpireAt || from < t.unknownOrdersExpireAt || t.hasOrdersFor(program) {
		return false
	}
	switch r.status {
	case ReleasePending:
		return r.acknowledged && from >= r.lastOrderEnd
	case ReleaseFreed:
		return from >= r.finishedAt+recheckDelay && from >= r.lastOrderEnd
	default:
		return false
	}
}

func (s *step) readEnded(t *targetOrders, e ReadResult) {
	if e.ReadID != t.readID {
		return
	}
	t.readID = 0
	if !e.OK || e.State.ID != t.target || e.State.Incarnation != t.incarnation {
		return
	}
	if t.readStartedAt >= t.earlierOrdersExpireAt && !anyRunning(e.State) {
		t.synced = true
	}
	for program, r := range t.releases {
		if s.canVerify(t, program, r, t.readStartedAt) {
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

// anyRunning reports whether the target is still carrying out an order.
func anyRunning(s EngineState) bool {
	for _, o := range s.Orders {
		if o.Status == "running" {
			return true
		}
	}
	return false
}
