// Package registry is the control role of a deployment that forms itself from
// a few seed addresses. Control VMs replicate the catalog (configuration,
// targets, store members), tell all other VMs about changes, and answer
// callers that ask for entries.
//
// Every entry and store VM keeps a watch open at every control VM. The watch is
// the heartbeat that keeps the VM listed, and the fastest way for a change:
// a VM adopts the highest revision that any control VM offers, so it follows as
// long as it reaches one control VM that follows the leader.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/rpc"
)

const (
	// proposeTimeout bounds one attempt to commit a command.
	proposeTimeout = 900 * time.Millisecond
	// MaxWatch bounds how long a watch is kept waiting.
	MaxWatch = time.Second
	// minWatch bounds how long a watch is kept waiting in a small deployment, and
	// watchPerVM adds to it with each VM that reports, so that the load of a
	// control VM stays bounded while a frozen entry is soon noticed.
	minWatch   = 300 * time.Millisecond
	watchPerVM = 9 * time.Millisecond
	// membersInterval is how long the list of members is used.
	membersInterval = 50 * time.Millisecond
	// missedWatches and reportSlack make up the silence after which a VM is not listed any more.
	missedWatches = 2
	reportSlack   = 250 * time.Millisecond
	// listingDelay is how long a new control VM collects entries before it lists them.
	listingDelay = 1200 * time.Millisecond
	// formDelay is how long the leader waits for further store VMs before it forms the store group.
	formDelay = 1500 * time.Millisecond
	// dutyInterval is the time between two checks of the leader's duties.
	dutyInterval = 100 * time.Millisecond
)

// Options configure a control VM.
type Options struct {
	// Quorum replicates the catalog.
	Quorum *quorum.Quorum
	// Machine is the quorum's state machine.
	Machine *Machine
	// Pool reaches the other VMs.
	Pool *rpc.Pool
	// AddressLifetime is how long callers keep the list of entries.
	AddressLifetime time.Duration
	// TolerateLosses is how many VMs with a disk may be lost at once.
	TolerateLosses int
	// Seeds returns RPC addresses of control VMs from the settings.
	Seeds func() []string
	// Log receives events.
	Log *logrus.Entry
}

// Machine is the replicated catalog of a control VM.
type Machine struct{ *machine }

// NewMachine returns an empty catalog.
func NewMachine() *Machine { return &Machine{newMachine()} }

// Registry is a running control VM.
type Registry struct {
	o       Options
	started time.Time

	mu  sync.Mutex
	vms map[string]*sighting
	// firstStore is when the first store VM reported.
	firstStore time.Time
	// known are the members as computed last.
	known knownMembers
}

// knownMembers are the members at a time.
type knownMembers struct {
	Members
	digest uint64
	at     time.Time
}

// sighting is the newest report of a VM.
type sighting struct {
	VM
	at time.Time
}

// New returns a control VM; Run performs its duties.
func New(o Options) *Registry {
	return &Registry{o: o, started: time.Now(), vms: make(map[string]*sighting)}
}

// Register adds the methods to the server.
func (g *Registry) Register(s *rpc.Server) {
	s.Handle(MethodWatch, g.handleWatch)
	s.Handle(MethodFetch, g.handleFetch)
	s.Handle(MethodPropose, g.handlePropose)
	s.Handle(MethodDocument, g.handleDocument)
	s.Handle(MethodRetire, g.handleRetire)
}

// Run performs the leader's duties until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	periodic.Every(ctx, dutyInterval, func() {
		if _, _, self := g.o.Quorum.Leader(); self {
			g.formStores(ctx)
			g.finishRetirements(ctx)
		}
	})
}

// ErrUnavailable reports that no quorum confirmed the request. It may have
// taken effect, and may be repeated.
var ErrUnavailable = errors.New("no quorum of control VMs confirmed the request")

// PutConfiguration commits a configuration. It returns routing.Findings if the
// configuration is not valid, and nil without a change if its version is not higher.
func (g *Registry) PutConfiguration(ctx context.Context, c routing.Configuration, document []byte) error {
	if found := c.Validate(); len(found) > 0 {
		return found
	}
	return g.commit(ctx, catalog.Command{PutConfiguration: &catalog.PutConfiguration{Configuration: c, Document: document}})
}

// Announce records what a target says about itself. It returns once control
// knows the state, or at once if nothing changed.
func (g *Registry) Announce(ctx context.Context, t catalog.Target) error {
	changes := false
	g.o.Machine.read(func(s *catalog.State) { changes = s.WouldChange(t) })
	if !changes {
		return nil
	}
	return g.commit(ctx, catalog.Command{PutTarget: &t})
}

// Withdraw records that a target has left.
func (g *Registry) Withdraw(ctx context.Context, id string, born int64) error {
	var known catalog.Target
	found := false
	g.o.Machine.read(func(s *catalog.State) { known, found = s.Targets[id] })
	if !found || known.State == catalog.Gone || (born != 0 && born < known.StartedUnixMS) {
		return nil
	}
	known.State = catalog.Gone
	known.Sequence++
	return g.commit(ctx, catalog.Command{PutTarget: &known})
}

// Document returns the newest configuration, confirmed by a quorum after the call began.
func (g *Registry) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, address, self := g.o.Quorum.Leader()
	if self {
		return g.ownDocument(ctx)
	}
	if address == "" {
		return nil, ErrUnavailable
	}
	var answer DocumentResponse
	if err := g.o.Pool.Call(ctx, address, MethodDocument, struct{}{}, &answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return answer.Document, nil
}

func (g *Registry) ownDocument(ctx context.Context) ([]byte, error) {
	if err := g.o.Quorum.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var document []byte
	g.o.Machine.read(func(s *catalog.State) { document = s.Document })
	return document, nil
}

// commit proposes a command here or at the leader.
func (g *Registry) commit(ctx context.Context, c catalog.Command) error {
	data, err := encodeCommand(c)
	if err != nil {
		return fmt.Errorf("encode command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, address, self := g.o.Quorum.Leader()
	switch {
	case self:
		_, err = g.o.Quorum.Propose(ctx, data)
	case address == "":
		return ErrUnavailable
	default:
		err = g.o.Pool.Call(ctx, address, MethodPropose, ProposeRequest{data}, nil)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// handlePropose commits a follower's command.
func (g *Registry) handlePropose(ctx context.Context, params json.RawMessage) (any, error) {
	var r ProposeRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "propose: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := g.o.Quorum.Propose(ctx, r.Command); err != nil {
		return nil, rpc.Errorf(CodeUnavailable, "%v", err)
	}
	return struct{}{}, nil
}

func (g *Registry) handleDocument(ctx context.Context, _ json.RawMessage) (any, error) {
	document, err := g.ownDocument(ctx)
	if err != nil {
		return nil, rpc.Errorf(CodeUnavailable, "%v", err)
	}
	return DocumentResponse{document}, nil
}

// handleWatch records the caller as alive and answers when there is a newer revision.
func (g *Registry) handleWatch(ctx context.Context, params json.RawMessage) (any, error) {
	var r WatchRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "watch: %v", err)
	}
	if r.VM != nil {
		g.see(*r.VM)
	} else if !g.refresh(r.Node, r.Started) {
		return WatchResponse{Unknown: true}, nil
	}
	timer := time.NewTimer(min(time.Duration(r.WaitMS)*time.Millisecond, g.watchTime()))
	defer timer.Stop()
	revision, changed := g.o.Machine.revision()
	if revision <= r.Known {
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		revision, _ = g.o.Machine.revision()
	}
	answer := WatchResponse{Revision: revision}
	if members, digest := g.members(); digest != r.Members {
		answer.Members = &members
	}
	return answer, nil
}

// members returns the members and their digest. They are asked for with each
// watch, and computed a few times a second.
func (g *Registry) members() (Members, uint64) {
	g.mu.Lock()
	known := g.known
	g.mu.Unlock()
	if time.Since(known.at) < membersInterval {
		return known.Members, known.digest
	}
	members := Members{Control: g.controlAddresses()}
	members.StoreLeader, members.Stores = g.stores()
	known = knownMembers{members, members.digest(), time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = known
	return known.Members, known.digest
}

// watchTime returns how long a watch is kept waiting.
func (g *Registry) watchTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return watchTime(len(g.vms))
}

func watchTime(vms int) time.Duration {
	return min(max(time.Duration(vms)*watchPerVM, minWatch), MaxWatch)
}

// refresh keeps a VM listed whose report is known.
func (g *Registry) refresh(node string, started int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.vms[node]
	if known == nil || known.Started != started {
		return false
	}
	known.at = time.Now()
	return true
}

func (g *Registry) handleFetch(_ context.Context, params json.RawMessage) (any, error) {
	var r FetchRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "fetch: %v", err)
	}
	return g.o.Machine.fetch(r)
}

// see records a VM's report; a report of an earlier incarnation is ignored.
func (g *Registry) see(vm VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.vms[vm.Node]
	if known != nil && known.Started > vm.Started {
		return
	}
	if known == nil || known.Started != vm.Started || known.Draining != vm.Draining || known.RPCAddress != vm.RPCAddress {
		g.o.Log.WithFields(logrus.Fields{"event": "vm_seen", "node": vm.Node, "vm_role": vm.Role, "address": vm.RPCAddress, "draining": vm.Draining, "started": vm.Started}).Info("VM reported")
	}
	if known != nil && known.Started == vm.Started && known.Draining {
		vm.Draining = true
	}
	if vm.Role == "store" && g.firstStore.IsZero() {
		g.firstStore = time.Now()
	}
	g.vms[vm.Node] = &sighting{VM: vm, at: time.Now()}
}

// reporting returns the VMs of a role that reported lately, ordered by id.
func (g *Registry) reporting(role string) []VM {
	g.mu.Lock()
	defer g.mu.Unlock()
	timeout := missedWatches*watchTime(len(g.vms)) + reportSlack
	var vms []VM
	for _, node := range slices.Sorted(maps.Keys(g.vms)) {
		s := g.vms[node]
		if s.Role == role && time.Since(s.at) < timeout {
			vms = append(vms, s.VM)
		}
	}
	return vms
}

// stores returns the ledger's leader and the store VMs that reported lately.
func (g *Registry) stores() (leader string, addresses []string) {
	votes := make(map[string]int)
	for _, vm := range g.reporting("store") {
		addresses = append(addresses, vm.RPCAddress)
		if vm.StoreLeader != "" {
			votes[vm.StoreLeader]++
		}
	}
	for _, address := range slices.Sorted(maps.Keys(votes)) {
		if leader == "" || votes[address] > votes[leader] {
			leader = address
		}
	}
	return leader, addresses
}

func (g *Registry) controlAddresses() []string {
	members := g.o.Quorum.Addresses()
	for _, seed := range g.o.Seeds() {
		if !slices.Contains(members, seed) {
			members = append(members, seed)
		}
	}
	return members
}

// formStores names the first members of the store group once enough VMs have reported.
func (g *Registry) formStores(ctx context.Context) {
	formed := false
	g.o.Machine.read(func(s *catalog.State) { formed = len(s.Stores) > 0 })
	if formed {
		return
	}
	g.mu.Lock()
	first := g.firstStore
	g.mu.Unlock()
	vms := g.reporting("store")
	wanted := 2*g.o.TolerateLosses + 1
	if len(vms) == 0 || (len(vms) < wanted && time.Since(first) < formDelay) {
		return
	}
	var members []catalog.Store
	for _, vm := range spread(vms, wanted) {
		members = append(members, catalog.Store{Node: vm.Node, Address: vm.RPCAddress})
	}
	err := g.commit(ctx, catalog.Command{FormStores: members})
	g.o.Log.WithFields(logrus.Fields{"event": "stores_formed", "members": len(members), "reporting": len(vms), "error": err}).Info("store group named")
}

// spread returns n VMs from as many data centres as possible.
func spread(vms []VM, n int) []VM {
	taken := make(map[string]int)
	var chosen []VM
	for round := 0; len(chosen) < min(n, len(vms)); round++ {
		for _, vm := range vms {
			if taken[vm.DataCentre] == round && len(chosen) < n && !slices.Contains(chosen, vm) {
				taken[vm.DataCentre]++
				chosen = append(chosen, vm)
			}
		}
		for dc := range taken {
			taken[dc] = round + 1
		}
	}
	return chosen
}
