package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/bootclock"
)

const (
	// leaseInterval is the time between two renewals of the leader's lease.
	leaseInterval = 80 * time.Millisecond
	// leaseDuration must be shorter than the shortest election timeout
	// (raft.DefaultElectionTimeoutMin).
	leaseDuration = 250 * time.Millisecond
)

// lease is the time until which no other VM can be the leader. It is safe for concurrent
// use.
type lease struct{ expiry atomic.Int64 } // nanoseconds of the boot clock

func (l *lease) extend(until time.Duration) { l.expiry.Store(int64(until)) }

func (l *lease) valid() bool { return bootclock.Now() < time.Duration(l.expiry.Load()) }

// leadership is a period in which this VM is the leader of the store group. A leader whose
// lease has lapsed decides nothing, but remains the leader until the quorum elects another
// one: entries keep their connections, and their requests wait.
type leadership struct {
	// since identifies the leadership.
	since time.Time
	lease lease
	// validFrom is when the lease became valid after it had lapsed, in nanoseconds of the boot
	// clock; 0 if it has not lapsed.
	validFrom atomic.Int64
	// lapsedAt is when the lease lapsed, on the boot clock; 0 while it is valid. Only tick
	// uses it.
	lapsedAt time.Duration
}

// leads reports whether this VM is the leader, with or without a valid lease, and knows the
// dispatcher's state of this leadership.
func (h *Host) leads() bool {
	current := h.leadership.Load()
	return current != nil && h.options.Quorum.LeaderSince().Equal(current.since)
}

// canAdmit reports whether this VM may admit requests now: it must hold a valid lease
// and a catalog. A leader that has just restarted has no catalog, and so no targets,
// until the control role has sent one.
func (h *Host) canAdmit() bool {
	current := h.leadership.Load()
	return h.leads() && current.lease.valid() && h.options.View().Revision > 0
}

// renewLease confirms the leadership with a quorum and extends the lease. A new
// leadership starts with a new dispatcher. Renewing an existing lease takes no lock, so that
// it does not wait behind requests.
func (h *Host) renewLease(ctx context.Context) {
	since := h.options.Quorum.LeaderSince()
	if since.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseDuration)
	defer cancel()
	start := bootclock.Now()
	if err := h.options.Quorum.ReadBarrier(ctx); err != nil {
		return
	}
	current := h.leadership.Load()
	if current != nil && current.since.Equal(since) {
		if !current.lease.valid() {
			current.validFrom.Store(int64(bootclock.Now()))
		}
		current.lease.extend(start + leaseDuration)
		h.inbox.wake()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startLeadership(since, start+leaseDuration)
	h.answerParked()
}

// logLease logs that the lease of the current leadership has lapsed or is valid again. Only
// tick calls it.
func (h *Host) logLease() {
	current := h.leadership.Load()
	if !h.leads() {
		return
	}
	lapsed := !current.lease.valid()
	if lapsed == (current.lapsedAt != 0) {
		return
	}
	now := bootclock.Now()
	fields := logrus.Fields{"event": "ledger_lease", "valid": !lapsed, "queued": h.inbox.len()}
	if lapsed {
		current.lapsedAt = now
	} else {
		fields["lapsed_ms"] = (now - current.lapsedAt).Milliseconds()
		current.lapsedAt = 0
	}
	h.options.Log.WithFields(fields).Info("lease of the leader has lapsed or is valid again")
}
