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
	releaseBound = 10 * time.Second
	// lateStore is how long after the end of a program a request that was on its
	// way may still store its prefix.
	lateStore = 2 * time.Second
)

// simEngine is a target that carries out orders after a random time. It checks
// fencing on arrival only, which is the weaker of the permitted behaviours.
type simEngine struct {
	id, fencing string
	run         int
	announced   int
	skew        time.Duration
	highest     uint64
	held        map[string]bool
	records     map[string]string
	// effects counts, by order id, how often it took effect in any run.
	effects map[string]int
	// newest is the highest epoch whose order took effect in this run.
	newest uint64
	// busy holds the orders of this run that will still take effect.
	busy map[string]uint64
}

func (e *simEngine) state() EngineState {
	s := EngineState{ID: e.id, Incarnation: fmt.Sprint(e.run)}
	for p := range e.held {
		s.Held = append(s.Held, HeldProgram{Program: p})
	}
	for id, status := range e.records {
		s.Orders = append(s.Orders, OrderRecord{ID: id, Status: status})
	}
	return s
}

func (e *simEngine) restart() {
	e.run++
	e.highest, e.newest = 0, 0
	e.held, e.records, e.busy = map[string]bool{}, map[string]string{}, map[string]uint64{}
}

// simOwner is a VM; a paused one handles nothing until it resumes.
type simOwner struct {
	book    *Book
	paused  bool
	backlog []Event
}

// simOrder is what a caller knows about an order.
type simOrder struct {
	ended bool
	err   error
}

type simRelease struct {
	engine  *simEngine
	program string
	request string
	run     int
	since   time.Duration
	final   bool
	// owner and epoch are those that answered that the release is complete.
}

// bookSim runs several VMs that own the same targets in turn.
type bookSim struct {
	network
	owners   []*simOwner
	engines  []*simEngine
	current  int
	epoch    uint64
	orders   map[string]*simOrder
	releases []*simRelease
	healed   bool
	counter  int
}

func newBookSim(rt *rapid.T) *bookSim {
	s := &bookSim{network: network{rt: rt}, orders: map[string]*simOrder{}, epoch: 1}
	for range 3 {
		s.owners = append(s.owners, &simOwner{book: NewBook()})
	}
	for _, fencing := range []string{FencingEnforced, FencingIgnored} {
		e := &simEngine{id: fencing, fencing: fencing, effects: map[string]int{}, skew: s.between(0, 2*ClockTolerance, "skew") - ClockTolerance}
		e.restart()
		e.announced = e.run
		s.engines = append(s.engines, e)
	}
	return s
}

// give hands an event to a VM and carries out the effects.
func (s *bookSim) give(owner int, e Event) {
	o := s.owners[owner]
	if o.paused {
		o.backlog = append(o.backlog, e)
		return
	}
	for _, out := range o.book.Step(s.now, e) {
		switch out := out.(type) {
		case Done:
			s.end(out)
		case Send:
			s.send(owner, out)
		case Read:
			s.read(owner, out)
		}
	}
}

func (s *bookSim) end(d Done) {
	o := s.orders[d.OrderID]
	if o.ended {
		s.rt.Fatalf("order %s ended twice", d.OrderID)
	}
	o.ended, o.err = true, d.Err
}

func (s *bookSim) engine(id string) *simEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.id == id })]
}

func (s *bookSim) faulty(in int, label string) bool { return !s.healed && s.chance(in, label) }

func (s *bookSim) wire(label string) time.Duration {
	if s.healed {
		return 5 * time.Millisecond
	}
	return s.delay(12, 8*time.Second, label)
}

// send delivers an order, loses it, or loses its answer.
func (s *bookSim) send(owner int, out Send) {
	e := s.engine(out.Target)
	reply := func(outcome AnswerOutcome) {
		s.after(s.wire("answer"), func() {
			s.give(owner, Answer{Target: out.Target, OrderID: out.Order.ID, Attempt: out.Attempt, Outcome: outcome})
		})
	}
	switch {
	case s.faulty(15, "refused connection"):
		reply(AnswerNotDelivered)
		return
	case s.faulty(10, "lost order"):
		reply(AnswerUnknown)
		return
	}
	s.after(s.wire("order"), func() {
		if s.now >= out.Expires && s.faulty(2, "sender notices the expiry") {
			reply(AnswerNotDelivered)
			return
		}
		s.arrive(e, out, func(outcome AnswerOutcome) {
			if s.faulty(10, "lost answer") {
				outcome = AnswerUnknown
			}
			reply(outcome)
		})
	})
}

// arrive is the target's side of an order.
func (s *bookSim) arrive(e *simEngine, out Send, reply func(AnswerOutcome)) {
	o := out.Order
	if e.fencing == FencingEnforced && o.Fencing < e.highest {
		reply(AnswerStale)
		return
	}
	switch e.records[o.ID] {
	case "running":
		reply(AnswerUnknown)
		return
	case "done":
		reply(AnswerDone)
		return
	case "dropped":
		reply(AnswerDropped)
		return
	}
	e.highest = max(e.highest, o.Fencing)
	deadline := min(s.now+time.Duration(o.DeadlineMS)*time.Millisecond, out.Expires+e.skew)
	duration := s.wire("execution")
	run := e.run
	e.records[o.ID] = "running"
	if s.now+duration >= deadline {
		s.after(max(0, deadline-s.now), func() {
			if e.run == run {
				e.records[o.ID] = "dropped"
			}
			reply(AnswerDropped)
		})
		return
	}
	s.checkAlone(e, o)
	e.busy[o.ID] = o.Fencing
	s.after(duration, func() {
		if e.run == run {
			s.takeEffect(e, o)
			reply(AnswerDone)
			return
		}
		reply(AnswerUnknown)
	})
}

// checkAlone fails when an engine that ignores fencing numbers gets an order
// while another one may take effect, or after one of a newer owner.
func (s *bookSim) checkAlone(e *simEngine, o Order) {
	if e.fencing != FencingIgnored {
		return
	}
	if len(e.busy) > 0 {
		s.rt.Fatalf("order %s arrived while %v were under way", o.ID, e.busy)
	}
	if o.Fencing < e.newest {
		s.rt.Fatalf("order %s of epoch %d arrived after one of epoch %d", o.ID, o.Fencing, e.newest)
	}
}

func (s *bookSim) takeEffect(e *simEngine, o Order) {
	delete(e.busy, o.ID)
	e.records[o.ID] = "done"
	e.effects[o.ID]++
	e.newest = max(e.newest, o.Fencing)
	switch o.Kind {
	case "keep":
		e.held[o.Program] = true
	case "release":
		delete(e.held, o.Program)
	}
}

func (s *bookSim) read(owner int, out Read) {
	e := s.engine(out.Target)
	s.after(s.wire("read"), func() {
		state := e.state()
		ok := !s.faulty(10, "lost state")
		s.after(s.wire("state"), func() {
			s.give(owner, StateRead{Target: out.Target, Read: out.Read, OK: ok, State: state})
		})
	})
}

// tick tells every VM what it owns; the leases of all but the current owner have
// ended, and a paused VM learns it when it resumes.
func (s *bookSim) tick() {
	for i, o := range s.owners {
		if o.paused {
			continue
		}
		for _, e := range s.engines {
			if i != s.current {
				s.give(i, Disown{e.id})
				continue
			}
			s.give(i, Own{e.id, s.epoch})
			s.give(i, Seen{e.id, fmt.Sprint(e.announced), "engine", e.fencing})
		}
		s.give(i, Tick{})
	}
	s.repeatReleases()
}

func (s *bookSim) repeatReleases() {
	o := s.owners[s.current]
	if o.paused {
		return
	}
	for _, r := range s.releases {
		if r.final {
			continue
		}
		s.give(s.current, Release{r.engine.id, r.program, r.request})
		if !o.book.Released(r.engine.id, r.program).Final() {
			continue
		}
		r.final = true
		if r.engine.run == r.run && r.engine.held[r.program] {
			s.rt.Fatalf("release of %s on %s is confirmed, but it is held", r.program, r.engine.id)
		}
	}
}

// checkReleased fails when a program whose release is complete is held again.
func (s *bookSim) checkReleased() {
	for _, r := range s.releases {
		if r.final && r.engine.held[r.program] {
			s.rt.Fatalf("%s is held on %s after its release was confirmed", r.program, r.engine.id)
		}
	}
}

// checkOutcomes fails when an order that was reported to have no effect has one,
// or the reverse.
func (s *bookSim) checkOutcomes() {
	for id, o := range s.orders {
		effects := 0
		for _, e := range s.engines {
			effects += e.effects[id]
		}
		switch {
		case !o.ended:
			continue
		case o.err == nil && effects == 0:
			s.rt.Fatalf("order %s is reported done but had no effect", id)
		case o.err != nil && !errors.Is(o.err, ErrOrderUnknown) && effects > 0:
			s.rt.Fatalf("order %s is reported as %q but had an effect", id, o.err)
		}
	}
}

func (s *bookSim) step() {
	s.advance(s.now + s.delay(10, 3*time.Second, "time"))
	s.counter++
	e := rapid.SampledFrom(s.engines).Draw(s.rt, "engine")
	switch action := rapid.IntRange(0, 99).Draw(s.rt, "action"); {
	case action < 55:
		s.tick()
	case action < 70:
		s.submit(e)
	case action < 80:
		s.startRelease(e)
	case action < 90:
		e.announced = e.run
	case action < 93:
		s.takeOver()
	case action < 95:
		s.owners[s.current].paused = true
	case action < 98:
		s.resume(rapid.IntRange(0, len(s.owners)-1).Draw(s.rt, "resumed"))
	default:
		e.restart()
	}
	s.checkReleased()
}

func (s *bookSim) submit(e *simEngine) {
	id := fmt.Sprintf("o%d", s.counter)
	program := fmt.Sprintf("org/p%d", rapid.IntRange(0, 5).Draw(s.rt, "program")+s.counter/20)
	kind := rapid.SampledFrom([]string{"keep", "set_role"}).Draw(s.rt, "kind")
	s.orders[id] = &simOrder{}
	s.give(s.current, Submit{e.id, Order{ID: id, Kind: kind, Program: program}})
}

// startRelease ends a program. Orders and requests for it may still be on their
// way, but nobody starts new ones.
func (s *bookSim) startRelease(e *simEngine) {
	program := fmt.Sprintf("org/p%d", max(0, s.counter/20-1))
	if slices.ContainsFunc(s.releases, func(r *simRelease) bool { return r.engine == e && r.program == program }) {
		return
	}
	e.held[program] = true
	r := &simRelease{engine: e, program: program, request: fmt.Sprint(s.counter), run: e.run, since: s.now}
	s.releases = append(s.releases, r)
	if s.chance(3, "late request") {
		run := e.run
		s.after(s.between(0, lateStore, "late request"), func() {
			if e.run == run {
				e.held[program] = true
			}
		})
	}
}

func (s *bookSim) takeOver() {
	s.epoch++
	s.current = (s.current + rapid.IntRange(1, len(s.owners)-1).Draw(s.rt, "next owner")) % len(s.owners)
	if o := s.owners[s.current]; o.paused {
		s.resume(s.current)
	}
}

// resume lets a VM handle what it missed. Its lease has ended, so that it first
// finds out that it owns nothing, unless it is the current owner.
func (s *bookSim) resume(i int) {
	o := s.owners[i]
	o.paused = false
	backlog := o.backlog
	o.backlog = nil
	for _, e := range s.engines {
		s.give(i, Disown{e.id})
	}
	for _, e := range backlog {
		s.give(i, e)
	}
}

// heal ends all faults and checks that the memory is free within the bound.
func (s *bookSim) heal() {
	s.healed = true
	for i := range s.owners {
		s.resume(i)
	}
	for _, e := range s.engines {
		e.announced = e.run
	}
	start := s.now
	for s.now < start+2*releaseBound {
		s.advance(s.now + 100*time.Millisecond)
		s.tick()
		if s.now >= start+releaseBound {
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

func (s *bookSim) checkFree() {
	for _, r := range s.releases {
		if r.engine.held[r.program] {
			s.rt.Fatalf("%s is still held on %s", r.program, r.engine.id)
		}
	}
}

// Guards against orders of two owners that overlap on a target without fencing,
// outcomes that are reported wrongly, and memory that stays allocated.
func TestBookSchedules(t *testing.T) {
	schedule.Check(t, defaultSchedules, func(rt *rapid.T, steps int) {
		s := newBookSim(rt)
		for range steps {
			s.step()
		}
		s.heal()
	})
}
