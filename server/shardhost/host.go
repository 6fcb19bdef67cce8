// Package shardhost runs the shards of one VM: it connects the cores of
// coord/shard to the RPC layer, to control and to the configuration.
//
// Each shard has one goroutine that owns its core. Each replica of an owned
// shard has one goroutine that sends to it; proposals to control and releases of
// engine memory have one goroutine each. They are joined by bounded channels. A
// message to a replica that finds its channel full is dropped, because the core
// repeats it.
//
// A request carries an identity of its own. The host therefore repeats it at
// the current owner after any transport failure: an owner that has recorded the
// request answers with the same ticket, and only a ticket that has arrived can be
// used. A request that ends without a ticket is withdrawn in the background.
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

// FleetView is what the host needs of the configuration; *fleet.State satisfies it.
type FleetView interface {
	// Revision grows with every change.
	Revision() uint64
	// Shards is the number of shards; 0 until the deployment is configured.
	Shards() int
	// Assignments are the assigned shards.
	Assignments() []fleet.Assignment
	// VMs are the registered VMs.
	VMs() []fleet.VM
}

// Options configure a Host.
type Options struct {
	// Self is this process.
	Self fleet.VMRef
	// Pool carries calls to other VMs.
	Pool *rpc.Pool
	// State returns the current configuration; it is read when Run starts. It may be nil.
	State func() FleetView
	// ShardOf maps a program to its shard: fleet.ShardOf.
	ShardOf func(shards int, organisation, program string) int
	// Control answers control.assign.
	Control rpc.Caller
	// Log receives one line per event.
	Log *logrus.Entry
	// Metrics receives counters, gauges and timers; nil means a registry of its own.
	Metrics metrics.Registry
	// OnRelease tells the targets to drop the cache of a program that ended. The
	// release counts as confirmed when OnRelease returns.
	OnRelease func(program.Ref, []string)
	// Release is used instead of OnRelease, if set: the release counts as
	// confirmed only when it returns nil, and is repeated until then.
	Release func(ctx context.Context, ref program.Ref, targets []string) error
}

// Host runs the shards of one VM.
type Host struct {
	o       Options
	start   time.Time
	view    atomic.Pointer[hostView]
	lease   atomic.Int64 // end of the lease in nanoseconds since start
	ids     atomic.Uint64
	metrics hostMetrics

	update  sync.Mutex // serialises Update
	mu      sync.Mutex
	runners map[int]*runner
	ctx     context.Context // ends when Run returns
	stop    context.CancelFunc

	assigns  chan assignTask
	releases chan releaseTask
	retries  chan releaseTask // failed releases
	abandons errgroup.Group
}

// hostView is an immutable extract of the configuration.
type hostView struct {
	fleet       shard.View
	shards      int
	assignments map[int]fleet.Assignment
	// changed is closed when a later view replaces this one.
	changed chan struct{}
}

const (
	// assignQueue and releaseQueue bound the tasks that wait for control and for targets.
	assignQueue  = 256
	releaseQueue = 1024
	// maxAbandons bounds the withdrawals under way.
	maxAbandons = 64
)

// New returns a host without shards; Update brings the first assignments.
func New(o Options) *Host {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.ShardOf == nil {
		o.ShardOf = fallbackShardOf
	}
	h := &Host{
		o: o, start: time.Now(), runners: make(map[int]*runner), metrics: newHostMetrics(o.Metrics),
		assigns: make(chan assignTask, assignQueue), releases: make(chan releaseTask, releaseQueue),
		retries: make(chan releaseTask, releaseQueue),
	}
	h.abandons.SetLimit(maxAbandons)
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.view.Store(&hostView{changed: make(chan struct{})})
	return h
}

// Run works until ctx ends.
func (h *Host) Run(ctx context.Context) {
	if h.o.State != nil {
		if s := h.o.State(); s != nil {
			h.Update(s, h.start)
		}
	}
	var duties sync.WaitGroup
	duties.Go(func() { h.runAssigns(h.ctx) })
	duties.Go(func() { h.runReleases(h.ctx) })
	<-ctx.Done()
	h.stop()
	duties.Wait()
	h.mu.Lock()
	runners := h.runners
	h.runners = make(map[int]*runner)
	h.mu.Unlock()
	for _, r := range runners {
		<-r.done
	}
	_ = h.abandons.Wait()
}

// now returns the time on the host's monotonic scale.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// Update brings the configuration and the end of the lease after each poll. The
// lease only moves forward.
func (h *Host) Update(state FleetView, leaseUntil time.Time) {
	h.update.Lock()
	defer h.update.Unlock()
	old := h.view.Load()
	view := old
	if revision := state.Revision(); revision != old.fleet.Revision || old.shards == 0 {
		view = extract(state)
		h.view.Store(view)
		close(old.changed)
	}
	lease := leaseUntil.Sub(h.start)
	h.lease.Store(max(h.lease.Load(), int64(lease)))
	for number, a := range view.assignments {
		if contains(a.Replicas, h.o.Self) || contains(a.InSync, h.o.Self) {
			h.runner(number)
		}
	}
	for _, r := range h.allRunners() {
		if view != old {
			// The assignment comes first: a deposed owner must not settle calls of lost VMs.
			if a, ok := view.assignments[r.number]; ok {
				r.post(input{event: shard.Assigned{Assignment: a}})
			}
			r.post(input{event: shard.FleetChanged{View: &view.fleet}})
		}
		r.post(input{event: shard.LeaseRenewed{Until: time.Duration(h.lease.Load())}})
	}
}

func extract(state FleetView) *hostView {
	v := &hostView{shards: state.Shards(), assignments: make(map[int]fleet.Assignment), changed: make(chan struct{})}
	// The revision is read first: a change that happens meanwhile is taken over with the next poll.
	v.fleet = shard.View{Revision: state.Revision(), VMs: make(map[string]fleet.VM)}
	for _, vm := range state.VMs() {
		v.fleet.VMs[vm.ID] = vm
	}
	for _, a := range state.Assignments() {
		v.assignments[a.Shard] = a
	}
	return v
}

// address returns the address of one run of a VM.
func (v *hostView) address(ref fleet.VMRef) (string, bool) {
	vm, ok := v.fleet.VMs[ref.ID]
	return vm.RPCAddress, ok && vm.VMRef == ref
}

// Owns says whether this VM owns the shard and may act for it.
func (h *Host) Owns(number int) bool {
	_, ok := h.Epoch(number)
	return ok
}

// Epoch returns the epoch under which this VM owns the shard, and whether it may act for it.
func (h *Host) Epoch(number int) (epoch uint64, ok bool) {
	h.mu.Lock()
	r := h.runners[number]
	h.mu.Unlock()
	if r == nil || int64(h.now()) >= h.lease.Load() {
		return 0, false
	}
	epoch = r.owned.Load()
	return epoch, epoch != 0
}

func contains(refs []fleet.VMRef, ref fleet.VMRef) bool {
	for _, o := range refs {
		if o == ref {
			return true
		}
	}
	return false
}

// runner returns the goroutine of a shard and starts it if necessary.
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

func (h *Host) allRunners() []*runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*runner, 0, len(h.runners))
	for _, r := range h.runners {
		out = append(out, r)
	}
	return out
}

// dismiss removes the goroutine of a shard that the VM no longer holds.
func (h *Host) dismiss(r *runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runners[r.number] == r {
		delete(h.runners, r.number)
	}
}
