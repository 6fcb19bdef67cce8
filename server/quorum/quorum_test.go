package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
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
	// failing storage refuses writes.
	failing map[string]bool
}

// faultyStorage fails like a disk whose sync failed.
type faultyStorage struct {
	storage
	failing func() bool
}

func (f faultyStorage) Append(hard *raft.HardState, entries []raft.Entry) error {
	if f.failing() {
		return errDisk
	}
	return f.storage.Append(hard, entries)
}

var errDisk = errors.New("injected disk failure")

func (c *cluster) is(set map[string]bool, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return set[name]
}

func (c *cluster) set(set map[string]bool, name string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set[name] = on
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), peers: map[string]string{}, live: map[string]*replica{}, blocked: map[string]bool{}, failing: map[string]bool{}}
	for _, name := range names {
		c.peers[name] = c.reserve()
	}
	t.Cleanup(func() {
		for name := range c.live {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) startAll() *cluster {
	for name := range c.peers {
		c.start(name)
	}
	return c
}

// wipe replaces a stopped replica's disk by an empty one.
func (c *cluster) wipe(name string) {
	c.stop(name)
	require.NoError(c.t, os.RemoveAll(filepath.Join(c.dir, name)))
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
		if c.is(c.blocked, name) || c.is(c.blocked, address) {
			return nil, rpc.ErrUnreachable
		}
		return r.pool.To(address), nil
	}
	q, err := Start(Options{
		Name: name, DataDir: filepath.Join(c.dir, name), RPCAddress: c.peers[name], Peers: c.peers,
		StateMachine: r.state, Dial: dial, Raft: raft.Config{CompactAfter: 20, RetainEntries: 5, SnapshotChunkBytes: 64},
		wrapStorage: func(s storage) storage {
			return faultyStorage{s, func() bool { return c.is(c.failing, name) }}
		},
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
	c.set(c.blocked, name, cut)
	c.set(c.blocked, c.peers[name], cut)
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

// propose retries until a command is certainly committed.
func (c *cluster) propose(command string) {
	c.eventually(command, func() bool {
		_, r := c.leader()
		_, err := r.Propose(c.t.Context(), []byte(command))
		require.Truef(c.t, err == nil || errors.Is(err, ErrNotLeader) || errors.Is(err, ErrUnknownOutcome), "%v", err)
		return err == nil
	})
}

// proposeMany commits enough commands for a snapshot if n is over 20.
func (c *cluster) proposeMany(n int) []string {
	commands := make([]string, n)
	for i := range commands {
		commands[i] = fmt.Sprint("command ", i)
		c.propose(commands[i])
	}
	return commands
}

func (c *cluster) converge(want []string) {
	for name, r := range c.live {
		c.eventually(fmt.Sprintf("%s holds %v", name, want), func() bool { return fmt.Sprint(r.state.list()) == fmt.Sprint(want) })
	}
}

// Guards against a first start that forms no cluster, and against a replica
// that loses acknowledged commands in a restart, behind a snapshot or after a
// move to an address that the others' settings do not have.
func TestFormReplicateRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	want := c.proposeMany(30)
	c.converge(want)
	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
		c.propose("without " + name)
		want = append(want, "without "+name)
		c.peers[name] = c.reserve()
		c.start(name)
	}
	c.converge(want)
}

// Guards against a wiped disk that votes before an operator adds it, and
// against a new voter that the others' settings do not name.
func TestWipedDiskIsReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	want := c.proposeMany(25)
	old := c.live["a"].id
	c.wipe("a")
	wiped := c.start("a")
	require.NotEqual(t, old, wiped.id)
	_, lead := c.leader()
	time.Sleep(5 * formInterval)
	require.False(t, wiped.Describe().Formed)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, lead.AddVoter(ctx, Voter{ReplicaID{Name: "a"}, c.peers["a"]}))
	require.NoError(t, lead.RemoveVoter(ctx, old))
	c.peers["d"] = c.reserve()
	c.start("d")
	require.NoError(t, lead.AddVoter(ctx, Voter{ReplicaID{Name: "d"}, c.peers["d"]}))
	require.Len(t, lead.Describe().Members, 4)
	c.converge(want)
}

// Guards against an isolated leader that still answers reads, and against a
// definite answer for a proposal whose outcome it cannot know.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	c.propose("before")
	name, old := c.leader()
	c.isolate(name, true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := old.Propose(ctx, []byte("interrupted"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = old.Propose(t.Context(), []byte("uncertain"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.ErrorIs(t, old.ReadBarrier(t.Context()), ErrNotLeader)
	_, err = old.Propose(t.Context(), []byte("refused"))
	require.ErrorIs(t, err, ErrNotLeader)
	require.True(t, old.LeaderSince().IsZero())
	c.isolate(name, false)
	c.propose("after")
	c.converge([]string{"before", "after"})
}

// Guards against a cluster that forms without a configured peer, and against
// replicas with wiped disks that form a second cluster while one old disk survives.
func TestFormationNeedsEveryPeer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c")
	unformed := func(names ...string) {
		time.Sleep(5 * formInterval)
		for _, name := range names {
			require.False(t, c.live[name].Describe().Formed, name)
		}
	}
	c.start("a")
	c.start("b")
	unformed("a", "b")
	c.start("c")
	c.propose("first")
	c.converge([]string{"first"})
	c.wipe("a")
	c.wipe("b")
	c.start("a")
	c.start("b")
	unformed("a", "b")
}

// Guards against a survivor that cannot continue alone after the disks of a
// majority are lost, or that loses committed commands on the way.
func TestForceSingleVoter(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	want := c.proposeMany(25)
	c.converge(want)
	c.wipe("b")
	c.wipe("c")
	c.stop("a")
	_, err := ForceSingleVoter(filepath.Join(c.dir, "b"), "b", c.peers["b"])
	require.ErrorIs(t, err, ErrUnformed)
	_, err = ForceSingleVoter(filepath.Join(c.dir, "a"), "a", c.peers["a"])
	require.NoError(t, err)
	c.start("a")
	c.propose("alone")
	for _, name := range []string{"b", "c"} {
		c.start(name)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		require.NoError(t, c.live["a"].AddVoter(ctx, Voter{ReplicaID{Name: name}, c.peers[name]}))
		cancel()
	}
	c.propose("together")
	c.converge(append(want, "alone", "together"))
}

// Guards against a replica that acknowledges, votes or leads after its disk failed.
func TestFailedDiskEndsTheRole(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	c.propose("before")
	name, old := c.leader()
	c.set(c.failing, name, true)
	_, err := old.Propose(t.Context(), []byte("uncertain"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	<-old.Stopped()
	require.ErrorIs(t, old.Failure(), errDisk)
	require.Equal(t, "stopped", old.Describe().Role)
	require.Error(t, old.ReadBarrier(t.Context()))
	_, err = old.Propose(t.Context(), []byte("refused"))
	require.ErrorIs(t, err, ErrNotLeader)
	c.set(c.failing, name, false)
	c.stop(name)
	c.propose("after")
	c.start(name)
	c.converge([]string{"before", "after"})
}

// Guards against a false outcome: a command that was reported as applied must
// be applied once, one that was refused never. Clients run while replicas are
// isolated.
func TestOutcomesAreTrue(t *testing.T) {
	t.Parallel()
	seed := uint64(time.Now().UnixNano())
	if value, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = value
	}
	t.Logf("SEED=%d", seed)
	c := newCluster(t, "a", "b", "c").startAll()
	c.leader()
	var mu sync.Mutex
	outcomes := map[string]error{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		target := c.live[string(rune('a'+i%3))]
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				command := fmt.Sprintf("client %d command %d", i, n)
				_, err := target.Propose(context.Background(), []byte(command))
				mu.Lock()
				outcomes[command] = err
				mu.Unlock()
				if err != nil {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for range 5 {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		name := string(rune('a' + random.IntN(3)))
		c.isolate(name, true)
		time.Sleep(time.Duration(300+random.IntN(700)) * time.Millisecond)
		c.isolate(name, false)
	}
	close(stop)
	clients.Wait()
	c.propose("last")
	var final []string
	c.eventually("replicas agree", func() bool {
		final = c.live["a"].state.list()
		return slices.Contains(final, "last") && slices.Equal(final, c.live["b"].state.list()) && slices.Equal(final, c.live["c"].state.list())
	})
	applied := map[string]int{}
	for _, command := range final {
		applied[command]++
	}
	counts := map[string]int{}
	for command, err := range outcomes {
		switch {
		case err == nil:
			counts["applied"]++
			require.Equal(t, 1, applied[command], command)
		case errors.Is(err, ErrNotLeader):
			counts["not leader"]++
			require.Zero(t, applied[command], command)
		default:
			counts["unknown"]++
			require.ErrorIs(t, err, ErrUnknownOutcome)
			require.LessOrEqual(t, applied[command], 1, command)
		}
	}
	t.Logf("outcomes: %v", counts)
	require.Positive(t, counts["applied"])
}
