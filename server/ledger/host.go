// Package ledger implements the store role and its client. Store VMs replicate the
// token budgets of programs on their disks, and their leader admits every request of
// the deployment: it charges the organisation's rate limit, reserves the tokens of a
// turn on a quorum of disks, and places the request on a target. A turn is a request
// that generates tokens for a program.
//
// The leader admits requests only while a quorum has confirmed its leadership within
// the shortest election timeout. The time is measured by a clock that includes
// suspensions, so that two VMs never grant requests from the rate limit of the same
// organisation at the same time.
//
// A request is admitted before any byte of it is sent to a target, so a request whose
// admission failed has not run.
package ledger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/coord/overload"
	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/rpc"
)

const (
	// outcomeRetention is how long outcomes are kept for entries that repeat a
	// request.
	outcomeRetention = 3 * time.Second
	// tickInterval is the time between two checks for expired requests and overload.
	tickInterval = overload.UpdateInterval
	// sweepInterval is the time between two removals of expired outcomes.
	sweepInterval = 500 * time.Millisecond
	// removeTimeout bounds the removal of a replica.
	removeTimeout = 800 * time.Millisecond
	// copyInterval is the time between two checks for histories with too few copies.
	copyInterval = 150 * time.Millisecond
)

// Options configures a Host.
type Options struct {
	// Quorum replicates the ledger.
	Quorum *quorum.Quorum
	// Machine is the state machine of Quorum.
	Machine *Machine
	// View returns the latest view of the catalog.
	View func() *registry.View
	// Stores returns the store VMs that reported recently.
	Stores func() []history.Store
	// Copies is the number of store VMs that hold each history.
	Copies int
	// Copier makes store VMs copy histories; nil if histories are not copied.
	Copier Copier
	// Heartbeats asks control for the latest heartbeats of targets; nil if it can't be asked.
	Heartbeats func(ctx context.Context, targets []string) ([]registry.Heartbeat, registry.HeartbeatsAnswer)
	// Seed initialises the dispatcher's random numbers.
	Seed uint64
	// Log receives events and one line for each admission.
	Log *logrus.Entry
	// Metrics receives the counters of outcomes and the queueing times.
	Metrics gometrics.Registry
}

// Host is the ledger service of a store VM. It admits requests while its replica is
// the leader.
type Host struct {
	options Options
	batcher *batcher
	inbox   *inbox
	// leadership is the latest one; nil before the first. It is replaced together with
	// dispatcher.
	leadership atomic.Pointer[leadership]

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// dispatchView is the catalog whose targets the dispatcher has. The latest one may be newer.
	dispatchView *registry.View
	// admissions holds the latest admission of each request, by request id.
	admissions map[string]*admission
	// reservations holds the reservations by request id. proposedTokens holds the tokens of
	// each program in reservations whose outcome is not known yet, by request id.
	reservations   map[string]*reservation
	proposedTokens map[ledger.Program]map[string]int64
	copies         copyState
	// retireCheck is the last retireCheck that was logged.
	retireCheck atomic.Value
	// leaving holds the targets that have stated that they leave.
	leaving ledger.LeavingTargets
	// evacuations is what was last logged about evacuated data centres.
	evacuations evacuationLog
	// coldStatements are the cold periods that targets have stated in responses.
	coldStatements coldStatements
	// cold holds the targets that were last logged as cold.
	cold map[string]bool
	// detector finds out which targets have ended while they ran a request.
	detector *quarantine.Detector
	// checkSlots holds an element for each check of a target in progress.
	checkSlots chan struct{}
	// outcomeCounters holds the counters of admissions by outcome, and waitedTimer the times
	// that they waited for a target.
	outcomeCounters map[string]gometrics.Counter
	waitedTimer     gometrics.Timer
	// settlementCounters count settlements by what became of them.
	settlementCounters settlementCounters
	// settling tells whether entries may have settlements that are not known here.
	settling ledger.Settling
	// proposedSettlements counts the settlements that are being committed.
	proposedSettlements proposedSettlements
	shareCounters       shareCounters
	// overload controls refusedShare, the share of programs whose requests entries refuse.
	overload     overload.Controller
	refusedShare float64
	// links holds the connections whose entries may have introduced themselves.
	links map[*link]struct{}
	// parked holds the connections whose first ping waits for a leader.
	parked []parkedLink
}

// New returns a host. Run must be called for it to admit requests.
func New(options Options) *Host {
	h := &Host{
		options: options, batcher: newBatcher(options.Quorum, options.Log), inbox: newInbox(), checkSlots: make(chan struct{}, maxChecks),
		outcomeCounters: make(map[string]gometrics.Counter), waitedTimer: gometrics.GetOrRegisterTimer("ledger_waited", options.Metrics), links: make(map[*link]struct{}),
		settlementCounters: newSettlementCounters(options.Metrics), shareCounters: newShareCounters(options.Metrics),
	}
	h.reset()
	return h
}

// reset drops the state of an earlier leadership.
func (h *Host) reset() {
	h.admissions = make(map[string]*admission)
	h.reservations = make(map[string]*reservation)
	h.proposedTokens = make(map[ledger.Program]map[string]int64)
	h.coldStatements = make(coldStatements)
}

// Register registers the connection handler and the RPC methods with the server.
func (h *Host) Register(s *rpc.Server) {
	for _, form := range []linkForm{currentForm, earlierForm} {
		s.HandleConn(form.preface(), func(c net.Conn, r *bufio.Reader) { h.serveLink(form, c, r) })
	}
	s.Handle(registry.MethodRemoveVoter, h.handleRemoveVoter)
	s.Handle(MethodTurn, h.handleTurn)
	s.Handle(MethodQuarantine, h.handleQuarantine)
	s.Handle(MethodClearQuarantine, h.handleClearQuarantine)
}

// Run renews the lease, writes batches and drops expired requests until ctx ends.
func (h *Host) Run(ctx context.Context) {
	go h.batcher.run(ctx)
	go h.runDecider(ctx)
	go periodic.Every(ctx, tickInterval, h.tick)
	go periodic.Every(ctx, sweepInterval, h.sweep)
	go periodic.Every(ctx, heartbeatPollInterval, func() { h.pollHeartbeats(ctx) })
	go periodic.Every(ctx, copyInterval, func() { h.restoreCopies(ctx) })
	periodic.Every(ctx, leaseInterval, func() { h.renewLease(ctx) })
}

// startLeadership starts a leadership with a lease until the given time of the boot clock. The
// caller holds h.mu.
func (h *Host) startLeadership(since time.Time, leaseExpiry time.Duration) {
	h.dispatcher = dispatch.New(bootclock.Now(), h.options.Seed)
	h.leaving = h.options.Machine.leavingTargets()
	h.detector = quarantine.NewDetector(bootclock.Now(), time.Now().UnixMilli())
	h.reset()
	h.overload, h.refusedShare = overload.Controller{}, 0
	h.settling.CannotAdmit(bootclock.Now())
	current := &leadership{since: since}
	current.lease.extend(leaseExpiry)
	h.leadership.Store(current)
	h.setTargets()
	h.options.Log.WithFields(logrus.Fields{"event": "ledger_leading", "programs": h.options.Machine.programs(), "revision": h.options.View().Revision}).Info("this VM is the leader and admits requests")
}

// Update tells the dispatcher about the targets of a new catalog view.
func (h *Host) Update(*registry.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dispatcher != nil {
		h.setTargets()
	}
}

func (h *Host) setTargets() {
	view := h.options.View()
	targets := make([]dispatch.Target, 0, len(view.Targets))
	for _, t := range view.Targets {
		evacuated := view.Evacuated(t.DataCentre)
		target := dispatch.Target{
			ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Software: t.Software, Started: t.StartedUnixMS, Slots: t.Slots,
			Draining: h.leaves(t) || evacuated, Evacuated: evacuated && !h.leaves(t),
		}
		if view.Table != nil {
			s := view.Table.Service(t.Service)
			if s != nil {
				target.MaxConnections = s.MaxConnections
			}
			if s != nil && s.Engine != nil {
				target.KVCapacity = s.Engine.KVCapacity
			}
			h.setCold(&target, t, s)
		}
		targets = append(targets, target)
	}
	h.dispatchView = view
	h.deliverOutcomes(h.grants().SetTargets(bootclock.Now(), targets))
	h.logEvacuations(view, targets)
	h.logCold(targets)
	h.setDetectorTargets(view)
}

// grants returns the dispatcher for calls that may grant waiting requests. Without a lease, it
// grants none. The caller holds h.mu.
func (h *Host) grants() *dispatch.Dispatcher {
	h.dispatcher.SetHeld(!h.canAdmit())
	return h.dispatcher
}

// recordRates applies what entries report about the rate limits of targets. The caller
// holds h.mu.
func (h *Host) recordRates(rates []TargetRate) {
	now := bootclock.Now()
	for _, r := range rates {
		fields := logrus.Fields{"event": "target_rate", "target": r.Target}
		changed := false
		var outcomes []dispatch.Outcome
		if r.PerSecond != nil {
			fields["limit"] = *r.PerSecond
			changed = h.dispatcher.LimitTarget(now, r.Target, *r.PerSecond)
		} else {
			fields["limit"] = "none"
			outcomes, changed = h.grants().UnlimitTarget(now, r.Target, r.Request)
		}
		if changed {
			h.options.Log.WithFields(fields).Info("rate limit of a target changed")
		}
		h.deliverOutcomes(outcomes)
	}
}

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answerParked()
	h.logLease()
	h.updateLoad()
	h.dropLinks()
	h.flushAnswers()
	h.inbox.wake()
	if h.dispatcher != nil {
		if !h.canAdmit() {
			h.settling.CannotAdmit(bootclock.Now())
		}
		h.deliverOutcomes(h.grants().Tick(bootclock.Now()))
		h.startDueChecks()
	}
}

// sweep removes outcomes whose retention has expired.
func (h *Host) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := bootclock.Now()
	for id, a := range h.admissions {
		if a.response != nil && now > a.receivedAt+a.request.TimeLeft+outcomeRetention {
			delete(h.admissions, id)
		}
	}
	for id, res := range h.reservations {
		if res.state != 0 && now > res.createdAt+outcomeRetention {
			delete(h.reservations, id)
		}
	}
}
