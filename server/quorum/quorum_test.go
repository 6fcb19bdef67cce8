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
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/wal"
)

// recorder is a state machine that records every command.
type recorder struct {
	mu       sync.Mutex
	commands []string
	// beforeEncode is called before a captured state is encoded; it may be nil.
	beforeEncode func()
}

func (r *recorder) Apply(_ uint64, data []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, string(data))
	return len(r.commands)
}

func (r *recorder) Snapshot() ([]byte, error) { return json.Marshal(r.list()) }

// Capture implements Capturer.
func (r *recorder) Capture() func() ([]byte, error) {
	captured := r.list()
	return func() ([]byte, error) {
		if r.beforeEncode != nil {
			r.beforeEncode()
		}
		return json.Marshal(captured)
	}
}

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

// replica is one member of a test cluster, with its RPC server and connections.
type replica struct {
	*Quorum
	state  *recorder
	server *rpc.Server
	pool   *rpc.Pool
}

// cluster runs replicas on reserved loopback addresses, so that a replica can restart at
// the same address.
type cluster struct {
	t       *testing.T
	dir     string
	peers   map[string]string
	running map[string]*replica

	mu sync.Mutex
	// blocked holds the names and the addresses of isolated replicas.
	blocked map[string]bool
	// failing holds the names of the replicas whose storage fails.
	failing map[string]bool
	// full holds the names of the replicas whose disk is full.
	full map[string]bool
	// unknown counts for each command how often propose repeated it because the outcome was
	// unknown.
	unknown map[string]int
	// joining holds the names of the replicas that join; their settings name no peers.
	joining map[string]bool
}

// faultyStorage is a storage whose appends fail while failing returns true, and whose writes have
// no room while full returns true.
type faultyStorage struct {
	storage
	failing, full func() bool
}

func (f faultyStorage) Append(hardState *raft.HardState, entries []raft.Entry) error {
	if f.failing() {
		return errDisk
	}
	if f.full() {
		return wal.ErrFull
	}
	return f.storage.Append(hardState, entries)
}

func (f faultyStorage) SaveSnapshot(s raft.Snapshot, hardState raft.HardState, entries []raft.Entry) error {
	if f.full() {
		return wal.ErrFull
	}
	return f.storage.SaveSnapshot(s, hardState, entries)
}

var errDisk = errors.New("injected disk failure")

func (c *cluster) isSet(flags map[string]bool, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return flags[name]
}

func (c *cluster) setFlag(flags map[string]bool, name string, value bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flags[name] = value
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), peers: map[string]string{}, running: map[string]*replica{}, blocked: map[string]bool{}, failing: map[string]bool{}, full: map[string]bool{}, unknown: map[string]int{}}
	for _, name := range names {
		c.peers[name] = c.reserveAddress()
	}
	t.Cleanup(func() {
		for name := range c.running {
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

// wipe stops a replica and removes its data directory.
func (c *cluster) wipe(name string) {
	c.stop(name)
	require.NoError(c.t, os.RemoveAll(filepath.Join(c.dir, name)))
}

// reservedAddresses counts the addresses that reserveAddress has returned.
var reservedAddresses atomic.Uint32

// reserveAddress returns an unused loopback address. It has an IP of its own, so that no
// other process takes the port while the replica is stopped.
func (c *cluster) reserveAddress() string {
	n := reservedAddresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+os.Getpid()/200%100, os.Getpid()%200, n%250+1))
	require.NoError(c.t, err)
	defer l.Close()
	return l.Addr().String()
}

// start starts a replica and its RPC server.
func (c *cluster) start(name string) *replica {
	r := &replica{state: &recorder{}, server: rpc.NewServer(nil), pool: rpc.NewPool(time.Second)}
	dial := func(_ context.Context, address string) (rpc.Caller, error) {
		if c.isSet(c.blocked, name) || c.isSet(c.blocked, address) {
			return nil, rpc.ErrUnreachable
		}
		return r.pool.CallerFor(address), nil
	}
	peers := c.peers
	if c.joining[name] {
		peers = nil
	}
	q, err := Start(Options{
		Name: name, DataDir: filepath.Join(c.dir, name), RPCAddress: c.peers[name], Peers: peers, Joining: c.joining[name],
		StateMachine: r.state, Dial: dial, Raft: raft.Config{CompactAfter: 20, RetainEntries: 5, SnapshotChunkBytes: 64},
		wrapStorage: func(s storage) storage {
			return faultyStorage{s, func() bool { return c.isSet(c.failing, name) }, func() bool { return c.isSet(c.full, name) }}
		},
	})
	require.NoError(c.t, err)
	r.Quorum = q
	q.Register(r.server)
	l, err := net.Listen("tcp", c.peers[name])
	require.NoError(c.t, err)
	go func() { _ = r.server.Serve(l) }()
	c.running[name] = r
	return r
}

func (c *cluster) stop(name string) {
	r := c.running[name]
	delete(c.running, name)
	require.NoError(c.t, r.server.Close())
	require.NoError(c.t, r.Close())
	require.NoError(c.t, r.pool.Close())
}

// isolate blocks all connections from and to a replica, or restores them.
func (c *cluster) isolate(name string, isolated bool) {
	c.setFlag(c.blocked, name, isolated)
	c.setFlag(c.blocked, c.peers[name], isolated)
}

// leader waits until a read barrier succeeds on a replica and returns that replica.
func (c *cluster) leader() (string, *replica) {
	var name string
	c.eventually("a leader", func() bool {
		for n, r := range c.running {
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
	return name, c.running[name]
}

func (c *cluster) eventually(description string, condition func() bool) {
	require.Eventually(c.t, condition, 10*time.Second, 20*time.Millisecond, description)
}

// untilDone repeats a request to the leader of the moment until it succeeds. Only a change
// of leader may make it fail.
func (c *cluster) untilDone(description string, request func(leader *replica) error) {
	c.eventually(description, func() bool {
		_, r := c.leader()
		err := request(r)
		require.Truef(c.t, err == nil || errors.Is(err, ErrNotLeader) || errors.Is(err, ErrUnknownOutcome), "%v", err)
		return err == nil
	})
}

// propose repeats a command until it is committed.
func (c *cluster) propose(command string) {
	c.untilDone(command, func(leader *replica) error {
		_, err := leader.Propose(c.t.Context(), []byte(command))
		if errors.Is(err, ErrUnknownOutcome) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.unknown[command]++
		}
		return err
	})
}

// addVoter adds a running replica. A repeated call continues an interrupted one.
func (c *cluster) addVoter(name string) {
	c.untilDone("add "+name, func(leader *replica) error {
		return leader.AddVoter(c.t.Context(), Voter{ReplicaID{Name: name}, c.peers[name]})
	})
}

// proposeMany commits n commands and returns them. More than 20 cause a snapshot.
func (c *cluster) proposeMany(n int) []string {
	commands := make([]string, n)
	for i := range commands {
		commands[i] = fmt.Sprint("command ", i)
		c.propose(commands[i])
	}
	return commands
}

// requireConverged waits until every running replica has applied exactly the wanted commands,
// and all of them the same. A command may stand several times in a row if propose repeated it,
// because a proposal of unknown outcome may have been committed.
func (c *cluster) requireConverged(want []string) {
	c.t.Cleanup(func() {
		for name, r := range c.running {
			if c.t.Failed() {
				c.t.Logf("%s applied %v", name, r.state.list())
			}
		}
	})
	for name, r := range c.running {
		c.eventually(fmt.Sprintf("%s holds %v", name, want), func() bool { return slices.Equal(c.withoutRepeats(r.state.list()), want) })
	}
	c.eventually("all replicas apply the same commands", func() bool {
		var lists []string
		for _, r := range c.running {
			lists = append(lists, fmt.Sprint(r.state.list()))
		}
		slices.Sort(lists)
		return len(slices.Compact(lists)) == 1
	})
}

// withoutRepeats removes the repeats of each command that stand directly behind it, but at
// most as many as propose may have caused.
func (c *cluster) withoutRepeats(commands []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []string
	repeats := 0
	for _, command := range commands {
		repeated := len(kept) > 0 && kept[len(kept)-1] == command
		if repeated && repeats < c.unknown[command] {
			repeats++
			continue
		}
		if !repeated {
			repeats = 0
		}
		kept = append(kept, command)
	}
	return kept
}

// TestFormReplicateRestart guards against a first start that forms no cluster, and
// against a replica that loses acknowledged commands when it restarts, receives a
// snapshot or moves to an address that differs from the other replicas' settings.
func TestFormReplicateRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	want := c.proposeMany(30)
	c.requireConverged(want)
	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
		c.propose("without " + name)
		want = append(want, "without "+name)
		c.peers[name] = c.reserveAddress()
		c.start(name)
	}
	c.requireConverged(want)
}

// TestWipedDiskIsReplaced guards against a replica with a wiped disk that votes before an
// operator adds it, and against a new voter that cannot join because the other replicas'
// settings do not name it.
func TestWipedDiskIsReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	want := c.proposeMany(25)
	old := c.running["a"].id
	c.wipe("a")
	wiped := c.start("a")
	require.NotEqual(t, old, wiped.id)
	c.leader()
	time.Sleep(5 * formRetryInterval)
	require.False(t, wiped.Describe().Formed)
	c.addVoter("a")
	c.untilDone("remove the wiped replica", func(leader *replica) error { return leader.RemoveVoter(t.Context(), old) })
	c.peers["d"] = c.reserveAddress()
	c.start("d")
	c.addVoter("d")
	_, leader := c.leader()
	require.Len(t, leader.Describe().Members, 4)
	c.requireConverged(want)
}

// TestIsolatedLeaderStepsDown guards against an isolated leader that still serves reads
// or reports a definite outcome of a proposal whose outcome it cannot know.
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
	// Until the others have a leader, the old one may be elected again and commit what had an
	// unknown outcome.
	next, _ := c.leader()
	require.NotEqual(t, name, next)
	c.isolate(name, false)
	c.propose("after")
	c.requireConverged([]string{"before", "after"})
}

// TestFormationNeedsEveryPeer guards against a cluster that forms without one of the
// configured peers, and against replicas with wiped disks that form a second cluster
// although a disk of the first one remains.
func TestFormationNeedsEveryPeer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c")
	requireUnformed := func(names ...string) {
		time.Sleep(5 * formRetryInterval)
		for _, name := range names {
			require.False(t, c.running[name].Describe().Formed, name)
		}
	}
	c.start("a")
	c.start("b")
	requireUnformed("a", "b")
	c.start("c")
	c.propose("first")
	c.requireConverged([]string{"first"})
	c.wipe("a")
	c.wipe("b")
	c.start("a")
	c.start("b")
	requireUnformed("a", "b")
}

// TestForceSingleVoter guards against a remaining replica that cannot continue as the
// only voter after the disks of a majority are lost, or that loses committed commands.
func TestForceSingleVoter(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	want := c.proposeMany(25)
	c.requireConverged(want)
	c.wipe("b")
	c.wipe("c")
	c.stop("a")
	_, err := ForceSingleVoter(filepath.Join(c.dir, "b"), "b", c.peers["b"])
	require.ErrorIs(t, err, ErrNotFormed)
	_, err = ForceSingleVoter(filepath.Join(c.dir, "a"), "a", c.peers["a"])
	require.NoError(t, err)
	c.start("a")
	c.propose("alone")
	for _, name := range []string{"b", "c"} {
		c.start(name)
		c.addVoter(name)
	}
	c.propose("together")
	c.requireConverged(append(want, "alone", "together"))
}

// TestFailedDiskStopsReplica guards against a replica that acknowledges entries, votes or
// leads after its disk has failed.
func TestFailedDiskStopsReplica(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "a", "b", "c").startAll()
	c.propose("before")
	name, old := c.leader()
	c.setFlag(c.failing, name, true)
	_, err := old.Propose(t.Context(), []byte("uncertain"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	<-old.Stopped()
	require.ErrorIs(t, old.Failure(), errDisk)
	require.Equal(t, "stopped", old.Describe().Role)
	require.Error(t, old.ReadBarrier(t.Context()))
	_, err = old.Propose(t.Context(), []byte("refused"))
	require.ErrorIs(t, err, ErrNotLeader)
	c.setFlag(c.failing, name, false)
	c.stop(name)
	c.propose("after")
	c.start(name)
	c.requireConverged([]string{"before", "after"})
}

// TestOutcomesAreTrue guards against a wrong outcome: a command that was reported as
// applied must be applied exactly once, and a rejected command never. Clients propose
// commands while replicas are isolated in turn.
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
		r := c.running[string(rune('a'+i%3))]
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				command := fmt.Sprintf("client %d command %d", i, n)
				_, err := r.Propose(context.Background(), []byte(command))
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
		final = c.running["a"].state.list()
		return slices.Contains(final, "last") && slices.Equal(final, c.running["b"].state.list()) && slices.Equal(final, c.running["c"].state.list())
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
