// Package control is the control role: it answers the entries' polls, plans
// shard assignments and serves the operators' HTTP API, all on the leader of
// control's replicated log.
//
// Every answer rests on a read barrier: the leader has confirmed its leadership
// with a quorum after the request arrived. A control VM that cannot do so
// refuses with no_quorum. An error says whether the change was executed: "no"
// only if the log certainly does not contain it, otherwise "unknown".
package control

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/membership"
	"hemlockvale.dev/server/rpc"
)

const (
	// planInterval is how often the leader plans shard assignments.
	planInterval = 200 * time.Millisecond
	// barrierTimeout bounds one confirmation of leadership.
	barrierTimeout = time.Second
	// proposeTimeout bounds one change; an isolated leader must refuse within 3 s.
	proposeTimeout = 2 * time.Second
	// settleTime is how long the first assignment of a new deployment waits
	// after the last VM has registered: a poll interval and some reserve.
	// Otherwise the first VM would get every shard and most would move again.
	settleTime = 600 * time.Millisecond
	// maxSettleTime bounds that wait.
	maxSettleTime = 3 * time.Second
)

// ErrNotLeader reports a proposal that was certainly not added to the log.
var ErrNotLeader = errors.New("not the leader")

// ErrUnknownOutcome reports a proposal that may still be committed.
var ErrUnknownOutcome = errors.New("outcome unknown")

// Voter is one member of the quorum.
type Voter struct {
	// Name is the control VM's name.
	Name string `json:"name"`
	// Storage is the UUID of its data directory.
	Storage string `json:"storage"`
	// RPCAddress is where the other voters reach it.
	RPCAddress string `json:"rpc_address"`
}

// Replicator is control's replicated log. Propose returns ErrNotLeader or
// ErrUnknownOutcome, possibly wrapped; any other error counts as unknown.
type Replicator interface {
	// Propose adds a command to the log and returns the machine's result.
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns nil if this VM led, as confirmed by a quorum, after
	// the call began, and has applied everything committed before.
	ReadBarrier(ctx context.Context) error
	// Leader returns the known leader's name and RPC address.
	Leader() (name, address string, self bool)
	// LeaderSince returns when this VM became the leader.
	LeaderSince() time.Time
	// Describe returns the quorum's state for operators, as a JSON value.
	Describe() any
	// AddVoter adds a member.
	AddVoter(ctx context.Context, v Voter) error
	// RemoveVoter removes a member.
	RemoveVoter(ctx context.Context, v Voter) error
}

// Settings are the deployment's settings for control.
type Settings struct {
	// Name is this control VM's name.
	Name string
	// Region is the region whose organisations this quorum owns.
	Region string
	// DataCentre is where this VM runs.
	DataCentre string
	// AdminToken authenticates operators; an empty token admits nobody.
	AdminToken string
	// Shards is the number of shards of a new deployment.
	Shards int
	// Replicas is the number of copies of each shard of a new deployment; 0: 3.
	Replicas int
	// RecreateLostShards is the initial value of the deployment's setting.
	RecreateLostShards bool
	// HTTPAddresses are the operators' addresses of all control VMs by name, as IP:port.
	HTTPAddresses map[string]string
}

// Options are what Control depends on.
type Options struct {
	// Settings are the deployment's settings.
	Settings Settings
	// Quorum is the replicated log over State.
	Quorum Replicator
	// State is the log's state machine.
	State *Machine
	// Log receives one line per event.
	Log *logrus.Entry
	// Metrics receives counters and timers; nil: none are kept.
	Metrics metrics.Registry
}

// Control is one control VM's role.
type Control struct {
	o         Options
	state     *fleet.State
	tokenHash [sha256.Size]byte
	start     time.Time
	clock     func() time.Time
	forwarder forwarder

	mu         sync.Mutex // guards everything below
	since      time.Time  // the leadership that the fields below belong to
	tracker    *membership.Tracker
	withheld   map[fleet.VMRef]bool
	recreating int // operators' recreations of shards under way
	settle     settling
	idle       idlePlan
	lost       []int
	tokens     tokenSum
	snapshot   cachedSnapshot
}

// New returns the role; it does nothing before Run.
func New(o Options) (*Control, error) {
	if o.Quorum == nil || o.State == nil || o.Log == nil {
		return nil, errors.New("control needs a quorum, a state machine and a log")
	}
	if o.Settings.Replicas == 0 {
		o.Settings.Replicas = 3
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Control{
		o:         o,
		state:     o.State.State,
		tokenHash: sha256.Sum256([]byte(o.Settings.AdminToken)),
		start:     time.Now(),
		clock:     time.Now,
		forwarder: newForwarder(),
		tracker:   membership.NewTracker(0),
		tokens:    tokenSum{owned: make(map[fleet.VMRef]int64)},
	}, nil
}

// Register adds control's RPC methods.
func (c *Control) Register(s *rpc.Server) {
	s.Handle("control.poll", c.handlePoll)
	s.Handle("control.assign", c.handleAssign)
}

// Run plans shard assignments while this VM leads, until ctx ends.
func (c *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.planOnce(ctx)
		}
	}
}

// now returns the time on this VM's monotonic clock.
func (c *Control) now() time.Duration { return c.clock().Sub(c.start) }

// leads reports whether this VM believes to be the leader. At the start of a
// leadership it forgets what it knew about the VMs.
func (c *Control) leads() bool {
	if _, _, self := c.o.Quorum.Leader(); !self {
		return false
	}
	since := c.o.Quorum.LeaderSince()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !since.Equal(c.since) {
		c.since = since
		c.tracker = membership.NewTracker(since.Sub(c.start))
		c.withheld = nil
		c.settle = settling{}
		c.idle = idlePlan{}
		c.lost = nil
		c.tokens = tokenSum{owned: make(map[fleet.VMRef]int64)}
	}
	return true
}

// confirm returns nil after a quorum has confirmed this VM's leadership.
func (c *Control) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return c.o.Quorum.ReadBarrier(ctx)
}

// propose adds a command to the log and waits for its result.
func (c *Control) propose(ctx context.Context, command fleet.Command) (fleet.Result, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return fleet.Result{}, fmt.Errorf("%w: encode command: %w", ErrNotLeader, err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := c.o.Quorum.Propose(ctx, data)
	if err != nil {
		return fleet.Result{}, err
	}
	result, ok := out.(fleet.Result)
	if !ok {
		return fleet.Result{}, fmt.Errorf("%w: state machine returned %T", ErrUnknownOutcome, out)
	}
	return result, nil
}
