package registry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/rpc"
)

const (
	// watchCallTimeout bounds a watch call. If a control VM exceeds it, the
	// connection is closed and the next call uses a new one.
	watchCallTimeout = MaxWatchTimeout + 400*time.Millisecond
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 60 * time.Millisecond
	// discoverInterval is the time between two updates of the set of watched control
	// VMs.
	discoverInterval = 250 * time.Millisecond
	// eagerWatches is the number of control VMs that tell this VM about a change at once.
	// The others tell it when their watches time out, which covers the loss of the first
	// ones without as many messages for each change.
	eagerWatches = 3
	// contactTimeout is the time without a response from any control VM after which
	// contact with the control role counts as lost.
	contactTimeout = 2 * time.Second
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	// Pool holds the RPC connections to control VMs.
	Pool *rpc.Pool
	// Self returns the current report about this VM.
	Self func() VM
	// Seeds returns the RPC addresses of control VMs in the settings.
	Seeds func() []string
	// OnChange is called with each new view, by one goroutine at a time. It may be
	// nil.
	OnChange func(*View)
	// Log receives the follower's events.
	Log *logrus.Entry
}

// Follower keeps a copy of the catalog up to date on an entry or store VM. It is safe
// for concurrent use.
type Follower struct {
	options FollowerOptions
	view    atomic.Pointer[View]
	// lastResponse is the time of the last response from any control VM, in nanoseconds of the
	// boot clock, which does not change with the time of day; 0 if there was none.
	lastResponse atomic.Int64
	// entryCount is the number of entries that control stated last; 0 if it stated none.
	entryCount atomic.Int64

	mu sync.Mutex
	// watches holds the functions that end the watches, by control VM address.
	watches map[string]context.CancelFunc
	// controlAddresses holds, for each control VM, the addresses of control VMs that
	// it named.
	controlAddresses map[string][]string
	// reachable holds the control VMs whose last watch succeeded.
	reachable     map[string]bool
	storeLeader   string
	stores        []string
	historyStores []history.Store

	// transferring has an element during a transfer that is not late.
	transferring chan struct{}
	// adoptMu is held while a transfer is applied.
	adoptMu sync.Mutex
}

// NewFollower returns a follower with an empty view. Run keeps it up to date.
func NewFollower(options FollowerOptions) *Follower {
	f := &Follower{options: options, watches: make(map[string]context.CancelFunc), controlAddresses: make(map[string][]string), reachable: make(map[string]bool), transferring: make(chan struct{}, 1)}
	f.view.Store(&View{})
	return f
}

// View returns the latest view.
func (f *Follower) View() *View { return f.view.Load() }

// EntryCount returns the number of entries that reported recently to control; 0 if unknown.
func (f *Follower) EntryCount() int { return int(f.entryCount.Load()) }

// Age returns the time since the last response from any control VM.
func (f *Follower) Age() time.Duration {
	return bootclock.Now() - time.Duration(f.lastResponse.Load())
}

// Current reports whether a control VM has responded within contactTimeout.
func (f *Follower) Current() bool { return f.lastResponse.Load() != 0 && f.Age() < contactTimeout }

// StoreLeader returns the address of the ledger's leader that the control role last
// reported. It may be empty or out of date.
func (f *Follower) StoreLeader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLeader
}

// Stores returns the addresses of the store VMs that reported recently to the control
// role, and of the initial members of the store group.
func (f *Follower) Stores() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := slices.Clone(f.stores)
	for _, s := range f.View().Stores {
		if !slices.Contains(addresses, s.Address) {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

// HistoryStores returns the store VMs that serve histories and reported recently to the
// control role. The caller must not change the result.
func (f *Follower) HistoryStores() []history.Store {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.historyStores
}

// Run watches all known control VMs until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	lost := true
	f.discover(ctx)
	periodic.Every(ctx, discoverInterval, func() {
		f.discover(ctx)
		if nowLost := !f.Current(); nowLost != lost {
			lost = nowLost
			f.options.Log.WithFields(logrus.Fields{"event": "control_contact", "lost": lost, "age_ms": f.Age().Milliseconds(), "revision": f.View().Revision}).Info("contact with control changed")
		}
	})
}

// discover starts a watch at each known control VM that has none, and ends the watches
// at VMs that are no longer known as control VMs.
func (f *Follower) discover(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool)
	for _, address := range f.options.Seeds() {
		wanted[address] = true
	}
	for _, addresses := range f.controlAddresses {
		for _, address := range addresses {
			wanted[address] = true
		}
	}
	for address := range wanted {
		if f.watches[address] == nil {
			watchCtx, cancel := context.WithCancel(ctx)
			f.watches[address] = cancel
			go f.watch(watchCtx, address)
		}
	}
	for _, address := range slices.Collect(maps.Keys(f.watches)) {
		if !wanted[address] {
			f.watches[address]()
			delete(f.watches, address)
		}
	}
}

// watch keeps a watch open at one control VM until ctx ends.
func (f *Follower) watch(ctx context.Context, address string) {
	reachable := true
	state := &watchState{}
	defer f.setReachable(address, false)
	for ctx.Err() == nil {
		err := f.watchOnce(ctx, address, state)
		f.setReachable(address, err == nil)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			f.options.Log.WithFields(logrus.Fields{"event": "control_vm", "address": address, "reachable": reachable, "error": err}).Info("connection to a control VM changed")
		}
		if err != nil {
			f.mu.Lock()
			delete(f.controlAddresses, address)
			f.mu.Unlock()
			sleep(ctx, watchRetryDelay)
		}
	}
}

// setReachable records whether the last watch at a control VM succeeded.
func (f *Follower) setReachable(address string, reachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reachable {
		f.reachable[address] = true
	} else {
		delete(f.reachable, address)
	}
}

// isEager reports whether a control VM should tell this VM about a change at once. The
// choice differs between VMs, so that the load is spread.
func (f *Follower) isEager(node, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	own := xxhash.Sum64String(node + address)
	for other := range f.reachable {
		if other != address && xxhash.Sum64String(node+other) < own {
			rank++
		}
	}
	return rank < eagerWatches
}

// watchState is the state that this VM and one control VM have exchanged.
type watchState struct {
	// reported is the report that the control VM holds.
	reported VM
	// membersDigest is the digest of the members that the control VM sent last.
	membersDigest uint64
}

// watchOnce makes one watch call and fetches the changes of the catalog if there are any.
func (f *Follower) watchOnce(ctx context.Context, address string, state *watchState) error {
	callCtx, cancel := context.WithTimeout(ctx, watchCallTimeout)
	defer cancel()
	self := f.options.Self()
	view := f.View()
	request := WatchRequest{
		Node: self.Node, Started: self.Started, Known: view.Revision, WaitMS: MaxWatchTimeout.Milliseconds(),
		Members: state.membersDigest, Evacuations: view.Evacuations.Revision,
	}
	if self != state.reported {
		request.VM = &self
	}
	if !f.isEager(self.Node, address) {
		request.Known = heartbeatOnly
	}
	var response WatchResponse
	if err := f.options.Pool.Call(callCtx, address, MethodWatch, request, &response); err != nil {
		if callCtx.Err() != nil {
			f.options.Pool.Reset(address)
		}
		*state = watchState{}
		return err
	}
	if response.Unknown {
		*state = watchState{}
		return nil
	}
	state.reported = self
	f.lastResponse.Store(int64(bootclock.Now()))
	if response.Entries > 0 {
		f.entryCount.Store(int64(response.Entries))
	}
	if response.Members != nil {
		state.membersDigest = response.Members.digest()
		f.setMembers(address, *response.Members)
	}
	if f.lacks(response.Revision, response.Evacuations) {
		return f.fetch(ctx, address, response.Revision, response.Evacuations)
	}
	return nil
}

// setMembers stores the members that a control VM named.
func (f *Follower) setMembers(address string, m Members) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controlAddresses[address] = m.Control
	if m.StoreLeader != "" {
		f.storeLeader = m.StoreLeader
	}
	if len(m.Stores) > 0 {
		f.stores = m.Stores
	}
	if len(m.HistoryStores) > 0 {
		f.historyStores = m.HistoryStores
	}
}

// Report sends the report about this VM to all control VMs without waiting for the
// next watch, for example before a planned stop.
func (f *Follower) Report(ctx context.Context) {
	f.mu.Lock()
	addresses := slices.Collect(maps.Keys(f.watches))
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, watchCallTimeout)
			defer cancel()
			self := f.options.Self()
			var response WatchResponse
			if err := f.options.Pool.Call(callCtx, address, MethodWatch, WatchRequest{VM: &self, Node: self.Node, Started: self.Started, Evacuations: f.View().Evacuations.Revision}, &response); err != nil {
				f.options.Log.WithFields(logrus.Fields{"event": "report_failed", "address": address}).WithError(err).Warn("control VM did not accept the report")
			}
		})
	}
	wg.Wait()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
