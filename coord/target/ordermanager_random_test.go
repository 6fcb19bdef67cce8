package target

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockvale.dev/coord/internal/schedule"
)

const (
	// maxReleaseTime is the time by which the memory of an ended program must be free.
	maxReleaseTime = 10 * time.Second
	// maxLateStore is the longest time after the end of a program at which a request
	// that was in progress may still store its prefix.
	maxLateStore = 2 * time.Second
)

// simEngine is a target that carries out orders after a random delay. It checks
// fencing numbers on arrival only, which is the weaker of the permitted behaviours.
type simEngine struct {
	id, fencing          string
	incarnation          int
	announcedIncarnation int
	clockSkew            time.Duration
	highestFencing       uint64
	held                 map[string]bool
	orderStatus          map[string]string
	// effectCount counts, by order ID, how often an order took effect in any
	// incarnation.
	effectCount map[string]int
	// newestEpoch is the highest epoch whose order took effect in this incarnation.
	newestEpoch uint64
	// executing holds the fencing numbers of the orders of this incarnation that
	// will still take effect, by order ID.
	executing map[string]uint64
}

func (e *simEngine) state() EngineState {
	s := EngineState{ID: e.id, Incarnation: fmt.Sprint(e.incarnation)}
	for p := range e.held {
		s.Held = append(s.Held, HeldProgram{Program: p})
	}
	for id, status := range e.orderStatus {
		s.Orders = append(s.Orders, OrderRecord{ID: id, Status: status})
	}
	return s
}

func (e *simEngine) restart() {
	e.incarnation++
	e.highestFencing, e.newestEpoch = 0, 0
	e.held, e.orderStatus, e.executing = map[string]bool{}, map[string]string{}, map[string]uint64{}
}

// simOwner is a VM. While it is paused, it handles no event until it resumes.
type simOwner struct {
	manager *OrderManager
	paused  bool
	backlog []Event
}

// simOrder is the outcome of an order as reported to its caller.
type simOrder struct {
	ended bool
	err   error
}

type simRelease struct {
	engine      *simEngine
	program     string
	request     string
	incarnation int
	since       time.Duration
	final       bool
}

// orderSim simulates several VMs that own the same targets one after another.
type orderSim struct {
	simNetwork
	owners      []*simOwner
	engines     []*simEngine
	current     int // index of the current owner
	epoch       uint64
	orders      map[string]*simOrder
	releases    []*simRelease
	faultsEnded bool
	stepCount   int
}

func newOrderSim(rt *rapid.T) *orderSim {
	s := &orderSim{simNetwork: simNetwork{rt: rt}, orders: map[string]*simOrder{}, epoch: 1}
	for range 3 {
		s.owners = append(s.owners, &simOwner{manager: NewOrderManager()})
	}
	for _, fencing := range []string{FencingEnforced, FencingIgnored} {
		e := &simEngine{id: fencing, fencing: fencing, effectCount: map[string]int{}, clockSkew: s.drawDuration(0, 2*ClockTolerance, "skew") - ClockTolerance}
		e.restart()
		e.announcedIncarnation = e.incarnation
		s.engines = append(s.engines, e)
	}
	return s
}

// deliverEvent applies an event at a VM and carries out the effects. A paused VM
// handles the event when it resumes.
func (s *orderSim) deliverEvent(owner int, e Event) {
	o := s.owners[owner]
	if o.paused {
		o.backlog = append(o.backlog, e)
		return
	}
	for _, out := range o.manager.Step(s.now, e) {
		switch out := out.(type) {
		case OrderEnded:
			s.orderEnded(out)
		case SendOrder:
			s.send(owner, out)
		case ReadState:
			s.read(owner, out)
		}
	}
}

func (s *orderSim) orderEnded(d OrderEnded) {
	o := s.orders[d.OrderID]
	if o.ended {
		s.rt.Fatalf("order %s ended twice", d.OrderID)
	}
	o.ended, o.err = true, d.Err
}

func (s *orderSim) engine(id string) *simEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.id == id })]
}

// fault draws true with a probability of 1/in, until the faults have ended.
func (s *orderSim) fault(in int, label string) bool { return !s.faultsEnded && s.oneIn(in, label) }

func (s *orderSim) networkDelay(label string) time.Duration {
	if s.faultsEnded {
		return 5 * time.Millisecond
	}
	return s.drawDelay(12, 8*time.Second, label)
}

// send delivers an order, or loses the order or its result.
func (s *orderSim) send(owner int, out SendOrder) {
	e := s.engine(out.Target)
	reply := func(outcome SendOutcome) {
		s.deliverAfter(s.networkDelay("answer"), func() {
			s.deliverEvent(owner, SendResult{Target: out.Target, OrderID: out.Order.ID, Attempt: out.Attempt, Outcome: outcome})
		})
	}
	switch {
	case s.fault(15, "refused connection"):
		reply(OutcomeNotDelivered)
		return
	case s.fault(10, "lost order"):
		reply(OutcomeUnknown)
		return
	}
	s.deliverAfter(s.networkDelay("order"), func() {
		if s.now >= out.Expires && s.fault(2, "sender notices the expiry") {
			reply(OutcomeNotDelivered)
			return
		}
		s.receiveOrder(e, out, func(outcome SendOutcome) {
			if s.fault(10, "lost answer") {
				outcome = OutcomeUnknown
			}
			reply(outcome)
		})
	})
}

// receiveOrder handles an order at the target.
func (s *orderSim) receiveOrder(e *simEngine, out SendOrder, reply func(SendOutcome)) {
	o := out.Order
	if e.fencing == FencingEnforced && o.Fencing < e.highestFencing {
		reply(OutcomeStaleFencing)
		return
	}
	switch e.orderStatus[o.ID] {
	case "running":
		reply(OutcomeUnknown)
		return
	case "done":
		reply(OutcomeDone)
		return
	case "dropped":
		reply(OutcomeDropped)
		return
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	deadline := min(s.now+time.Duration(o.DeadlineMS)*time.Millisecond, out.Expires+e.clockSkew)
	duration := s.networkDelay("execution")
	incarnation := e.incarnation
	e.orderStatus[o.ID] = "running"
	if s.now+duration >= deadline {
		s.deliverAfter(max(0, deadline-s.now), func() {
			if e.incarnation == incarnation {
				e.orderStatus[o.ID] = "dropped"
			}
			reply(OutcomeDropped)
		})
		return
	}
	s.checkExclusive(e, o)
	e.executing[o.ID] = o.Fencing
	s.deliverAfter(duration, func() {
		if e.incarnation == incarnation {
			s.takeEffect(e, o)
			reply(OutcomeDone)
			return
		}
		reply(OutcomeUnknown)
	})
}

// checkExclusive fails if an engine that ignores fencing numbers receives an order
// while another order may still take effect, or after an order of a newer owner took
// effect.
func (s *orderSim) checkExclusive(e *simEngine, o Order) {
	if e.fencing != FencingIgnored {
		return
	}
	if len(e.executing) > 0 {
		s.rt.Fatalf("order %s arrived while %v were executing", o.ID, e.executing)
	}
	if o.Fencing < e.newestEpoch {
		s.rt.Fatalf("order %s of epoch %d arrived after one of epoch %d", o.ID, o.Fencing, e.newestEpoch)
	}
}

func (s *orderSim) takeEffect(e *simEngine, o Order) {
	delete(e.executing, o.ID)
	e.orderStatus[o.ID] = "done"
	e.effectCount[o.ID]++
	e.newestEpoch = max(e.newestEpoch, o.Fencing)
	switch o.Kind {
	case "keep":
		e.held[o.Program] = true
	case "release":
		delete(e.held, o.Program)
	}
}

func (s *orderSim) read(owner int, out ReadState) {
	e := s.engine(out.Target)
	s.deliverAfter(s.networkDelay("read"), func() {
		state := e.state()
		ok := !s.fault(10, "lost state")
		s.deliverAfter(s.networkDelay("state"), func() {
			s.deliverEvent(owner, ReadResult{Target: out.Target, ReadID: out.ReadID, OK: ok, State: state})
		})
	})
}

// tick tells every VM what it owns. The leases of all VMs but the current owner have
// ended; a paused VM learns that when it resumes.
func (s *orderSim) tick() {
	for i, o := range s.owners {
		if o.paused {
			continue
		}
		for _, e := range s.engines {
			if i != s.current {
				s.deliverEvent(i, OwnershipLost{e.id})
				continue
			}
			s.deliverEvent(i, OwnershipGained{e.id, s.epoch})
			s.deliverEvent(i, Announced{e.id, fmt.Sprint(e.announcedIncarnation), "engine", e.fencing})
		}
		s.deliverEvent(i, Tick{})
	}
	s.repeatReleases()
}

func (s *orderSim) repeatReleases() {
	o := s.owners[s.current]
	if o.paused {
		return
	}
	for _, r := range s.releases {
		if r.final {
			continue
		}
		s.deliverEvent(s.current, ReleaseMemory{r.engine.id, r.program, r.request})
		if !o.manager.ReleaseStatus(r.engine.id, r.program).Final() {
			continue
		}
		r.final = true
		if r.engine.incarnation == r.incarnation && r.engine.held[r.program] {
			s.rt.Fatalf("release of %s on %s is confirmed, but it is held", r.program, r.engine.id)
		}
	}
}

// checkReleased fails if a program whose release is complete is held again.
func (s *orderSim) checkReleased() {
	for _, r := range s.releases {
		if r.final && r.engine.held[r.program] {
			s.rt.Fatalf("%s is held on %s after its release was confirmed", r.program, r.engine.id)
		}
	}
}

// checkOutcomes fails if an order that was reported to have no effect has one, or
// the reverse.
func (s *orderSim) checkOutcomes() {
	for id, o := range s.orders {
		effects := 0
		for _, e := range s.engines {
			effects += e.effectCount[id]
		}
		switch {
		case !o.ended:
			continue
		case o.err == nil && effects == 0:
			s.rt.Fatalf("order %s is reported as done but had no effect", id)
		case o.err != nil && !errors.Is(o.err, ErrOrderUnknown) && effects > 0:
			s.rt.Fatalf("order %s is reported as %q but had an effect", id, o.err)
		}
	}
}

func (s *orderSim) step() {
	s.advance(s.now + s.drawDelay(10, 3*time.Second, "time"))
	s.stepCount++
	e := rapid.SampledFrom(s.engines).Draw(s.rt, "engine")
	switch action := rapid.IntRange(0, 99).Draw(s.rt, "action"); {
	case action < 55:
		s.tick()
	case action < 70:
		s.submit(e)
	case action < 80:
		s.startRelease(e)
	case action < 90:
		e.announcedIncarnation = e.incarnation
	case action < 93:
		s.changeOwner()
	case action < 95:
		s.owners[s.current].paused = true
	case action < 98:
		s.resume(rapid.IntRange(0, len(s.owners)-1).Draw(s.rt, "resumed"))
	default:
		e.restart()
	}
	s.checkReleased()
}

func (s *orderSim) submit(e *simEngine) {
	id := fmt.Sprintf("o%d", s.stepCount)
	program := fmt.Sprintf("org/p%d", rapid.IntRange(0, 5).Draw(s.rt, "program")+s.stepCount/20)
	kind := rapid.SampledFrom([]string{"keep", "set_role"}).Draw(s.rt, "kind")
	s.orders[id] = &simOrder{}
	s.deliverEvent(s.current, SubmitOrder{e.id, Order{ID: id, Kind: kind, Program: program}})
}

// startRelease ends a program. Orders and requests for it may still be in progress,
// but no new ones are started.
func (s *orderSim) startRelease(e *simEngine) {
	program := fmt.Sprintf("org/p%d", max(0, s.stepCount/20-1))
	if slices.ContainsFunc(s.releases, func(r *simRelease) bool { return r.engine == e && r.program == program }) {
		return
	}
	e.held[program] = true
	r := &simRelease{engine: e, program: program, request: fmt.Sprint(s.stepCount), incarnation: e.incarnation, since: s.now}
	s.releases = append(s.releases, r)
	if s.oneIn(3, "late request") {
		incarnation := e.incarnation
		s.deliverAfter(s.drawDuration(0, maxLateStore, "late request"), func() {
			if e.incarnation == incarnation {
				e.held[program] = true
			}
		})
	}
}

func (s *orderSim) changeOwner() {
	s.epoch++
	s.current = (s.current + rapid.IntRange(1, len(s.owners)-1).Draw(s.rt, "next owner")) % len(s.owners)
	if o := s.owners[s.current]; o.paused {
		s.resume(s.current)
	}
}

// resume lets a VM handle the events that it missed. It first learns that it owns
// nothing, because its lease has ended, unless it is the current owner.
func (s *orderSim) resume(i int) {
	o := s.owners[i]
	o.paused = false
	backlog := o.backlog
	o.backlog = nil
	for _, e := range s.engines {
		s.deliverEvent(i, OwnershipLost{e.id})
	}
	for _, e := range backlog {
		s.deliverEvent(i, e)
	}
}

// endFaults ends all faults and checks that the memory is free within
// maxReleaseTime.
func (s *orderSim) endFaults() {
	s.faultsEnded = true
	for i := range s.owners {
		s.resume(i)
	}
	for _, e := range s.engines {
		e.announcedIncarnation = e.incarnation
	}
	start := s.now
	for s.now < start+2*maxReleaseTime {
		s.advance(s.now + 100*time.Millisecond)
		s.tick()
		if s.now >= start+maxReleaseTime {
			s.checkFree()
		}
	}
	for _, r := range s.releases {
		if !r.final {
			s.rt.Fatalf("release of %s on %s is not confirmed", r.program, r.engine.id)
		}
	}
	s.checkReleased()
	s.checkOutcomes()
}

func (s *orderSim) checkFree() {
	for _, r := range s.releases {
		if r.engine.held[r.program] {
			s.rt.Fatalf("%s is still held on %s", r.program, r.engine.id)
		}
	}
}

// TestBookSchedules runs the order manager on random schedules of delays, losses,
// pauses, restarts and changes of the owner. It checks that orders of two owners never
// overlap on a target that ignores fencing numbers, that outcomes are reported
// correctly, and that released memory becomes free.
func TestBookSchedules(t *testing.T) {
	schedule.Check(t, defaultSchedules, func(rt *rapid.T, steps int) {
		s := newOrderSim(rt)
		for range steps {
			s.step()
		}
		s.endFaults()
	})
}
