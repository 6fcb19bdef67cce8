// Package shardhost runs the shards of one VM. It connects the state machines of
// coord/shard to the RPC layer, to control and to the configuration.
//
// Each shard has one goroutine that owns its state machine, and one goroutine per
// peer replica that sends messages to it. Proposals to control and releases of
// engine memory are executed by separate goroutines. Bounded channels connect the
// goroutines. A message to a replica is dropped when its channel is full, because
// the state machine repeats it.
//
// Every request carries a unique id, so the host can retry it at the current
// owner after any transport failure: an owner that has recorded the request
// answers with the same ticket, and the sender can use only a ticket that it has
// received. A request that ends without a ticket is abandoned in the background.
package shardhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/shard"
	"hemlockvale.dev/server/rpc"
)

// FleetView is the part of the configuration that the host reads. *fleet.State
// implements it.
type FleetView interface {
	// Revision returns the revision, which increases with every change.
	Revision() uint64
	// Shards returns the number of shards, which is 0 until the deployment is configured.
	Shards() int
	// Assignments returns the assignments of all assigned shards.
	Assignments() []fleet.Assignment
	// VMs returns the registered VMs.
	VMs() []fleet.VM
}

// Options configure a Host.
type Options struct {
	// Self identifies this VM and its incarnation.
	Self fleet.VMRef
	// Pool holds the connections for calls to other VMs.
	Pool *rpc.Pool
	// State returns the current configuration and is called when Run starts. Both
	// the function and its result may be nil.
	State func() FleetView
	// ShardOf maps a program to its shard. A deployment sets it to fleet.ShardOf;
	// nil selects a hash that only the tests of this package use.
	ShardOf func(shards int, organisation, program string) int
	// Control calls the control VMs, which answer control.assign.
	Control rpc.Caller
	// Log receives one entry per event of a shard.
	Log *logrus.Entry
	// Metrics is the registry for counters and timers; nil selects a private one.
	Metrics metrics.Registry
	// OnRelease tells the targets to release the engine memory of an ended program.
	// The release counts as confirmed when OnRelease returns.
	OnRelease func(program.Ref, []string)
	// Release replaces OnRelease if it is set. The release counts as confirmed only
	// when Release returns nil, and is retried until then.
	Release func(ctx context.Context, ref program.Ref, targets []string) error
}

// Host runs the shards of one VM.
type Host struct {
	options Options
	start   time.Time
	view    atomic.Pointer[hostView]
	lease   atomic.Int64  // end of the lease in nanoseconds since start
	lastID  atomic.Uint64 // last id given to an event
	metrics hostMetrics

	updateMu sync.Mutex // serialises Update
	mu       sync.Mutex // guards runners
	runners  map[int]*runner
	ctx      context.Context // ends when Run returns
	cancel   context.CancelFunc

	proposals      chan proposal
	releases       chan releaseTask
	failedReleases chan releaseTask // to be retried
	abandonGroup   errgroup.Group
}

// hostView is an immutable copy of the parts of the configuration that the host uses.
type hostView struct {
	fleet       shard.View
	shards      int
	assignments map[int]fleet.Assignment
	// changed is closed when a newer view replaces this one.
	changed chan struct{}
}

const (
	// proposalQueueSize and releaseQueueSize bound the proposals and releases that
	// wait for a worker.
	proposalQueueSize = 256
	releaseQueueSize  = 1024
	// maxConcurrentAbandons bounds the concurrent calls that abandon a request.
	maxConcurrentAbandons = 64
)

// New returns a host without shards. Update delivers the first assignments.
func New(options Options) *Host {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	if options.ShardOf == nil {
		options.ShardOf = fallbackShardOf
	}
	h := &Host{
		options: options, start: time.Now(), runners: make(map[int]*runner), metrics: newHostMetrics(options.Metrics),
		proposals: make(chan proposal, proposalQueueSize), releases: make(chan releaseTask, releaseQueueSize),
		failedReleases: make(chan releaseTask, releaseQueueSize),
	}
	h.abandonGroup.SetLimit(maxConcurrentAbandons)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.view.Store(&hostView{changed: make(chan struct{})})
	return h
}

// Run executes proposals and releases until ctx ends. Then it stops the shards and
// waits for their goroutines.
func (h *Host) Run(ctx context.Context) {
	if h.options.State != nil {
		if s := h.options.State(); s != nil {
			h.Update(s, h.start)
		}
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { h.runProposals(h.ctx) })
	tasks.Go(func() { h.runReleases(h.ctx) })
	<-ctx.Done()
	h.cancel()
	tasks.Wait()
	h.mu.Lock()
	runners := h.runners
	h.runners = make(map[int]*runner)
	h.mu.Unlock()
	for _, r := range runners {
		<-r.done
	}
	_ = h.abandonGroup.Wait()
}

// now returns the monotonic time since the host was created.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// Update passes the configuration and the end of the VM's lease to the shards. It
// is called after each poll of control. A lease that ends earlier than the current
// one is ignored.
func (h *Host) Update(state FleetView, leaseUntil time.Time) {
	h.updateMu.Lock()
	defer h.updateMu.Unlock()
	old := h.view.Load()
	view := old
	if revision := state.Revision(); revision != old.fleet.Revision || old.shards == 0 {
		view = newHostView(state)
		h.view.Store(view)
		close(old.changed)
	}
	lease := leaseUntil.Sub(h.start)
	h.lease.Store(max(h.lease.Load(), int64(lease)))
	for number, a := range view.assignments {
		if contains(a.Replicas, h.options.Self) || contains(a.InSync, h.options.Self) {
			h.runner(number)
		}
	}
	for _, r := range h.allRunners() {
		if view != old {
			// The assignment comes first: an owner that has lost the shard must not
			// settle the calls of removed VMs.
			if a, ok := view.assignments[r.number]; ok {
				r.post(input{event: shard.Assigned{Assignment: a}})
			}
			r.post(input{event: shard.FleetChanged{View: &view.fleet}})
		}
		r.post(input{event: shard.LeaseRenewed{Until: time.Duration(h.lease.Load())}})
	}
}

// newHostView copies the parts of the configuration that the host uses.
func newHostView(state FleetView) *hostView {
	v := &hostView{shards: state.Shards(), assignments: make(map[int]fleet.Assignment), changed: make(chan struct{})}
	// The revision is read first, so that a concurrent change is applied after the next poll.
	v.fleet = shard.View{Revision: state.Revision(), VMs: make(map[string]fleet.VM)}
	for _, vm := range state.VMs() {
		v.fleet.VMs[vm.ID] = vm
	}
	for _, a := range state.Assignments() {
		v.assignments[a.Shard] = a
	}
	return v
}

// address returns the RPC address of a VM if the given incarnation is registered.
func (v *hostView) address(ref fleet.VMRef) (string, bool) {
	vm, ok := v.fleet.VMs[ref.ID]
	return vm.RPCAddress, ok && vm.VMRef == ref
}

// Owns reports whether this VM owns the shard and its lease is valid.
func (h *Host) Owns(number int) bool {
	_, ok := h.OwnedEpoch(number)
	return ok
}

// OwnedEpoch returns the epoch under which this VM owns the shard. The result ok is
// false if the VM does not own the shard or its lease has expired.
func (h *Host) OwnedEpoch(number int) (epoch uint64, ok bool) {
	h.mu.Lock()
	r := h.runners[number]
	h.mu.Unlock()
	if r == nil || int64(h.now()) >= h.lease.Load() {
		return 0, false
	}
	epoch = r.ownedEpoch.Load()
	return epoch, epoch != 0
}

// contains reports whether refs contains ref.
func contains(refs []fleet.VMRef, ref fleet.VMRef) bool {
	for _, o := range refs {
		if o == ref {
			return true
		}
	}
	return false
}

// runner returns the runner of a shard and starts it if necessary. After the host
// has stopped, it returns a runner that has ended.
func (h *Host) runner(number int) *runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.runners[number]; r != nil {
		return r
	}
	r := newRunner(h, number)
	if h.ctx.Err() != nil {
		close(r.done)
		return r
	}
	h.runners[number] = r
	go r.run()
	return r
}

// allRunners returns the runners that have not ended.
func (h *Host) allRunners() []*runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*runner, 0, len(h.runners))
	for _, r := range h.runners {
		all = append(all, r)
	}
	return all
}

// removeRunner removes a runner whose goroutine ends.
func (h *Host) removeRunner(r *runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runners[r.number] == r {
		delete(h.runners, r.number)
	}
}
