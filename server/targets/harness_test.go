package targets

import (
	"context"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/server/emulator"
	"hemlockvale.dev/server/rpc"
)

const (
	testShards  = 8
	testService = "agent-llm"
)

// fakeFleetView implements FleetView. Tests change its values with change.
type fakeFleetView struct {
	mu       sync.Mutex
	revision uint64
	vms      []fleet.VM
	drains   []fleet.TargetDrain
	epoch    uint64
	owner    fleet.VMRef
}

// change edits the configuration and increments the revision.
func (f *fakeFleetView) change(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
	f.revision++
}

func (f *fakeFleetView) Revision() uint64 { f.mu.Lock(); defer f.mu.Unlock(); return f.revision }
func (f *fakeFleetView) Shards() int      { return testShards }
func (f *fakeFleetView) VMs() []fleet.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}
func (f *fakeFleetView) TargetDrains() []fleet.TargetDrain {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.drains)
}

// Assignment assigns all shards to one owner.
func (f *fakeFleetView) Assignment(shard int) (fleet.Assignment, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fleet.Assignment{Shard: shard, Epoch: f.epoch, Owner: f.owner}, f.owner.ID != ""
}

// shardOf implements Options.ShardOf.
func shardOf(shards int, organisation, id string) int {
	return int(xxhash.Sum64String(organisation+"\x00"+id) % uint64(shards))
}

// node is one entry VM of the test fleet.
type node struct {
	*Targets
	vm   fleet.VM
	stop func()
	// pausedEpoch, if not 0, is the epoch under which the VM still considers itself the
	// owner, like a process that was paused when it lost the shard.
	mu          sync.Mutex
	pausedEpoch uint64
}

// pauseAt makes the VM consider itself the owner under the given epoch.
func (n *node) pauseAt(epoch uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedEpoch = epoch
}

// ownedEpoch returns the function for Options.OwnedEpoch.
func (n *node) ownedEpoch(f *fakeFleetView) func(int) (uint64, bool) {
	return func(int) (uint64, bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.pausedEpoch > 0 {
			return n.pausedEpoch, true
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.epoch, f.owner == n.vm.VMRef
	}
}

// newFleet starts n entry VMs. The first one owns all shards.
func newFleet(t *testing.T, n int) (*fakeFleetView, []*node) {
	t.Helper()
	f := &fakeFleetView{}
	var nodes []*node
	for i := range n {
		nodes = append(nodes, startNode(t, f, string(rune('a'+i))))
	}
	f.change(func() { f.epoch, f.owner = 1, nodes[0].vm.VMRef })
	return f, nodes
}

// startNode starts an entry VM and adds it to the configuration.
func startNode(t *testing.T, f *fakeFleetView, id string) *node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	entry := log.WithField("vm", id)
	n := &node{}
	pool := rpc.NewPool(time.Second)
	server := rpc.NewServer(entry)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	router := mux.NewRouter()
	httpServer := httptest.NewServer(router)
	n.vm = fleet.VM{VMRef: fleet.VMRef{ID: id, Incarnation: id + "-1"}, Role: "entry", RPCAddress: l.Addr().String(), HTTPAddress: httpServer.Listener.Addr().String()}
	n.Targets = New(Options{Self: n.vm.VMRef, Pool: pool, State: func() FleetView { return f }, ShardOf: shardOf, OwnedEpoch: n.ownedEpoch(f), Log: entry})
	n.Register(server)
	n.Mount(router)
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		httpServer.Close()
		_ = server.Close()
		_ = pool.Close()
	})
	t.Cleanup(n.stop)
	f.change(func() { f.vms = append(f.vms, n.vm) })
	return n
}

// startEngine starts an engine that announces itself to the nodes. The function stop
// stops it gracefully. The result of the engine's Run is not checked, because some
// tests crash the engine.
func startEngine(t *testing.T, o emulator.EngineOptions, nodes ...*node) (e *emulator.Engine, stop func()) {
	t.Helper()
	o.Service = testService
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	for _, n := range nodes {
		o.Entries = append(o.Entries, n.vm.HTTPAddress)
	}
	e, err := emulator.NewEngine(o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { e.Crash(); cancel(); <-done })
	return e, cancel
}

// waitForCandidates waits until ok accepts the node's candidates.
func waitForCandidates(t *testing.T, n *node, within time.Duration, ok func([]placement.Candidate) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return ok(n.Candidates(testService, "", program.Ref{})) }, within, 10*time.Millisecond)
}

// hasCount returns a condition for waitForCandidates that expects n candidates.
func hasCount(n int) func([]placement.Candidate) bool {
	return func(cs []placement.Candidate) bool { return len(cs) == n }
}
