// Package membership decides which VMs are live from the times of their polls.
//
// Times are measured on the leader's monotonic clock. An entry's lease ends 2 s
// after it sent a poll, so a VM that counts as dead, DeadAfter after its last
// poll arrived, has stopped serving.
package membership

import (
	"time"

	"hemlockvale.dev/coord/fleet"
)

const (
	// LeaseLength is how long an entry may serve after it sent an answered poll.
	LeaseLength = 2 * time.Second
	// DeadAfter is the time without a poll after which a VM counts as dead. It
	// exceeds LeaseLength by the time that a grant or an open stream may outlive the lease.
	DeadAfter = 3 * time.Second
)

// Tracker holds the last poll of every VM. It is not safe for concurrent use.
type Tracker struct {
	since time.Duration
	polls map[fleet.VMRef]time.Duration
}

// NewTracker returns a tracker for a leader whose leadership began at since.
// Polls that an earlier leader answered are unknown to it, so it counts every
// VM as live until since + DeadAfter.
func NewTracker(since time.Duration) *Tracker {
	return &Tracker{since: since, polls: make(map[fleet.VMRef]time.Duration)}
}

// Poll records that a poll arrived. A clock that steps back extends no VM's life.
func (t *Tracker) Poll(now time.Duration, vm fleet.VMRef) {
	t.polls[vm] = max(t.polls[vm], now)
}

// Live returns which of the VMs are live, and forgets the polls of dead ones.
func (t *Tracker) Live(now time.Duration, vms []fleet.VMRef) map[fleet.VMRef]bool {
	for vm, last := range t.polls {
		if now-last >= DeadAfter {
			delete(t.polls, vm)
		}
	}
	live := make(map[fleet.VMRef]bool, len(vms))
	for _, vm := range vms {
		_, polled := t.polls[vm]
		if polled || now-t.since < DeadAfter {
			live[vm] = true
		}
	}
	return live
}
