package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/rpc"
)

// recorder is a state machine that keeps every command.
type recorder struct {
	mu       sync.Mutex
	commands []string
}

func (r *recorder) Apply(_ uint64, data []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, string(data))
	return len(r.commands)
}

func (r *recorder) Snapshot() ([]byte, error) { return json.Marshal(r.list()) }

func (r *recorder) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Unmarshal(data, &r.commands)
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.commands...)
}

// replica is one node of a test cluster.
type replica struct {
	*Quorum
	state  *recorder
	server *rpc.Server
	pool   *rpc.Pool
}

// cluster runs replicas on loopback addresses that survive their restarts.
type cluster struct {
	t     *testing.T
	dir   string
	peers map[string]string
	live  map[string]*replica

	mu      sync.Mutex
	blocked map[string]bool
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), peers: map[string]string{}, live: map[string]*replica{}, blocked: map[string]bool{}}
	for _, name := range names {
		c.peers[name] = c.reserve()
	}
	for _, name := range names {
		c.start(name)
	}
	t.Cleanup(func() {
		for name := range c.live {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) reserve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	defer l.Close()
	return l.Addr().String()
}

func (c *cluster) start(name string) *replica {
	r := &replica{state: &recorder{}, server: rpc.NewServer(nil), pool: rpc.NewPool(time.Second)}
	dial := func(_ context.Context, address string) (rpc.Caller, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.blocked[name] || c.blocked[address] {
			return nil, rpc.ErrUnreachable
		}
		return r.pool.To(address), nil
	}
	q, err := Start(Options{
		Name: name, DataDir: filepath.Join(c.dir, name), RPCAddress: c.peers[name], Peers: c.peers,
		StateMachine: r.state, Dial: dial, Raft: raft.Config{CompactAfter: 20, RetainEntries: 5, SnapshotChunkBytes: 64},
	})
	require.NoError(c.t, err)
	r.Quorum = q
	q.Register(r.server)
	l, err := net.Listen("tcp", c.peers[name])
	require.NoError(c.t, err)
	go func() { _ = r.server.Serve(l) }()
	c.live[name] = r
	return r
}

func (c *cluster) stop(name string) {
	r := c.live[name]
	delete(c.live, name)
	require.NoError(c.t, r.server.Close())
	require.NoError(c.t, r.Close())
	require.NoError(c.t, r.pool.Close())
}

// isolate cuts all connections of a replica, or restores them.
func (c *cluster) isolate(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[name], c.blocked[c.peers[name]] = cut, cut
}

// leader waits until a replica passes a read barrier.
func (c *cluster) leader() (string, *replica) {
	var name string
	c.eventually("a leader", func() bool {
		for n, r := range c.live {
			ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
			err := r.ReadBarrier(ctx)
			cancel()
			if err == nil {
				name = n
				return true
			}
		}
		return false
	})
	return name, c.live[name]
}

func (c *cluster) eventually(what string, condition func() bool) {
	require.Eventually(c.t, condition, 10*time.Second, 20*time.Millisecond, what)
}

// propose retries until a command is certainly committed and returns the number of attempts.
func (c *cluster) propose(command string) {
	c.eventually(command, func() bool {
		_, r := c.leader()
		_, err := r.Propose(c.t.Context(), []byte(command))
		require.Truef(c.t, err == nil || errors.Is(err, ErrNotLeader) || errors.Is(err, ErrUnknownOutcome), "%v", err)
		return err == nil
	})
}

func (c *cluster) converge(want []string) {
	for name, r := range c.live {
		c.eventually(fmt.Sprintf("%s holds %v", name, want), func() bool { return fmt.Sprint(r.state.list()) == fmt.Sprint(want) })
	}
}

// Guards against a first start that forms no cluster, and against a replica
// that loses acknowledged commands in a restart or behind a snapshot.
func TestFormReplicateRestart(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	var want []string
	for i := range 30 {
		want = append(want, fmt.Sprint("command ", i))
		c.propose(want[i])
	}
	c.converge(want)
	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
		c.propose("without " + name)
		want = append(want, "without "+name)
		c.start(name)
	}
	c.converge(want)
}

// Guards against a wiped disk that votes, or forms a second cluster, before an operator adds it.
func TestWipedDiskIsReplaced(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	var want []string
	for i := range 25 {
		want = append(want, fmt.Sprint("command ", i))
		c.propose(want[i])
	}
	old := c.live["a"].id
	c.stop("a")
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, "a")))
	wiped := c.start("a")
	require.NotEqual(t, old, wiped.id)
	_, lead := c.leader()
	time.Sleep(5 * formInterval)
	require.False(t, wiped.Describe().Formed)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, lead.AddVoter(ctx, Voter{ReplicaID{Name: "a"}, c.peers["a"]}))
	require.NoError(t, lead.RemoveVoter(ctx, old))
	require.Len(t, lead.Describe().Members, 3)
	c.converge(want)
}

// Guards against an isolated leader that still answers reads, and against a
// definite answer for a proposal whose outcome it cannot know.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.propose("before")
	name, old := c.leader()
	c.isolate(name, true)
	_, err := old.Propose(t.Context(), []byte("uncertain"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.ErrorIs(t, old.ReadBarrier(t.Context()), ErrNotLeader)
	_, err = old.Propose(t.Context(), []byte("refused"))
	require.ErrorIs(t, err, ErrNotLeader)
	require.True(t, old.LeaderSince().IsZero())
	c.isolate(name, false)
	c.propose("after")
	c.converge([]string{"before", "after"})
}
