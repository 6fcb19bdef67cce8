package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulation runs programs against a dispatcher in virtual time. A program is a
// sequence of calls to one service with a pause after each; its caller retries a
// refused call a few times before the program fails.
type simulation struct {
	d      *Dispatcher
	random *rand.Rand
	now    time.Duration
	events []event
	// freeSlots is the number of the target's free slots; targetQueue holds the
	// completion callbacks of the calls that are queued at the target.
	freeSlots   int
	targetQueue []func()
	// pending holds the programs whose call has no outcome yet, by request id.
	pending map[string]*testProgram
	// onTime, late and failed count the programs that have ended.
	onTime, late, failed int
	// refusals counts the refused calls by reason.
	refusals map[Refusal]int
	// countFrom excludes programs that started earlier from the counts.
	countFrom time.Duration
}

// event is an action at a point in virtual time.
type event struct {
	at time.Duration
	do func()
}

// testProgram is the state of one simulated program.
type testProgram struct {
	id        string
	startedAt time.Duration
	// allowedTime is the time in which the program should end.
	allowedTime time.Duration
	calls       int
	index       int
	tries       int
}

const (
	// firstTries is the number of times that a caller sends the first call of a
	// program before the program fails, and laterTries that of any other call.
	firstTries, laterTries = 6, 2
)

const (
	callTime            = 24 * time.Millisecond
	pauseTime           = 150 * time.Millisecond
	callTimeout         = 1200 * time.Millisecond
	meanCalls           = 8
	latencyObjective    = 250 * time.Millisecond
	timeAllowanceFactor = 1.3
)

func newSimulation(seed uint64, slots int) *simulation {
	s := &simulation{d: New(0, seed), freeSlots: slots, random: rand.New(rand.NewPCG(seed, 2)), pending: make(map[string]*testProgram), refusals: make(map[Refusal]int)}
	s.d.SetTargets(0, targets(1, slots))
	return s
}

func (s *simulation) schedule(at time.Duration, do func()) {
	s.events = append(s.events, event{at, do})
}

// startProgram starts a program of 4 to 12 calls.
func (s *simulation) startProgram(n int) {
	p := &testProgram{id: fmt.Sprint("p", n), startedAt: s.now, calls: meanCalls/2 + s.random.IntN(meanCalls+1)}
	ideal := time.Duration(p.calls) * (callTime + pauseTime)
	p.allowedTime = time.Duration(timeAllowanceFactor*float64(ideal)) + latencyObjective
	s.call(p)
}

func (s *simulation) call(p *testProgram) {
	r := request(fmt.Sprint(p.id, "-", p.index, "-", p.tries))
	r.Organisation, r.Program, r.StartsProgram, r.ContinuesProgram = "o", p.id, p.index == 0, p.index > 0
	r.TimeLeft = callTimeout
	r.ProgramTimeLeft = p.allowedTime - (s.now - p.startedAt)
	if r.ProgramTimeLeft <= 0 {
		r.ProgramTimeLeft = -1
	}
	s.pending[r.ID] = p
	s.handle([]Outcome{s.d.Admit(s.now, r)})
}

func (s *simulation) handle(out []Outcome) {
	for _, o := range out {
		p := s.pending[o.ID]
		switch {
		case o.Waiting():
		case o.Refusal != "":
			delete(s.pending, o.ID)
			s.refusals[o.Refusal]++
			s.retryOrFail(p, o)
		default:
			delete(s.pending, o.ID)
			s.targetQueue = append(s.targetQueue, func() {
				s.freeSlots++
				s.handle(s.d.Done(s.now, o.ID, o.Target, Completed, 1))
				s.completeCall(p)
			})
			s.startQueued()
		}
	}
}

// startQueued starts queued calls while the target has free slots.
func (s *simulation) startQueued() {
	for s.freeSlots > 0 && len(s.targetQueue) > 0 {
		done := s.targetQueue[0]
		s.targetQueue = s.targetQueue[1:]
		s.freeSlots--
		took := time.Duration((0.5 + s.random.Float64()) * float64(callTime))
		s.schedule(s.now+took, func() {
			done()
			s.startQueued()
		})
	}
}

// retryOrFail retries a refused call after the given delay, or fails the program
// after too many tries.
func (s *simulation) retryOrFail(p *testProgram, o Outcome) {
	p.tries++
	maxTries := laterTries
	if p.index == 0 {
		maxTries = firstTries
	}
	if p.tries == maxTries {
		s.count(p, &s.failed)
		return
	}
	s.schedule(s.now+min(o.RetryAfter, callTimeout/3), func() { s.call(p) })
}

func (s *simulation) completeCall(p *testProgram) {
	p.tries = 0
	if p.index++; p.index < p.calls {
		s.schedule(s.now+pauseTime, func() { s.call(p) })
		return
	}
	switch took := s.now - p.startedAt; {
	case took <= p.allowedTime:
		s.count(p, &s.onTime)
	case took <= 2*p.allowedTime:
		s.count(p, &s.late)
	default:
		s.count(p, &s.failed)
	}
}

// count increments one of the counts for a program that has ended.
func (s *simulation) count(p *testProgram, n *int) {
	if p.startedAt >= s.countFrom {
		*n++
	}
}

// run processes events, and ticks of the dispatcher, until no event is left.
func (s *simulation) run(arrivals []time.Duration) {
	for i, at := range arrivals {
		s.schedule(at, func() { s.startProgram(i) })
	}
	const tick = 20 * time.Millisecond
	for next := tick; len(s.events) > 0; {
		first := 0
		for i := range s.events {
			if s.events[i].at < s.events[first].at {
				first = i
			}
		}
		if s.events[first].at > next {
			s.now = next
			s.handle(s.d.Tick(next))
			next += tick
			continue
		}
		e := s.events[first]
		s.events[first] = s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
		s.now = e.at
		e.do()
	}
}

// arrivals returns random start times of programs at a mean rate per second.
func (s *simulation) arrivals(from, to time.Duration, rate float64) []time.Duration {
	var at []time.Duration
	for t := from; t < to; t += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		at = append(at, t)
	}
	return at
}

// TestStandingBacklogIsGivenUp guards against a backlog that never shrinks, so that
// all later programs are late. A plain service that lost most of its targets builds
// up a backlog in a burst and then stays near its capacity. Of the programs that
// start ten seconds or more after the burst, 0.90 must finish on time, which is the
// requirement for a whole day.
func TestStandingBacklogIsGivenUp(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed+1, 6)
		capacity := 6 / callTime.Seconds() / meanCalls // programs per second
		s.countFrom = 16 * time.Second
		arrivals := append(s.arrivals(0, 24*time.Second, 0.92*capacity), s.arrivals(5*time.Second, 6*time.Second, 1.5*capacity)...)
		s.run(arrivals)
		programs := float64(s.onTime + s.late + s.failed)
		assert.Greater(t, float64(s.onTime)/programs, 0.9, "seed %d: late %d, failed %d", seed+1, s.late, s.failed)
	}
}

// TestPassingBacklogIsServed guards against programs that are refused although the
// service is about to clear the backlog of a short burst: a program that finishes
// late still counts.
func TestPassingBacklogIsServed(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed+1, 6)
		capacity := 6 / callTime.Seconds() / meanCalls
		s.run(append(s.arrivals(0, 12*time.Second, 0.5*capacity), s.arrivals(3*time.Second, 5*time.Second, capacity)...))
		programs := float64(s.onTime + s.late + s.failed)
		assert.Less(t, float64(s.failed)/programs, 0.02, "seed %d", seed+1)
	}
}

// remoteTarget is a target with slots, its own queue and a network latency.
type remoteTarget struct {
	sim       *simulation
	freeSlots int
	waiting   []string
	completed int
}

// oneWayLatency is the time of a message between an entry and the dispatcher, or
// between an entry and a target.
const oneWayLatency = 1500 * time.Microsecond

// startQueued starts queued requests while slots are free. When a request ends, its
// done report goes to the dispatcher, which may grant the next request.
func (t *remoteTarget) startQueued() {
	for t.freeSlots > 0 && len(t.waiting) > 0 {
		id := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.freeSlots--
		took := time.Duration(t.sim.random.ExpFloat64() * float64(callTime))
		t.sim.schedule(t.sim.now+took, func() {
			t.freeSlots++
			t.completed++
			t.startQueued()
			t.sim.schedule(t.sim.now+2*oneWayLatency, func() { t.send(t.sim.d.Done(t.sim.now, id, "t0", Completed, 1)) })
		})
	}
}

// send delivers granted requests to the target.
func (t *remoteTarget) send(out []Outcome) {
	for _, o := range out {
		if o.Target != "" {
			t.sim.schedule(t.sim.now+2*oneWayLatency, func() {
				t.waiting = append(t.waiting, o.ID)
				t.startQueued()
			})
		}
	}
}

// TestSlotsStayBusyAtCapacity guards against slots that are idle while a done report
// and the next request are on their way. At a latency of some milliseconds, the
// service would then not have the capacity for a load that its slots can carry.
func TestSlotsStayBusyAtCapacity(t *testing.T) {
	const slots, duration = 6, 10 * time.Second
	sim := newSimulation(1, slots)
	remote := &remoteTarget{sim: sim, freeSlots: slots}
	for i := range 4000 {
		r := request(fmt.Sprint("r", i))
		r.TimeLeft = time.Minute
		sim.schedule(0, func() { remote.send([]Outcome{sim.d.Admit(0, r)}) })
	}
	sim.schedule(duration, func() { sim.events = nil })
	sim.run(nil)
	maxCompleted := slots * duration.Seconds() / callTime.Seconds()
	assert.Less(t, maxCompleted, 4000.0, "some requests must be left at the end")
	assert.Greater(t, float64(remote.completed), 0.97*maxCompleted)
}

// TestHopelessRequestsAreRefusedAtOnce guards against late requests that wait until
// their callers' time runs out during a lasting backlog, in which the service has no
// capacity for them.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	s := newSimulation(1, 6)
	capacity := 6 / callTime.Seconds() / meanCalls
	s.run(append(s.arrivals(0, 20*time.Second, 1.1*capacity), s.arrivals(2*time.Second, 4*time.Second, capacity)...))
	assert.Greater(t, s.refusals[Overloaded], 10*s.refusals[Expired], "%v", s.refusals)
}
