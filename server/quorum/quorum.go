// Package quorum runs a replica of control's log: it connects the protocol core
// of coord/raft to the write-ahead log, to the RPC layer and to a state machine.
//
// One goroutine owns the core, the log and the state machine; it combines the
// events that are waiting into one synced write. One goroutine per peer sends
// messages from a bounded queue; messages that do not fit are dropped, which
// the protocol tolerates.
//
// First start: each replica creates its storage UUID with its data directory.
// The replica whose name sorts first asks all configured peers for their
// storage. Only if every peer answers and none has ever taken part in a
// cluster, it sends them the initial configuration, which each stores durably,
// and stores it itself last. After that, any single surviving disk reveals that
// the cluster exists, so a replica with an empty disk never forms another one;
// it waits until an operator adds it as a voter.
//
// A failed write or sync ends the replica's part in the cluster until the
// process is restarted: it neither votes nor acknowledges any more.
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
	// ErrNotLeader reports that the request certainly had no effect, because this replica does not lead.
	ErrNotLeader = errors.New("not the leader")
	// ErrUnknownOutcome reports that the request may or may not take effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrStopped accompanies ErrNotLeader or ErrUnknownOutcome when the replica has been closed or has failed.
	ErrStopped = errors.New("replica is stopped")
	// ErrTooLarge reports a proposal over MaxProposalBytes; it certainly had no effect.
	ErrTooLarge = errors.New("proposal is too large")
	// ErrChangePending reports that another membership change is in progress.
	ErrChangePending = raft.ErrChangePending
	// ErrUnsafeChange reports a change after which the reachable voters would form no quorum.
	ErrUnsafeChange = raft.ErrUnsafeChange
	// ErrUnknownMember reports the removal of a replica that is no member.
	ErrUnknownMember = raft.ErrUnknownMember
)

const (
	// MaxProposalBytes keeps an encoded entry below the frame limit of the RPC layer.
	MaxProposalBytes = 8 << 20
	// tickInterval is the resolution of the protocol's timeouts.
	tickInterval = 20 * time.Millisecond
	// inputQueue bounds the requests and messages that wait for the core.
	inputQueue = 1024
)

// ReplicaID identifies a voter by name and storage.
type ReplicaID = raft.ReplicaID

// StateMachine is replicated by the log. Its methods are called from one
// goroutine; Apply must be deterministic.
type StateMachine interface {
	// Apply executes a committed command and returns its result to the proposer.
	Apply(index uint64, data []byte) any
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot returned.
	Restore(data []byte) error
}

// Options configure a replica.
type Options struct {
	// Name is the replica's name in the settings.
	Name string
	// DataDir holds the identity, the log and the snapshot.
	DataDir string
	// RPCAddress is where the peers reach this replica, as IP:port.
	RPCAddress string
	// Peers maps the names of the initial voters to their RPC addresses; the replica itself may be included.
	Peers map[string]string
	// StateMachine is replicated.
	StateMachine StateMachine
	// Log receives events; nil discards them.
	Log *logrus.Entry
	// Dial returns a caller for an address, such as (*rpc.Pool).To.
	Dial func(ctx context.Context, address string) (rpc.Caller, error)
	// Metrics receives the replica's metrics; nil keeps them private.
	Metrics metrics.Registry
	// Joining replicas never form a cluster; they wait until a leader adds them. See Join.
	Joining bool
	// Raft overrides protocol parameters; ID and Seed are set by Start.
	Raft raft.Config
	// wrapStorage lets tests inject storage failures.
	wrapStorage func(storage) storage
}

// storage is what the replica needs of *wal.Log after the start.
type storage interface {
	Append(hard *raft.HardState, entries []raft.Entry) error
	SaveSnapshot(s raft.Snapshot, hard raft.HardState, entries []raft.Entry) error
	Close() error
}

// Quorum is a running replica.
type Quorum struct {
	opts    Options
	id      ReplicaID
	log     *logrus.Entry
	store   storage
	node    *raft.Node
	start   time.Time
	inputs  chan input
	peers   *transport
	metrics *instruments
	loop    loopState

	// upkeep is set by Maintain; retired holds addresses that are not added again.
	upkeep  atomic.Pointer[Upkeep]
	retired sync.Map

	tokens atomic.Uint64
	view   atomic.Pointer[view]
	failed atomic.Pointer[error]

	ctx    context.Context
	cancel context.CancelFunc
	// stopped is closed when the goroutine that owns the core has ended.
	stopped chan struct{}
	wg      sync.WaitGroup
}

// view is what other goroutines may read without asking the core.
type view struct {
	role    raft.Role
	term    uint64
	leader  ReplicaID
	since   time.Time
	touched bool
}

// Start opens the data directory and runs the replica.
func Start(o Options) (*Quorum, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	store, contents, err := wal.Open(o.DataDir, o.Name)
	if err != nil {
		return nil, fmt.Errorf("start replica %s: %w", o.Name, err)
	}
	q := &Quorum{opts: o, id: contents.ID, store: store, start: time.Now(), inputs: make(chan input, inputQueue), stopped: make(chan struct{})}
	if o.wrapStorage != nil {
		q.store = o.wrapStorage(store)
	}
	q.log = o.Log.WithFields(logrus.Fields{"replica": o.Name, "storage": q.id.Storage})
	q.metrics = newInstruments(o.Metrics)
	if err := q.recover(contents); err != nil {
		return nil, errors.Join(fmt.Errorf("start replica %s: %w", o.Name, err), store.Close())
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.peers = newTransport(q)
	q.wg.Add(1)
	go q.run()
	if !o.Joining {
		q.wg.Add(1)
		go q.form()
	}
	return q, nil
}

func (o *Options) complete() error {
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
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(quiet)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return nil
}

// recover builds the core and the state machine from the stored contents.
func (q *Quorum) recover(c wal.Contents) error {
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
		if err := q.restore(restore.Snapshot); err != nil {
			return err
		}
	}
	q.view.Store(&view{term: c.HardState.Term, touched: node.HasState()})
	q.log.WithFields(logrus.Fields{
		"event": "quorum_started", "term": c.HardState.Term, "snapshot": q.loop.applied, "entries": len(c.Entries), "torn_bytes": c.TornBytes,
	}).Info("replica started")
	return nil
}

// Self returns the replica's identity.
func (q *Quorum) Self() ReplicaID { return q.id }

// Leader returns the known leader's name and address, and whether it is this
// replica. The name is empty while no leader is known. Only ReadBarrier proves
// that this replica still leads.
func (q *Quorum) Leader() (name, address string, self bool) {
	v := q.view.Load()
	if v.leader.IsZero() {
		return "", "", false
	}
	return v.leader.Name, q.peers.address(v.leader), v.leader == q.id
}

// LeaderSince returns when this replica became the leader, or zero if it does not lead.
func (q *Quorum) LeaderSince() time.Time { return q.view.Load().since }

// Failure returns the storage error or internal fault that ended the replica's part in the cluster, or nil.
func (q *Quorum) Failure() error {
	if err := q.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// Stopped is closed when the replica has been closed or has failed.
func (q *Quorum) Stopped() <-chan struct{} { return q.stopped }

// Close stops the replica. Requests under way end with ErrUnknownOutcome.
func (q *Quorum) Close() error {
	q.cancel()
	q.wg.Wait()
	q.peers.close()
	return q.store.Close()
}
