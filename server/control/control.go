// Package control implements the control role. The leader of the control VMs'
// replicated log responds to the polls of the entries, plans shard assignments and
// serves the operators' HTTP API.
//
// Every response follows a read barrier: after the request arrived, a quorum has
// confirmed that this VM is the leader. A control VM without this confirmation
// refuses the request with no_quorum. An error states whether the change was
// executed: "no" only if the log certainly does not contain it, otherwise "unknown".
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
	// planInterval is the interval at which the leader plans shard assignments.
	planInterval = 200 * time.Millisecond
	// barrierTimeout limits one confirmation of leadership.
	barrierTimeout = time.Second
	// proposeTimeout limits one proposal. Together with barrierTimeout it ensures that
	// an isolated leader refuses a request within 3 s.
	proposeTimeout = 2 * time.Second
	// settleDelay is the time without a new registration after which the shards of a
	// new deployment are assigned: a poll interval and some reserve. Without the
	// delay, the first VM would get every shard and most shards would move again.
	settleDelay = 600 * time.Millisecond
	// maxSettleDelay limits the wait for further registrations, counted from the first
	// one.
	maxSettleDelay = 3 * time.Second
)

// ErrNotLeader reports a proposal that was certainly not added to the log.
var ErrNotLeader = errors.New("not the leader")

// ErrUnknownOutcome reports a proposal that may still be committed.
var ErrUnknownOutcome = errors.New("outcome unknown")

// Voter is a voting member of the quorum.
type Voter struct {
	// Name is the control VM's name.
	Name string `json:"name"`
	// Storage is the UUID of the voter's data directory.
	Storage string `json:"storage"`
	// RPCAddress is the address at which the other voters reach it.
	RPCAddress string `json:"rpc_address"`
}

// Replicator is the replicated log of the control VMs.
type Replicator interface {
	// Propose adds a command to the log and returns the state machine's result. It
	// fails with ErrNotLeader or ErrUnknownOutcome, possibly wrapped; any other error
	// counts as an unknown outcome.
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns nil if a quorum confirmed after the start of the call that
	// this VM is the leader, and this VM has applied everything committed before.
	ReadBarrier(ctx context.Context) error
	// Leader returns the name and RPC address of the known leader, and whether it is
	// this VM.
	Leader() (name, address string, self bool)
	// LeaderSince returns the time at which this VM became the leader.
	LeaderSince() time.Time
	// Describe returns the quorum's state for operators, as a JSON value.
	Describe() any
	// AddVoter adds a voter to the quorum.
	AddVoter(ctx context.Context, v Voter) error
	// RemoveVoter removes a voter from the quorum.
	RemoveVoter(ctx context.Context, v Voter) error
}

// Settings are the settings of a control VM.
type Settings struct {
	// Name is this control VM's name.
	Name string
	// Region is the region whose organisations this quorum owns.
	Region string
	// DataCentre is the data centre of this VM.
	DataCentre string
	// AdminToken authenticates operators. If it is empty, every request is refused.
	AdminToken string
	// Shards is the number of shards of a new deployment.
	Shards int
	// Replicas is the number of replicas of each shard of a new deployment, including
	// the owner; 0 means 3.
	Replicas int
	// RecreateLostShards is the value of fleet.Deployment.RecreateLostShards for a new
	// deployment.
	RecreateLostShards bool
	// HTTPAddresses maps the name of each control VM to the address of its operators'
	// API, as IP:port.
	HTTPAddresses map[string]string
}

// Options holds the dependencies of Control.
type Options struct {
	// Settings are the settings of this VM.
	Settings Settings
	// Quorum is the replicated log over State.
	Quorum Replicator
	// State is the state machine to which the log is applied.
	State *Machine
	// Log receives the log lines of the role.
	Log *logrus.Entry
	// Metrics is the registry for counters; nil means a private one.
	Metrics metrics.Registry
}

// Control is the control role of one VM.
type Control struct {
	o         Options
	state     *fleet.State
	tokenHash [sha256.Size]byte
	start     time.Time
	clock     func() time.Time
	forwarder forwarder

	mu                 sync.Mutex // guards the fields below
	leaderSince        time.Time  // start of the leadership that the fields below belong to
	tracker            *membership.Tracker
	withheldLeases     map[fleet.VMRef]bool // VMs that get no lease for now
	pendingRecreations int                  // operators' recreations of shards in progress
	settle             settleWindow
	emptyPlanInput     planInput
	lostShards         []int // as last logged
	tokens             tokenSum
	snapshot           cachedSnapshot
}

// New returns the control role of a VM. The caller registers its RPC methods with
// Register, serves HTTPHandler and calls Run.
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

// Register adds the RPC methods of the control role to the server.
func (c *Control) Register(s *rpc.Server) {
	s.Handle("control.poll", c.handlePoll)
	s.Handle("control.assign", c.handleAssign)
}

// Run plans shard assignments while this VM is the leader, until ctx ends.
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

// now returns the monotonic time since the creation of c.
func (c *Control) now() time.Duration { return c.clock().Sub(c.start) }

// isLeader reports whether this VM believes that it is the leader; only confirm
// verifies this. When a new leadership begins, it resets the state of the earlier one.
func (c *Control) isLeader() bool {
	if _, _, self := c.o.Quorum.Leader(); !self {
		return false
	}
	leaderSince := c.o.Quorum.LeaderSince()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leaderSince.Equal(c.leaderSince) {
		c.leaderSince = leaderSince
		c.tracker = membership.NewTracker(leaderSince.Sub(c.start))
		c.withheldLeases = nil
		c.settle = settleWindow{}
		c.emptyPlanInput = planInput{}
		c.lostShards = nil
		c.tokens = tokenSum{owned: make(map[fleet.VMRef]int64)}
	}
	return true
}

// confirm returns nil after a quorum has confirmed that this VM is the leader.
func (c *Control) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return c.o.Quorum.ReadBarrier(ctx)
}

// propose adds a command to the log and waits until it is applied. An encoding
// error counts as ErrNotLeader, because the command is certainly not in the log.
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
