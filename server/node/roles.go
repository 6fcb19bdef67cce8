package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/coord/voters"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/forward"
	"hemlockvale.dev/server/graceful"
	"hemlockvale.dev/server/history"
	"hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/relay"
	"hemlockvale.dev/server/settings"
)

const (
	// addressListLifetimes is the number of lifetimes for which some callers keep a list
	// of entries.
	addressListLifetimes = 3
	// directoryDelay is the time within which the control role stops listing a VM that has
	// reported its shutdown.
	directoryDelay = 500 * time.Millisecond
	// stopMargin is the part of the grace period that is left for ending the process
	// once callers have been served.
	stopMargin = 700 * time.Millisecond
	// settlementMargin is the part of stopMargin in which the ledger may acknowledge the last
	// settlements. They are applied within a few tens of milliseconds.
	settlementMargin = 400 * time.Millisecond
	// answerMargin is the time between the end of the requests in progress and that of their
	// connections.
	answerMargin = 300 * time.Millisecond
	// storePollInterval is the time between two checks of the members and the leader of
	// the store group.
	storePollInterval = 20 * time.Millisecond
)

// runControl runs the control role, which keeps the configuration and the catalog.
func (p *process) runControl(ctx context.Context) error {
	p.rpc.SetReserve(p.guard.ReservePeer)
	machine := registry.NewMachine()
	var initialMembers []string
	if p.beginFormation(ctx) {
		initialMembers = p.seeds()
	}
	q, err := p.startQuorum(ctx, machine, initialMembers)
	if err != nil {
		return err
	}
	reg := registry.New(registry.Options{
		Quorum: q, Machine: machine, Pool: p.pool, AddressLifetime: p.Settings.Callers.AddressLifetime(),
		TolerateLosses: p.Settings.Formation.TolerateLosses, Seeds: p.seeds, Log: p.Log, Metrics: p.metrics,
	})
	q.Register(p.rpc)
	reg.Register(p.rpc)
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go reg.Run(taskCtx)
	go q.MaintainMembership(taskCtx, quorum.MembershipPolicy{
		Policy:         voters.Policy{MinVoters: p.minVoters()},
		KnownAddresses: func() []string { return append(q.Addresses(), p.seeds()...) },
	})
	servers := make([]*graceful.Conns, 0, 2)
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"control.address", p.Settings.Control.Address, p.Adapter.Control(reg, p.Log)},
		{"control.directory_address", p.Settings.Control.DirectoryAddress, p.Adapter.Directory(reg, p.Log)},
	} {
		server, err := p.serveGracefully(s.name, s.address, s.handler, nil)
		if err != nil {
			return errors.Join(err, q.Close())
		}
		servers = append(servers, server)
	}
	failure := p.wait(ctx)
	p.Log.WithField("event", "stopping").Info("planned stop started")
	shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Stop(shutdownCtx); err != nil {
			// A client whose request does not end in time retries it at another control VM.
			p.Log.WithField("event", "stop_incomplete").WithError(err).Warn("requests were still in progress")
		}
	}
	stop()
	return errors.Join(failure, q.Close())
}

// runStore runs the store role, which keeps the ledger.
func (p *process) runStore(ctx context.Context) error {
	p.rpc.SetReserve(p.guard.ReservePeer)
	var leader atomic.Value
	leader.Store("")
	var host atomic.Pointer[ledger.Host]
	var storage atomic.Pointer[string]
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	follower := registry.NewFollower(registry.FollowerOptions{
		Pool: p.pool, Seeds: p.seeds, Log: p.Log,
		Self: func() registry.VM {
			vm := p.describeVM()
			vm.StoreLeader = leader.Load().(string)
			if storage := storage.Load(); storage != nil {
				vm.Storage, vm.HistoryAddress = *storage, p.Settings.VM.HistoryAddress
			}
			return vm
		},
		OnChange: func(v *registry.View) {
			if h := host.Load(); h != nil {
				h.Update(v)
			}
		},
	})
	go follower.Run(taskCtx)
	go follower.KeepStored(taskCtx, filepath.Join(p.Settings.Formation.DataDir, "catalog"))
	machine := ledger.NewMachine()
	q, err := p.startQuorum(ctx, machine, p.initialStores(ctx, follower))
	if err != nil {
		return err
	}
	// Peers call this replica as soon as it listens, and opening the records takes long: a vote
	// that is not answered delays the election after the loss of all VMs.
	q.Register(p.rpc)
	historyClient := history.NewClient()
	h := ledger.New(ledger.Options{
		Quorum: q, Machine: machine, View: follower.View, Stores: follower.HistoryStores, Copies: p.historyCopies(), Copier: historyClient, Heartbeats: follower.Heartbeats,
		Seed: xxhash.Sum64String(p.Settings.VM.ID), Log: p.Log, Metrics: p.metrics,
	})
	host.Store(h)
	h.Register(p.rpc)
	go h.Run(taskCtx)
	go q.MaintainMembership(taskCtx, quorum.MembershipPolicy{
		Policy:         voters.Policy{MinVoters: p.minVoters(), MaxVoters: p.minVoters(), Retired: machine.Retired},
		KnownAddresses: func() []string { return append(q.Addresses(), follower.Stores()...) },
	})
	go trackLeader(taskCtx, q, &leader)
	historyServer, err := p.serveHistories(taskCtx, historyClient)
	if err != nil {
		return errors.Join(err, q.Close())
	}
	self := q.Self().Storage
	storage.Store(&self)
	failure := p.wait(ctx)
	p.Log.WithField("event", "stopping").Info("planned stop started")
	stop()
	return errors.Join(failure, historyServer.Close(), q.Close())
}

// serveHistories opens the records in the data directory and serves them until ctx ends.
func (p *process) serveHistories(ctx context.Context, c *history.Client) (*http.Server, error) {
	disk, err := history.OpenDisk(filepath.Join(p.Settings.Formation.DataDir, "histories"), p.Log)
	if err != nil {
		return nil, fmt.Errorf("formation.data_dir: %w", err)
	}
	go disk.Run(ctx)
	service := history.NewService(disk, c, p.Log, p.metrics)
	return p.servePeers("vm.history_address", p.Settings.VM.HistoryAddress, service.Handler())
}

// historyCopies returns the number of store VMs that hold each history, so that one is left
// after the loss of as many VMs as the deployment must tolerate.
func (p *process) historyCopies() int { return p.Settings.Formation.TolerateLosses + 1 }

// trackLeader stores this VM's address in leader while the VM is the leader of the store
// group, and "" otherwise. The VM's reports to the control role include the value.
func trackLeader(ctx context.Context, q *quorum.Quorum, leader *atomic.Value) {
	periodic.Every(ctx, storePollInterval, func() {
		_, address, self := q.Leader()
		if !self {
			address = ""
		}
		leader.Store(address)
	})
}

// initialStores waits until the control role has named the initial members of the store
// group and returns their addresses. It returns nil for a VM that joins a group or
// restarts after the group has formed.
func (p *process) initialStores(ctx context.Context, f *registry.Follower) []string {
	if !p.beginFormation(ctx) {
		return nil
	}
	for ctx.Err() == nil {
		if stores := f.View().Stores; len(stores) > 0 {
			var addresses []string
			for _, s := range stores {
				addresses = append(addresses, s.Address)
			}
			return addresses
		}
		time.Sleep(storePollInterval)
	}
	return nil
}

// describeVM returns the description of this VM for the control role.
func (p *process) describeVM() registry.VM {
	s := p.Settings
	return registry.VM{
		Node: s.VM.ID, Role: s.VM.Role, DataCentre: s.VM.DataCentre, RPCAddress: s.VM.RPCAddress,
		CallerAddress: s.Callers.Address, Started: p.startedUnixNano,
	}
}

// runEntry runs the entry role, which admits and forwards the requests of callers.
func (p *process) runEntry(ctx context.Context) error {
	var isolated atomic.Bool
	var stopping atomic.Pointer[forward.Stop]
	draining := func() bool { return stopping.Load() != nil }
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	follower := registry.NewFollower(registry.FollowerOptions{
		Pool: p.pool, Seeds: p.seeds, Log: p.Log,
		Self: func() registry.VM {
			vm := p.describeVM()
			vm.Draining, vm.Isolated = draining(), isolated.Load()
			return vm
		},
	})
	go follower.Run(taskCtx)
	limits := func() routing.Limits {
		if table := follower.View().Table; table != nil {
			return table.Configuration.Limits
		}
		return routing.Limits{}
	}
	p.limits.Store(&limits)
	client := ledger.NewClient(ledger.ClientOptions{Leader: follower.StoreLeader, Stores: follower.Stores, Entry: p.Settings.VM.RPCAddress, Log: p.Log, Metrics: p.metrics})
	go client.Run(taskCtx)
	histories := history.NewClient()
	e := forward.New(forward.Options{
		View: follower.View, Current: follower.Current, Age: follower.Age, Ledger: client, Histories: histories,
		HistoryStores: follower.HistoryStores, HistoryCopies: p.historyCopies(), HeaderCodec: p.Adapter.HeaderCodec(),
		DataCentre: p.Settings.VM.DataCentre, Address: p.Settings.VM.RPCAddress, Peers: follower.Entries, Entries: follower.EntryCount, Stop: stopping.Load,
		OnIsolation: func(lost bool) {
			isolated.Store(lost)
			go follower.Report(taskCtx)
		},
		MemoryQuota: memoryQuota(p.Settings.VM), StallTimeout: p.Settings.Callers.StallTimeout(),
		Log: p.Log, Metrics: p.metrics,
	})
	histories.Reserve = e.ReservePeer
	p.rpc.SetReserve(e.ReservePeer)
	p.pool.SetReserve(e.ReservePeer)
	go e.Run(taskCtx)
	relays := relay.NewServer(e, e.AcceptRelay, p.Log)
	p.startTask("relay_server", relays.Serve)
	p.rpc.HandleConn(relay.Preface, relays.HandleConn)
	callers, err := p.serveGracefully("callers.address", p.Settings.Callers.Address, e, e.Listener)
	if err != nil {
		return err
	}
	ready := func() bool { return !draining() && follower.View().Table != nil }
	if _, err := p.serve("callers.ready_address", p.Settings.Callers.ReadyAddress, p.Adapter.Ready(ready)); err != nil {
		return err
	}
	failure := p.wait(ctx)
	planned := planStop(bootclock.Now(), p.Settings.Callers)
	stopping.Store(planned)
	p.Log.WithFields(logrus.Fields{"event": "stopping", "active": e.Active()}).Info("planned stop started")
	time.AfterFunc(planned.Deadline-bootclock.Now(), e.EndRequests)
	follower.Report(taskCtx)
	failure = errors.Join(failure, p.drain(e, callers, relays, planned))
	flushCtx, cancel := context.WithTimeout(taskCtx, settlementMargin)
	defer cancel()
	client.Flush(flushCtx)
	return failure
}

// planStop returns the times of a planned stop that begins now. Callers have a reason to use
// this entry until no address list that names it is in use.
func planStop(now time.Duration, c settings.Callers) *forward.Stop {
	listed := min(addressListLifetimes*c.AddressLifetime()+directoryDelay, c.StopGrace()/2)
	return &forward.Stop{Unlisted: now + listed, Deadline: now + c.StopGrace() - stopMargin - answerMargin}
}

// drain serves callers until no address list that names this entry is in use, and then
// closes connections as they become idle, up to the end of the grace period. The requests of
// other entries end in the same time.
func (p *process) drain(e *forward.Entry, callers *graceful.Conns, relays *relay.Server, stop *forward.Stop) error {
	time.Sleep(stop.Unlisted - bootclock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), stop.Deadline+answerMargin-bootclock.Now())
	defer cancel()
	relaysErr := make(chan error, 1)
	go func() { relaysErr <- relays.Stop(ctx) }()
	if err := errors.Join(callers.Stop(ctx), <-relaysErr); err != nil {
		p.Log.WithFields(logrus.Fields{"event": "stop_incomplete", "active": e.Active()}).WithError(err).Warn("requests were still in progress at the end of the grace period")
	}
	return nil
}
