package registry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/rpc"
)

const (
	// watchTimeout bounds a watch; a control VM that exceeds it is reached over a new connection.
	watchTimeout = MaxWatch + 400*time.Millisecond
	// fetchTimeout bounds the transfer of the state.
	fetchTimeout = 2 * time.Second
	// watchPause follows a failed watch.
	watchPause = 60 * time.Millisecond
	// discoverInterval is the time between two looks for new control VMs.
	discoverInterval = 250 * time.Millisecond
	// lostAfter is the silence of all control VMs that counts as a lost dependency.
	lostAfter = 2 * time.Second
)

// View is what a VM knows of the catalog. It is immutable.
type View struct {
	// Revision is the catalog's revision.
	Revision uint64
	// Table is the configuration in force; nil before the first one.
	Table *routing.Table
	// Targets have not left, ordered by id.
	Targets []catalog.Target
	// Stores are the initial members of the store group.
	Stores []catalog.Store

	configurationRevision uint64
}

// Target returns a target by id.
func (v *View) Target(id string) (catalog.Target, bool) {
	at, found := slices.BinarySearchFunc(v.Targets, id, func(t catalog.Target, id string) int {
		switch {
		case t.ID < id:
			return -1
		case t.ID > id:
			return 1
		}
		return 0
	})
	if !found {
		return catalog.Target{}, false
	}
	return v.Targets[at], true
}

// version returns the version of the configuration in force; 0 before the first one.
func (v *View) version() int64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// with returns the view that an answer makes of this one.
func (v *View) with(answer Transfer) (*View, error) {
	next := &View{Revision: answer.Revision, Table: v.Table, Targets: answer.Targets, Stores: answer.Stores, configurationRevision: v.configurationRevision}
	if answer.Partial {
		next.Targets = mergeTargets(v.Targets, answer.Targets)
	}
	version := v.version()
	c := answer.Configuration
	if change := answer.Change; change != nil {
		if change.From != version {
			return nil, fmt.Errorf("change from version %d, holding %d", change.From, version)
		}
		made := change.Apply(v.Table.Configuration)
		c = &made
	}
	if c != nil && c.Version > version {
		next.Table = routing.NewTable(*c)
		next.configurationRevision = answer.ConfigurationRevision
	}
	return next, nil
}

// mergeTargets replaces, adds and removes targets; the result is ordered by id.
func mergeTargets(old, changed []catalog.Target) []catalog.Target {
	byID := make(map[string]catalog.Target, len(old)+len(changed))
	for _, t := range slices.Concat(old, changed) {
		byID[t.ID] = t
	}
	return catalog.Live(byID)
}

// FollowerOptions configure a follower.
type FollowerOptions struct {
	// Pool reaches control.
	Pool *rpc.Pool
	// Self returns the report about this VM.
	Self func() VM
	// Seeds returns RPC addresses of control VMs from the settings.
	Seeds func() []string
	// OnChange is called with each new view, from one goroutine at a time.
	OnChange func(*View)
	// Log receives events.
	Log *logrus.Entry
}

// Follower keeps a copy of the catalog on entry and store VMs.
type Follower struct {
	o    FollowerOptions
	view atomic.Pointer[View]
	// heard is the Unix time in nanoseconds of the last answer from any control VM.
	heard atomic.Int64

	mu          sync.Mutex
	watched     map[string]context.CancelFunc
	control     map[string][]string
	storeLeader string
	stores      []string

	fetchMu sync.Mutex
}

// NewFollower returns a follower; Run keeps it up to date.
func NewFollower(o FollowerOptions) *Follower {
	f := &Follower{o: o, watched: make(map[string]context.CancelFunc), control: make(map[string][]string)}
	f.view.Store(&View{})
	return f
}

// View returns the newest view.
func (f *Follower) View() *View { return f.view.Load() }

// Age returns the time since any control VM answered.
func (f *Follower) Age() time.Duration {
	return time.Duration(time.Now().UnixNano() - f.heard.Load())
}

// Current says whether a control VM has answered lately.
func (f *Follower) Current() bool { return f.heard.Load() != 0 && f.Age() < lostAfter }

// StoreLeader returns the ledger's leader as control knows it; it may be empty or out of date.
func (f *Follower) StoreLeader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLeader
}

// Stores returns addresses of store VMs.
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

// Run watches all control VMs until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	lost := true
	f.discover(ctx)
	periodic.Every(ctx, discoverInterval, func() {
		f.discover(ctx)
		if now := !f.Current(); now != lost {
			lost = now
			f.o.Log.WithFields(logrus.Fields{"event": "control_contact", "lost": lost, "age_ms": f.Age().Milliseconds(), "revision": f.View().Revision}).Info("contact with control changed")
		}
	})
}

// discover starts a watch at each known control VM and ends those of former ones.
func (f *Follower) discover(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool)
	for _, address := range f.o.Seeds() {
		wanted[address] = true
	}
	for _, addresses := range f.control {
		for _, address := range addresses {
			wanted[address] = true
		}
	}
	for address := range wanted {
		if f.watched[address] == nil {
			watch, cancel := context.WithCancel(ctx)
			f.watched[address] = cancel
			go f.watch(watch, address)
		}
	}
	for _, address := range slices.Collect(maps.Keys(f.watched)) {
		if !wanted[address] {
			f.watched[address]()
			delete(f.watched, address)
		}
	}
}

// watch keeps a watch open at one control VM.
func (f *Follower) watch(ctx context.Context, address string) {
	reachable := true
	state := &watchState{}
	for ctx.Err() == nil {
		err := f.watchOnce(ctx, address, state)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			f.o.Log.WithFields(logrus.Fields{"event": "control_vm", "address": address, "reachable": reachable, "error": err}).Info("connection to a control VM changed")
		}
		if err != nil {
			f.mu.Lock()
			delete(f.control, address)
			f.mu.Unlock()
			sleep(ctx, watchPause)
		}
	}
}

// watchState is what one control VM has heard from this VM and told it.
type watchState struct {
	reported VM
	members  uint64
}

func (f *Follower) watchOnce(ctx context.Context, address string, state *watchState) error {
	attempt, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	self := f.o.Self()
	request := WatchRequest{Node: self.Node, Started: self.Started, Known: f.View().Revision, WaitMS: MaxWatch.Milliseconds(), Members: state.members}
	if self != state.reported {
		request.VM = &self
	}
	var answer WatchResponse
	if err := f.o.Pool.Call(attempt, address, MethodWatch, request, &answer); err != nil {
		if attempt.Err() != nil {
			f.o.Pool.Reset(address)
		}
		*state = watchState{}
		return err
	}
	if answer.Unknown {
		*state = watchState{}
		return nil
	}
	state.reported = self
	f.heard.Store(time.Now().UnixNano())
	if answer.Members != nil {
		state.members = answer.Members.digest()
		f.learn(address, *answer.Members)
	}
	if answer.Revision > f.View().Revision {
		return f.fetch(ctx, address, answer.Revision)
	}
	return nil
}

// learn adopts the members that a control VM named.
func (f *Follower) learn(address string, m Members) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.control[address] = m.Control
	if m.StoreLeader != "" {
		f.storeLeader = m.StoreLeader
	}
	if len(m.Stores) > 0 {
		f.stores = m.Stores
	}
}

// fetch adopts a newer state. One transfer runs at a time, because all control
// VMs announce a change together.
func (f *Follower) fetch(ctx context.Context, address string, revision uint64) error {
	f.fetchMu.Lock()
	defer f.fetchMu.Unlock()
	old := f.View()
	if old.Revision >= revision {
		return nil
	}
	attempt, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var answer FetchResponse
	err := f.o.Pool.Call(attempt, address, MethodFetch, FetchRequest{old.Revision, old.configurationRevision}, &answer)
	if err != nil {
		return err
	}
	transfer, err := answer.transfer()
	if err != nil {
		return err
	}
	f.adopt(old, transfer, address)
	return nil
}

// adopt never goes back to an earlier revision or configuration.
func (f *Follower) adopt(old *View, answer Transfer, source string) {
	if answer.Revision <= old.Revision {
		return
	}
	next, err := old.with(answer)
	if err != nil {
		f.o.Log.WithFields(logrus.Fields{"event": "change_rejected", "revision": answer.Revision, "previous": old.Revision, "source": source}).WithError(err).Error("change does not apply; asking for all")
		all := *old
		all.configurationRevision = 0
		f.view.Store(&all)
		return
	}
	f.view.Store(next)
	f.o.Log.WithFields(logrus.Fields{
		"event": "catalog_adopted", "revision": next.Revision, "previous": old.Revision, "version": next.version(),
		"targets": len(next.Targets), "stores": len(next.Stores), "partial": answer.Partial, "source": source,
	}).Info("catalog adopted")
	if f.o.OnChange != nil {
		f.o.OnChange(next)
	}
}

// Report tells all control VMs about this VM at once, such as before a planned stop.
func (f *Follower) Report(ctx context.Context) {
	f.mu.Lock()
	addresses := slices.Collect(maps.Keys(f.watched))
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			attempt, cancel := context.WithTimeout(ctx, watchTimeout)
			defer cancel()
			self := f.o.Self()
			var answer WatchResponse
			if err := f.o.Pool.Call(attempt, address, MethodWatch, WatchRequest{VM: &self, Node: self.Node, Started: self.Started}, &answer); err != nil {
				f.o.Log.WithFields(logrus.Fields{"event": "report_failed", "address": address}).WithError(err).Warn("control VM did not take the report")
			}
		})
	}
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
