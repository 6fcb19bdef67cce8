// Package follower keeps a VM's copy of the configuration and its lease, by
// polling control.
package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/server/control"
	"hemlockvale.dev/server/rpc"
)

const (
	// pollInterval bounds how late a change comes into force; the lease lasts four of them.
	pollInterval = 500 * time.Millisecond
	// pollTimeout leaves room for a second control VM within the lease.
	pollTimeout = 600 * time.Millisecond
	// hintRetryDelay follows an answer that names the leader.
	hintRetryDelay = 20 * time.Millisecond
	// failureRetryDelay follows an unanswered poll.
	failureRetryDelay = 100 * time.Millisecond
)

// Options configure a follower.
type Options struct {
	// VM is sent with each poll.
	VM fleet.VM
	// Control holds the RPC addresses of the control VMs.
	Control []string
	// Pool carries the polls.
	Pool *rpc.Pool
	// Log receives changes of contact.
	Log *logrus.Entry
	// Updated is called after each successful poll.
	Updated func(state *fleet.State, leaseUntil time.Time)
	// OwnedTokens is sent with each poll.
	OwnedTokens func() int64
}

// Follower polls control.
type Follower struct {
	o        Options
	state    *fleet.State
	lease    atomic.Pointer[time.Time]
	draining atomic.Bool
	tokens   atomic.Int64
	leader   atomic.Pointer[string]
	next     int
	wake     chan struct{}
}

// New returns a follower with an empty configuration and no lease.
func New(o Options) *Follower {
	return &Follower{o: o, state: fleet.New(), wake: make(chan struct{}, 1)}
}

// State returns the configuration and whether the lease holds.
func (f *Follower) State() (*fleet.State, bool) {
	lease := f.lease.Load()
	return f.state, lease != nil && time.Now().Before(*lease)
}

// FleetTokens returns the sum of all organisations' token counters, as of the last poll.
func (f *Follower) FleetTokens() int64 { return f.tokens.Load() }

// Fleet returns the configuration.
func (f *Follower) Fleet() *fleet.State { return f.state }

// SetDraining announces the planned stop of this VM with the next poll.
func (f *Follower) SetDraining() {
	f.draining.Store(true)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := f.poll(ctx)
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// poll asks one control VM and returns the time until the next poll.
func (f *Follower) poll(ctx context.Context) time.Duration {
	address := f.address()
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	// The lease counts from before the poll was sent, so that it ends here
	// before control's own count of it does.
	sent := time.Now()
	var answer control.PollResponse
	request := control.PollRequest{VM: f.o.VM, Revision: f.state.Revision(), Draining: f.draining.Load(), OwnedTokens: f.o.OwnedTokens()}
	if err := f.o.Pool.Call(callCtx, address, "control.poll", request, &answer); err != nil {
		f.o.Log.WithFields(logrus.Fields{"event": "poll_failed", "control": address}).Debug(err)
		f.leader.Store(nil)
		f.next++
		return failureRetryDelay
	}
	if answer.LeaseMS == 0 {
		return f.redirect(address, answer.Leader)
	}
	if err := f.apply(answer); err != nil {
		f.o.Log.WithFields(logrus.Fields{"event": "configuration_rejected", "control": address}).Error(err)
		return failureRetryDelay
	}
	f.leader.Store(&address)
	until := sent.Add(time.Duration(answer.LeaseMS) * time.Millisecond)
	f.lease.Store(&until)
	f.tokens.Store(answer.FleetTokens)
	f.o.Updated(f.state, until)
	return max(pollInterval-time.Since(sent), 0)
}

func (f *Follower) address() string {
	if leader := f.leader.Load(); leader != nil {
		return *leader
	}
	return f.o.Control[f.next%len(f.o.Control)]
}

func (f *Follower) redirect(from, leader string) time.Duration {
	if leader == "" || leader == from {
		f.leader.Store(nil)
		f.next++
		return failureRetryDelay
	}
	f.leader.Store(&leader)
	return hintRetryDelay
}

// apply brings the copy up to the answer's revision. The copy never goes back:
// an answer from an older revision than the copy is refused by Restore's caller.
func (f *Follower) apply(answer control.PollResponse) error {
	if answer.Revision < f.state.Revision() {
		return rpc.Errorf("stale_answer", "revision %d is older than %d", answer.Revision, f.state.Revision())
	}
	if len(answer.Snapshot) > 0 {
		if err := f.state.Restore(answer.Snapshot); err != nil {
			return err
		}
	}
	for _, change := range answer.Changes {
		if change.Revision > f.state.Revision() {
			f.state.ApplyChange(change)
		}
	}
	return nil
}
