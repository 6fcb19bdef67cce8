// Package follower maintains a VM's copy of the configuration and its lease by polling
// the control VMs.
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
	// pollInterval limits the delay until a change takes effect. The lease lasts four
	// intervals.
	pollInterval = 500 * time.Millisecond
	// pollTimeout limits one poll. It leaves enough of the lease to poll a second
	// control VM.
	pollTimeout = 600 * time.Millisecond
	// hintRetryDelay is the delay after a response that names another VM as the leader.
	hintRetryDelay = 20 * time.Millisecond
	// failureRetryDelay is the delay after any other poll that renewed no lease.
	failureRetryDelay = 100 * time.Millisecond
)

// Options configures a follower.
type Options struct {
	// VM is the registration of this VM, which is sent with each poll.
	VM fleet.VM
	// ControlAddresses holds the RPC addresses of the control VMs. It is not empty.
	ControlAddresses []string
	// Pool holds the connections on which polls are sent.
	Pool *rpc.Pool
	// Log receives failed polls and rejected configurations.
	Log *logrus.Entry
	// OnUpdate is called after each poll that renewed the lease.
	OnUpdate func(state *fleet.State, leaseUntil time.Time)
	// OwnedTokens returns the sum of the organisations' token counters that this VM owns.
	OwnedTokens func() int64
}

// Follower polls the control VMs.
type Follower struct {
	o           Options
	state       *fleet.State
	leaseUntil  atomic.Pointer[time.Time] // nil before the first lease
	draining    atomic.Bool
	fleetTokens atomic.Int64
	leader      atomic.Pointer[string] // address of the supposed leader, or nil
	nextControl int                    // index into Options.ControlAddresses, modulo its length
	wake        chan struct{}          // ends the wait for the next poll
}

// New returns a follower with an empty configuration and no lease. It polls while Run
// is running.
func New(o Options) *Follower {
	return &Follower{o: o, state: fleet.New(), wake: make(chan struct{}, 1)}
}

// State returns the configuration and whether the lease is valid.
func (f *Follower) State() (*fleet.State, bool) {
	until := f.leaseUntil.Load()
	return f.state, until != nil && time.Now().Before(*until)
}

// FleetTokens returns the sum of all organisations' token counters, as of the
// last poll that renewed the lease.
func (f *Follower) FleetTokens() int64 { return f.fleetTokens.Load() }

// Fleet returns the configuration, whether or not the lease is valid.
func (f *Follower) Fleet() *fleet.State { return f.state }

// SetDraining triggers a poll. This and all later polls announce that the VM is about
// to stop.
func (f *Follower) SetDraining() {
	f.draining.Store(true)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run polls the control VMs until ctx ends.
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

// poll polls one control VM and returns the delay until the next poll.
func (f *Follower) poll(ctx context.Context) time.Duration {
	address := f.address()
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	// The lease is counted from before the poll is sent, so that it ends on this VM
	// before it ends on the leader.
	sent := time.Now()
	var response control.PollResponse
	request := control.PollRequest{VM: f.o.VM, Revision: f.state.Revision(), Draining: f.draining.Load(), OwnedTokens: f.o.OwnedTokens()}
	if err := f.o.Pool.Call(callCtx, address, "control.poll", request, &response); err != nil {
		f.o.Log.WithFields(logrus.Fields{"event": "poll_failed", "control": address}).Debug(err)
		f.leader.Store(nil)
		f.nextControl++
		return failureRetryDelay
	}
	if response.LeaseMS == 0 {
		return f.redirect(address, response.Leader)
	}
	if err := f.apply(response); err != nil {
		f.o.Log.WithFields(logrus.Fields{"event": "configuration_rejected", "control": address}).Error(err)
		return failureRetryDelay
	}
	f.leader.Store(&address)
	until := sent.Add(time.Duration(response.LeaseMS) * time.Millisecond)
	f.leaseUntil.Store(&until)
	f.fleetTokens.Store(response.FleetTokens)
	f.o.OnUpdate(f.state, until)
	return max(pollInterval-time.Since(sent), 0)
}

// address returns the address of the control VM to poll next.
func (f *Follower) address() string {
	if leader := f.leader.Load(); leader != nil {
		return *leader
	}
	return f.o.ControlAddresses[f.nextControl%len(f.o.ControlAddresses)]
}

// redirect selects the control VM for the next poll after a response without a lease,
// and returns the delay until then.
func (f *Follower) redirect(from, leader string) time.Duration {
	if leader == "" || leader == from {
		f.leader.Store(nil)
		f.nextControl++
		return failureRetryDelay
	}
	f.leader.Store(&leader)
	return hintRetryDelay
}

// apply updates the configuration to the revision of the response. It rejects a
// response whose revision is older than that of the configuration.
func (f *Follower) apply(response control.PollResponse) error {
	if response.Revision < f.state.Revision() {
		return rpc.Errorf("stale_answer", "revision %d is older than %d", response.Revision, f.state.Revision())
	}
	if len(response.Snapshot) > 0 {
		if err := f.state.Restore(response.Snapshot); err != nil {
			return err
		}
	}
	for _, change := range response.Changes {
		if change.Revision > f.state.Revision() {
			f.state.ApplyChange(change)
		}
	}
	return nil
}
