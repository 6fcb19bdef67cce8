package ledger

import (
	"cmp"
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
)

const (
	// decisionsPerTurn is the number of admissions that are decided before the goroutines
	// that renew the lease and read done reports get the processor.
	decisionsPerTurn = 8
	// maxStartDelay is how long a request that starts a program waits for the decider. A
	// leader that is further behind refuses it, and has the time for started programs.
	maxStartDelay = 300 * time.Millisecond
)

// receive queues an admission request of an entry for the decider, or refuses it at once if
// too many are queued.
func (h *Host) receive(r AdmitRequest, l *link) {
	r.Entry = l.entry
	a := &admission{request: r, link: l, receivedAt: bootclock.Now(), starts: h.starts(&r)}
	if h.inbox.add(a) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finish(a, overloadedResponse(maxStartDelay))
}

// overloadedResponse refuses a request because the leader is behind by the given time.
func overloadedResponse(behind time.Duration) AdmitResponse {
	return AdmitResponse{Refusal: dispatch.Overloaded, RetryAfter: behind + rand.N(behind)}
}

// starts reports whether a request does not belong to a program that has started.
func (h *Host) starts(r *AdmitRequest) bool {
	switch {
	case r.Program == "":
		return true
	case r.ContinuesProgram || r.Attempt > 0 || r.PreviousTurn != "":
		return false
	}
	return r.Reserve == nil || h.options.Machine.charged(r.Reserve.Program) == 0
}

// runDecider decides about queued admissions until ctx ends.
func (h *Host) runDecider(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.inbox.awake:
		}
		for h.decideSome() {
			runtime.Gosched()
		}
	}
}

// decideSome decides about a few admissions and reports whether more can be decided now.
// Without a lease, admissions stay in the inbox while this VM is the leader.
func (h *Host) decideSome() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range decisionsPerTurn {
		if h.leads() && !h.canAdmit() {
			return false
		}
		a := h.inbox.take()
		if a == nil {
			return false
		}
		h.decide(a)
	}
	return true
}

// behind returns how long an admission has waited because the decider was busy, and not because
// the lease had lapsed.
func (h *Host) behind(a *admission) time.Duration {
	from := a.receivedAt
	if current := h.leadership.Load(); current != nil {
		from = max(from, time.Duration(current.validFrom.Load()))
	}
	return bootclock.Now() - from
}

// decide admits or refuses a request that was queued. The caller holds h.mu.
func (h *Host) decide(a *admission) {
	r := &a.request
	waited := a.waited()
	a.inboxTime = waited
	switch {
	case a.cancelled:
	case !a.link.served():
		a.link.sendNotLeader()
	case waited >= r.TimeLeft:
		h.finish(a, AdmitResponse{Refusal: dispatch.Expired, RetryAfter: maxStartDelay})
	case a.starts && h.behind(a) > maxStartDelay:
		h.finish(a, overloadedResponse(waited))
	default:
		r.TimeLeft -= waited
		if r.ProgramTimeLeft != 0 {
			r.ProgramTimeLeft = cmp.Or(r.ProgramTimeLeft-waited, -1)
		}
		h.admit(a)
	}
}
