// Package ledger is the store role: store VMs replicate the token budgets of
// programs on their disks, and their leader admits every request of the
// deployment. The leader charges the organisation's rate, reserves the turn's
// tokens on a quorum of disks, and places the request on a target.
//
// The leader admits only while a quorum has confirmed its leadership within the
// shortest election timeout, measured by a clock that includes suspensions, so
// that two VMs never grant from an organisation's rate at once.
//
// A request is admitted before any byte of it leaves for a target. A failed
// admission therefore leaves the request not run.
package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/rpc"
)

const (
	// leaseInterval is the time between two confirmations of the leadership.
	leaseInterval = 80 * time.Millisecond
	// leaseLength is shorter than the shortest election timeout (raft.DefaultElectionTimeoutMin).
	leaseLength = 250 * time.Millisecond
	// memory is how long outcomes are kept for an entry that asks again.
	memory = 3 * time.Second
	// tickInterval is the time between two looks for expired requests.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is the time between two looks for outcomes to forget.
	sweepInterval = 500 * time.Millisecond
	// removeTimeout bounds the wait for the removal of a replica.
	removeTimeout = 800 * time.Millisecond
)

// Options configure a store VM.
type Options struct {
	// Quorum replicates the ledger.
	Quorum *quorum.Quorum
	// Machine is the quorum's state machine.
	Machine *Machine
	// View returns the newest catalog.
	View func() *registry.View
	// Seed breaks ties.
	Seed uint64
	// Log receives events and one line for each decision.
	Log *logrus.Entry
	// Metrics receives counters and waiting times.
	Metrics gometrics.Registry
}

// Host is a running store VM.
type Host struct {
	o       Options
	batches *batcher

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// since identifies the leadership that dispatcher belongs to.
	since time.Time
	// leaseUntil is on the boot clock.
	leaseUntil time.Duration
	// calls are the newest admissions by request id.
	calls map[string]*call
	// reservations are by request id; proposed counts the tokens of those
	// that are not applied yet.
	reservations map[string]*reservation
	proposed     map[ledger.Program]int64
}

// call is an admission and its outcome.
type call struct {
	request AdmitRequest
	link    *link
	began   time.Duration
	// response is nil while the request waits.
	response *AdmitResponse
}

// New returns a store VM; Run performs its duties.
func New(o Options) *Host {
	h := &Host{o: o, batches: newBatcher(o.Quorum, o.Log)}
	h.reset()
	return h
}

// reset forgets what belongs to a former leadership.
func (h *Host) reset() {
	h.calls = make(map[string]*call)
	h.reservations = make(map[string]*reservation)
	h.proposed = make(map[ledger.Program]int64)
}

// Register adds the methods to the server.
func (h *Host) Register(s *rpc.Server) {
	s.HandleConn(Preface, h.serveLink)
	s.Handle(registry.MethodRemoveVoter, h.handleRemoveVoter)
}

// Run performs the duties until ctx ends.
func (h *Host) Run(ctx context.Context) {
	go h.batches.run(ctx)
	go periodic.Every(ctx, tickInterval, h.tick)
	go periodic.Every(ctx, sweepInterval, h.sweep)
	periodic.Every(ctx, leaseInterval, func() { h.renewLease(ctx) })
}

// renewLease confirms the leadership with a quorum and starts a new dispatcher with a new leadership.
func (h *Host) renewLease(ctx context.Context) {
	since := h.o.Quorum.LeaderSince()
	if since.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseLength)
	defer cancel()
	asked := bootclock.Now()
	if err := h.o.Quorum.ReadBarrier(ctx); err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.since.Equal(since) {
		h.lead(since)
	}
	h.leaseUntil = asked + leaseLength
}

func (h *Host) lead(since time.Time) {
	h.since = since
	h.dispatcher = dispatch.New(bootclock.Now(), h.o.Seed)
	h.reset()
	h.setTargets()
	h.o.Log.WithFields(logrus.Fields{"event": "ledger_leading", "programs": h.o.Machine.programs(), "revision": h.o.View().Revision}).Info("this VM admits requests")
}

// Update adopts a new view of the catalog.
func (h *Host) Update(*registry.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dispatcher != nil {
		h.setTargets()
	}
}

func (h *Host) setTargets() {
	view := h.o.View()
	targets := make([]dispatch.Target, 0, len(view.Targets))
	for _, t := range view.Targets {
		target := dispatch.Target{ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Slots: t.Slots, Draining: t.State != catalog.Ready}
		if view.Table != nil {
			if s := view.Table.Service(t.Service); s != nil && s.Engine != nil {
				target.KVCapacity = s.Engine.KVCapacity
			}
		}
		targets = append(targets, target)
	}
	h.deliver(h.dispatcher.SetTargets(bootclock.Now(), targets))
}

// leading reports whether this VM may admit requests now. A leader that has
// just restarted knows no target until control has answered it.
func (h *Host) leading() bool {
	return h.dispatcher != nil && bootclock.Now() < h.leaseUntil && h.o.View().Revision > 0
}

// admit decides about a request; h.mu is held. A question that was asked
// before, over another connection, gets its first outcome.
func (h *Host) admit(c *call) {
	c.began = bootclock.Now()
	r := &c.request
	if known := h.calls[r.ID]; known != nil && known.request.Attempt == r.Attempt {
		known.link = c.link
		h.watchReservation(r.Reserve, c.link)
		if known.response != nil {
			c.link.send(kindOutcome, known.response)
		}
		return
	}
	h.calls[r.ID] = c
	if r.Reserve != nil {
		r.StartsProgram = h.o.Machine.charged(r.Reserve.Program) == 0 && h.proposed[r.Reserve.Program] == 0
		r.ContinuesProgram = !r.StartsProgram
		if h.reserve(*r.Reserve, c.link) == nil {
			h.finish(c, AdmitResponse{Refusal: BudgetExhausted})
			return
		}
	}
	o := h.dispatcher.Admit(c.began, r.Request)
	if !o.Waiting() {
		h.finish(c, h.response(o))
	}
}

// finish gives the call its outcome and logs the decision.
func (h *Host) finish(c *call, r AdmitResponse) {
	r.ID, r.Attempt = c.request.ID, c.request.Attempt
	c.response = &r
	if r.Refusal != "" {
		h.giveBack(c)
	}
	c.link.send(kindOutcome, &r)
	h.count(r)
	load := h.dispatcher.Load(c.request.Service)
	fields := logrus.Fields{
		"event": "admission", "request": c.request.ID, "attempt": c.request.Attempt, "organisation": c.request.Organisation, "service": c.request.Service,
		"priority": c.request.Priority, "left_ms": c.request.TimeLeft.Milliseconds(), "running": load.Running, "waiting": load.Waiting, "slots": load.Slots,
		"view": h.o.View().Revision, "waited_ms": r.Waited.Milliseconds(),
	}
	if t, ok := h.o.View().Target(r.Target); ok {
		fields["near"] = t.DataCentre == c.request.DataCentre
	}
	if r.Target != "" {
		fields["target"], fields["reason"], fields["cached"] = r.Target, r.Reason, r.Cached
	} else {
		fields["refusal"], fields["retry_after_ms"] = string(r.Refusal), r.RetryAfter.Milliseconds()
	}
	if c.request.Program != "" {
		fields["program"], fields["program_left_ms"] = c.request.Program, c.request.ProgramTimeLeft.Milliseconds()
		fields["standing"] = h.dispatcher.DeadlineStatus(bootclock.Now(), &c.request.Request)
	}
	if v := c.request.Reserve; v != nil {
		fields["budget"], fields["reserve"], fields["charged"] = v.Budget, v.Tokens, h.o.Machine.charged(v.Program)
	}
	h.o.Log.WithFields(fields).Info("admission decided")
}

func (h *Host) count(r AdmitResponse) {
	outcome := cmp.Or(string(r.Refusal), "granted")
	gometrics.GetOrRegisterCounter("ledger_admissions;outcome="+outcome, h.o.Metrics).Inc(1)
	gometrics.GetOrRegisterTimer("ledger_waited", h.o.Metrics).Update(r.Waited)
}

func (h *Host) response(o dispatch.Outcome) AdmitResponse {
	r := AdmitResponse{Target: o.Target, Refusal: o.Refusal, RetryAfter: o.RetryAfter, Waited: o.Waited, Cached: o.Cached, Reason: o.Reason}
	if t, ok := h.o.View().Target(o.Target); ok {
		r.Address = t.Address
	}
	return r
}

// deliver hands outcomes to the calls that wait for them; h.mu is held.
func (h *Host) deliver(outcomes []dispatch.Outcome) {
	for _, o := range outcomes {
		if c := h.calls[o.ID]; c != nil && c.response == nil {
			h.finish(c, h.response(o))
			continue
		}
		// The caller has left, so the grant is returned.
		if o.Target != "" {
			h.deliver(h.dispatcher.Done(bootclock.Now(), o.ID, o.Target, dispatch.Abandoned, 0))
		}
	}
}

// done ends a request at its target, or one whose caller left while it waited; h.mu is held.
func (h *Host) done(e End) {
	if e.Settle != nil {
		h.batches.add(operation{settle: e.Settle})
	}
	if e.Target != "" {
		h.deliver(h.dispatcher.Done(bootclock.Now(), e.ID, e.Target, e.Result, e.Units))
		return
	}
	c := h.calls[e.ID]
	if c == nil {
		return
	}
	if c.response == nil {
		h.dispatcher.Cancel(e.ID)
		h.finish(c, AdmitResponse{Refusal: dispatch.Expired})
	} else if c.response.Target != "" {
		// The outcome crossed the caller's leave.
		h.deliver(h.dispatcher.Done(bootclock.Now(), e.ID, c.response.Target, dispatch.Abandoned, 0))
	}
}

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dispatcher != nil {
		h.deliver(h.dispatcher.Tick(bootclock.Now()))
	}
}

// sweep forgets outcomes that nobody asks for any more.
func (h *Host) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := bootclock.Now()
	for id, c := range h.calls {
		if c.response != nil && now > c.began+c.request.TimeLeft+memory {
			delete(h.calls, id)
		}
	}
	for id, v := range h.reservations {
		if v.state != 0 && now > v.began+memory {
			delete(h.reservations, id)
		}
	}
}

// handleRemoveVoter empties a VM that is to be taken away.
func (h *Host) handleRemoveVoter(ctx context.Context, params json.RawMessage) (any, error) {
	var r registry.RemoveVoterRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "remove voter: %v", err)
	}
	if h.o.Quorum.LeaderSince().IsZero() {
		return nil, rpc.Errorf("not_leader", "this store VM does not lead")
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	removed, err := h.o.Quorum.Retire(ctx, r.Address)
	if err != nil {
		return nil, rpc.Errorf("unavailable", "%v", err)
	}
	return registry.RemoveVoterResponse{Removed: removed}, nil
}
