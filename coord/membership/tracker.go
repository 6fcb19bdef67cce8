// Package membership decides which VMs are live, based on when they last polled.
//
// Times are measured on the leader's monotonic clock. An entry's lease ends 2 s
// after it sent a poll. A VM counts as dead when DeadAfter has passed since its last
// poll arrived, and by then it has stopped serving.
package membership

import (
	"time"

	"hemlockvale.dev/coord/fleet"
)

const (
	// LeaseDuration is how long an entry may serve after it sent a poll that was
	// answered.
	LeaseDuration = 2 * time.Second
	// DeadAfter is the time without a poll after which a VM counts as dead. It
	// exceeds LeaseDuration by the time for which a grant or an open stream may
	// outlive the lease.
	DeadAfter = 3 * time.Second
)

// Tracker records when each VM last polled. It is not safe for concurrent use.
type Tracker struct {
	leaderSince time.Duration
	lastPolls   map[fleet.VMRef]time.Duration
}

// NewTracker returns a tracker for a leader whose term began at leaderSince. The
// tracker does not know the polls that an earlier leader answered, so it counts every
// VM as live until leaderSince + DeadAfter.
func NewTracker(leaderSince time.Duration) *Tracker {
	return &Tracker{leaderSince: leaderSince, lastPolls: make(map[fleet.VMRef]time.Duration)}
}

// Poll records that a poll arrived. If the clock has stepped back, the later time of
// the previous poll is kept.
func (t *Tracker) Poll(now time.Duration, vm fleet.VMRef) {
	t.lastPolls[vm] = max(t.lastPolls[vm], now)
}

// Live returns which of the given VMs are live, and deletes the polls of dead ones.
func (t *Tracker) Live(now time.Duration, vms []fleet.VMRef) map[fleet.VMRef]bool {
	for vm, last := range t.lastPolls {
		if now-last >= DeadAfter {
			delete(t.lastPolls, vm)
		}
	}
	live := make(map[fleet.VMRef]bool, len(vms))
	for _, vm := range vms {
		_, polled := t.lastPolls[vm]
		if polled || now-t.leaderSince < DeadAfter {
			live[vm] = true
		}
	}
	return live
}
