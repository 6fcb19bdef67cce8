// Package quorum runs a replica of a replicated log. It connects a raft node of
// coord/raft to the write-ahead log, to the RPC layer and to a state machine.
//
// One goroutine owns the raft node, the log and the state machine. It combines the
// writes of all queued events into one synced write. For each peer, a goroutine sends
// messages from a bounded queue. Messages that do not fit into the queue are dropped,
// which the protocol tolerates.
//
// On the first start, each replica creates its storage UUID together with its data
// directory. The replica whose name sorts first asks all configured peers for their
// storage UUIDs. It continues only if every peer responds and none has ever taken part in
// a cluster: it sends them the initial configuration, which each stores durably, and
// stores it itself last. From then on every single disk shows that the cluster exists. A
// replica with an empty disk therefore never forms a second cluster; it waits until it is
// added as a voter, by an operator or by the leader (see MaintainMembership).
//
// While its disk is full, a replica waits for room, and neither votes nor acknowledges
// entries. After any other failed write or sync, it does so until the process is restarted.
package quorum

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/raft"
	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/wal"
)

var (
	// ErrNotLeader reports that this replica is not the leader and that the request had no
	// effect and never will.
	ErrNotLeader = errors.New("not the leader")
	// ErrUnknownOutcome reports that the request may or may not have an effect, now or later.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrStopped is joined to ErrNotLeader or ErrUnknownOutcome if the replica has been
	// closed or has failed.
	ErrStopped = errors.New("replica is stopped")
	// ErrDiskFull is joined to ErrNotLeader or ErrUnknownOutcome if the disk of the replica is
	// full.
	ErrDiskFull = errors.New("disk of the replica is full")
	// ErrTooLarge reports a proposal of more than MaxProposalBytes, which had no effect.
	ErrTooLarge = errors.New("proposal is too large")
	// ErrChangePending reports that another membership change is in progress.
	ErrChangePending = raft.ErrChangePending
	// ErrUnsafeChange reports a change after which the reachable voters would form no quorum.
	ErrUnsafeChange = raft.ErrUnsafeChange
	// ErrUnknownMember reports the removal of a replica that is not a member.
	ErrUnknownMember = raft.ErrUnknownMember
)

const (
	// MaxProposalBytes is the maximum size of a command. It keeps an encoded entry below
	// the frame limit of the RPC layer.
	MaxProposalBytes = 8 << 20
	// tickInterval is the interval at which the raft node checks its timeouts.
	tickInterval = 20 * time.Millisecond
	// inputQueueSize bounds the requests and messages that wait for the raft node.
	inputQueueSize = 1024
)

// ReplicaID identifies a replica by its name and its storage UUID.
type ReplicaID = raft.ReplicaID

// StateMachine is the state that the log replicates. Its methods are called from one
// goroutine at a time. Apply must be deterministic.
type StateMachine interface {
	// Apply executes a committed command. Propose returns its result on the replica that
	// proposed the command.
	Apply(index uint64, data []byte) any
	// Snapshot returns the complete state, encoded.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot encoded.
	Restore(data []byte) error
}

// Capturer is implemented by state machines whose state takes long to encode.
type Capturer interface {
	// Capture copies the state and returns a function that encodes the copy, as Snapshot
	// does. The function may run while further commands are applied.
	Capture() (encode func() ([]byte, error))
}

// Options configures a replica.
type Options struct {
	// Name is the replica's name in the settings.
	Name string
	// DataDir is the directory of the identity, the log and the snapshot.
	DataDir string
	// RPCAddress is the address at which peers reach this replica, as IP:port.
	RPCAddress string
	// Peers maps the names of the initial voters to their RPC addresses. The replica itself
	// may be left out.
	Peers map[string]string
	// StateMachine is the state that the log replicates.
	StateMachine StateMachine
	// Log receives the log lines; nil discards them.
	Log *logrus.Entry
	// Dial returns a caller for an address, such as (*rpc.Pool).CallerFor.
	Dial func(ctx context.Context, address string) (rpc.Caller, error)
	// Metrics is the registry of the replica's metrics; nil means a new, private one.
	Metrics metrics.Registry
	// Joining is set for a replica that never forms a cluster and waits until a leader
	// adds it (see MaintainMembership) or until one that forms a cluster names it as an
	// initial voter.
	Joining bool
	// Raft overrides parameters of the protocol. Start sets its ID and Seed.
	Raft raft.Config
	// wrapStorage is set by tests to inject storage failures.
	wrapStorage func(storage) storage
}

// storage is the part of *wal.Log that a running replica uses.
type storage interface {
	Append(hardState *raft.HardState, entries []raft.Entry) error
	SaveSnapshot(s raft.Snapshot, hardState raft.HardState, entries []raft.Entry) error
	Close() error
}

// Quorum is a running replica of the log.
type Quorum struct {
	opts      Options
	id        ReplicaID
	log       *logrus.Entry
	store     storage
	node      *raft.Node
	startTime time.Time
	inputs    chan input
	transport *transport
	metrics   *replicaMetrics
	loop      loopState

	// membershipPolicy is set by MaintainMembership. changing is held while a change of the
	// members is decided and made.
	membershipPolicy atomic.Pointer[MembershipPolicy]
	standbys         standbyList
	changing         sync.Mutex

	// tokens is the token of the last request to the raft node.
	tokens    atomic.Uint64
	published atomic.Pointer[publishedState]
	failure   atomic.Pointer[error]

	ctx    context.Context
	cancel context.CancelFunc
	// stopped is closed when the goroutine that owns the raft node has ended.
	stopped chan struct{}
	wg      sync.WaitGroup
}

// publishedState is the part of the replica's state that other goroutines read without
// a request to the goroutine that owns the raft node.
type publishedState struct {
	role        raft.Role
	term        uint64
	leader      ReplicaID
	leaderSince time.Time
	hasState    bool
}

// Start opens the data directory and starts the replica.
func Start(o Options) (*Quorum, error) {
	if err := o.checkAndSetDefaults(); err != nil {
		return nil, err
	}
	store, contents, err := wal.Open(o.DataDir, o.Name)
	if err != nil {
		return nil, fmt.Errorf("start replica %s: %w", o.Name, err)
	}
	q := &Quorum{opts: o, id: contents.ID, store: store, startTime: time.Now(), inputs: make(chan input, inputQueueSize), stopped: make(chan struct{})}
	if o.wrapStorage != nil {
		q.store = o.wrapStorage(store)
	}
	q.log = o.Log.WithFields(logrus.Fields{"replica": o.Name, "storage": q.id.Storage})
	q.metrics = newReplicaMetrics(o.Metrics)
	if err := q.recoverState(contents); err != nil {
		return nil, errors.Join(fmt.Errorf("start replica %s: %w", o.Name, err), store.Close())
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.transport = newTransport(q)
	q.wg.Add(1)
	go q.run()
	if !o.Joining {
		q.wg.Add(1)
		go q.formCluster()
	}
	return q, nil
}

// checkAndSetDefaults reports missing options and sets the defaults of optional ones.
func (o *Options) checkAndSetDefaults() error {
	if o.Name == "" || o.DataDir == "" || o.RPCAddress == "" || o.StateMachine == nil || o.Dial == nil {
		return errors.New("quorum: Name, DataDir, RPCAddress, StateMachine and Dial are required")
	}
	peers := map[string]string{o.Name: o.RPCAddress}
	for name, address := range o.Peers {
		if name != o.Name {
			peers[name] = address
		}
	}
	o.Peers = peers
	if o.Log == nil {
		discardLogger := logrus.New()
		discardLogger.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(discardLogger)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return nil
}

// recoverState restores the raft node and the state machine from the stored contents.
func (q *Quorum) recoverState(c wal.Contents) error {
	cfg := q.opts.Raft
	cfg.ID = q.id
	cfg.Seed = xxhash.Sum64String(q.id.Storage)
	node, restore, err := raft.New(cfg, c.PersistentState, 0)
	if err != nil {
		return err
	}
	q.node = node
	q.loop = newLoopState()
	if restore != nil {
		if err := q.restoreSnapshot(restore.Snapshot); err != nil {
			return err
		}
	}
	q.published.Store(&publishedState{term: c.HardState.Term, hasState: node.HasState()})
	q.log.WithFields(logrus.Fields{
		"event": "quorum_started", "term": c.HardState.Term, "snapshot": q.loop.applied, "entries": len(c.Entries), "torn_bytes": c.TornBytes,
	}).Info("replica started")
	return nil
}

// Self returns the replica's identity.
func (q *Quorum) Self() ReplicaID { return q.id }

// Leader returns the name and address of the known leader and whether it is this
// replica. The name is empty while no leader is known. The result may be out of date;
// ReadBarrier confirms that this replica is still the leader.
func (q *Quorum) Leader() (name, address string, self bool) {
	v := q.published.Load()
	if v.leader.IsZero() {
		return "", "", false
	}
	return v.leader.Name, q.transport.address(v.leader), v.leader == q.id
}

// Formed reports whether this replica belongs to a cluster, or has belonged to one.
func (q *Quorum) Formed() bool { return q.published.Load().hasState }

// LeaderSince returns the time at which this replica became the leader, or the zero time
// if it is not the leader.
func (q *Quorum) LeaderSince() time.Time { return q.published.Load().leaderSince }

// Failure returns the storage error or internal fault that stopped the replica, or nil.
func (q *Quorum) Failure() error {
	if err := q.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Stopped returns a channel that is closed when the replica has been closed or has failed.
func (q *Quorum) Stopped() <-chan struct{} { return q.stopped }

// Close stops the replica. Pending requests end with ErrUnknownOutcome.
func (q *Quorum) Close() error {
	q.cancel()
	q.wg.Wait()
	q.transport.close()
	return q.store.Close()
}
