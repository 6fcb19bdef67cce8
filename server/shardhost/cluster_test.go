package shardhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/server/rpc"
)

// fakeFleetView implements FleetView with the values of its fields.
type fakeFleetView struct {
	revision    uint64
	shards      int
	assignments []fleet.Assignment
	vms         []fleet.VM
}

func (c *fakeFleetView) Revision() uint64                { return c.revision }
func (c *fakeFleetView) Shards() int                     { return c.shards }
func (c *fakeFleetView) Assignments() []fleet.Assignment { return c.assignments }
func (c *fakeFleetView) VMs() []fleet.VM                 { return c.vms }

// cluster is a fake control VM together with hosts that communicate over loopback.
type cluster struct {
	t     testing.TB
	mu    sync.Mutex
	state fakeFleetView
	nodes map[string]*node
}

// node is one VM of a cluster.
type node struct {
	host   *Host
	vm     fleet.VM
	server *rpc.Server
	pool   *rpc.Pool
	cancel context.CancelFunc
	paused bool // control sends no updates and does not renew the lease

	mu       sync.Mutex
	released []program.Ref
	failures int // number of upcoming releases that fail
}

// newCluster starts a VM for each id. The first in-sync replica of each shard is
// its owner, and the owners rotate over the VMs.
func newCluster(t testing.TB, shards int, ids ...string) *cluster {
	c := &cluster{t: t, nodes: make(map[string]*node)}
	c.state.shards = shards
	for i, id := range ids {
		c.start(id, fmt.Sprintf("dc-%d", i%3))
	}
	for s := range shards {
		var rotated []fleet.VMRef
		for i := range ids {
			rotated = append(rotated, c.nodes[ids[(s+i)%len(ids)]].vm.VMRef)
		}
		c.state.assignments = append(c.state.assignments, fleet.Assignment{
			Shard: s, Epoch: 1, Version: 1, Owner: rotated[0], InSync: rotated[:1], Replicas: rotated[:min(3, len(rotated))],
		})
	}
	c.state.revision++
	t.Cleanup(func() {
		for id := range c.nodes {
			c.stop(id)
		}
	})
	go c.poll(t.Context())
	return c
}

// start starts a VM and registers it.
func (c *cluster) start(id, dataCentre string) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	n := &node{pool: rpc.NewPool(time.Second), server: rpc.NewServer(logrus.NewEntry(log))}
	n.vm = fleet.VM{VMRef: fleet.VMRef{ID: id, Incarnation: uuid.NewString()}, DataCentre: dataCentre, RPCAddress: l.Addr().String()}
	n.host = New(Options{Self: n.vm.VMRef, Pool: n.pool, Control: c, Log: logrus.NewEntry(log), Release: n.release})
	n.host.Register(n.server)
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go func() { _ = n.server.Serve(l) }()
	go n.host.Run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id] = n
	c.state.vms = append(c.state.vms, n.vm)
	c.state.revision++
	return n
}

// release is the VM's Options.Release.
func (n *node) release(_ context.Context, r program.Ref, _ []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failures > 0 {
		n.failures--
		return errors.New("target refused")
	}
	n.released = append(n.released, r)
	return nil
}

// stop stops a VM. The configuration changes only when remove is called.
func (c *cluster) stop(id string) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	n.cancel()
	_ = n.server.Close()
	_ = n.pool.Close()
}

// remove removes a VM from the configuration and moves its shards to in-sync replicas.
func (c *cluster) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	dead := func(ref fleet.VMRef) bool { return ref.ID == id }
	for i := range c.state.assignments {
		a := &c.state.assignments[i]
		a.InSync, a.Replicas = slices.DeleteFunc(slices.Clone(a.InSync), dead), slices.DeleteFunc(slices.Clone(a.Replicas), dead)
		a.Version++
		if dead(a.Owner) {
			a.Owner = a.InSync[0]
			a.Epoch++
		}
	}
	c.state.vms = slices.DeleteFunc(slices.Clone(c.state.vms), func(vm fleet.VM) bool { return vm.ID == id })
	c.state.revision++
}

// Call answers control.assign with a compare-and-set on the version.
func (c *cluster) Call(_ context.Context, method string, params, _ any) error {
	a := params.(fleet.Assignment)
	c.mu.Lock()
	defer c.mu.Unlock()
	if method != methodAssign || c.state.assignments[a.Shard].Version+1 != a.Version {
		return rpc.Errorf("version_conflict", "shard %d", a.Shard)
	}
	c.state.assignments[a.Shard] = a
	c.state.revision++
	return nil
}

// poll updates the hosts every 20 ms until ctx ends.
func (c *cluster) poll(ctx context.Context) {
	for ctx.Err() == nil {
		c.update()
		time.Sleep(20 * time.Millisecond)
	}
}

// update passes the configuration and a lease of 2 s to the hosts that are not paused.
func (c *cluster) update() {
	c.mu.Lock()
	s := c.state
	s.assignments = slices.Clone(s.assignments)
	var hosts []*Host
	for _, n := range c.nodes {
		if !n.paused {
			hosts = append(hosts, n.host)
		}
	}
	c.mu.Unlock()
	for _, h := range hosts {
		h.Update(&s, time.Now().Add(2*time.Second))
	}
}

// waitReplicated waits until each shard has an active owner and at least inSync
// in-sync replicas.
func (c *cluster) waitReplicated(inSync int) {
	require.Eventually(c.t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, a := range c.state.assignments {
			if n := c.nodes[a.Owner.ID]; len(a.InSync) < inSync || n == nil || !n.host.Owns(a.Shard) {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}
