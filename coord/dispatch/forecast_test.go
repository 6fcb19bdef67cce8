package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// rateSimulation runs the programs of some organisations against their rate limits in
// virtual time. Targets are always free. A program has turns of one kind, each followed by calls of
// a plain service; it fails if one of its requests is refused too often.
type rateSimulation struct {
	d      *Dispatcher
	random *rand.Rand
	now    time.Duration
	queue  rateEvents
	// next is the number of the next request.
	next    int
	waiting map[string]func(Outcome)
	// started and finished count the programs by route priority, sent the requests of the
	// finished ones.
	started, finished [2]int
	sent              int
	// refusedFirst and refusedLater count the refused first and later requests.
	refusedFirst, refusedLater int
	// countFrom excludes programs that start earlier, while the dispatcher learns.
	countFrom time.Duration
}

type rateEvent struct {
	at time.Duration
	do func()
}

// rateEvents is a heap of events, the earliest first.
type rateEvents []rateEvent

func (q rateEvents) Len() int           { return len(q) }
func (q rateEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q rateEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *rateEvents) Push(x any)        { *q = append(*q, x.(rateEvent)) }
func (q *rateEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	// simRate and simBurst limit each of simOrganisations organisations.
	simRate, simBurst = 10.0, 10.0
	simOrganisations  = 20
	// meanTurns are the mean turns of a program by route priority, and callsPerTurn the
	// mean calls after each turn.
	longTurns, shortTurns = 11, 4
	callsPerTurn          = 1.6
	simTurnTime           = 300 * time.Millisecond
	simCallTime           = 40 * time.Millisecond
	// callTimeLeft and turnTimeLeft are how long callers wait for a response.
	callTimeLeft = 1200 * time.Millisecond
	turnTimeLeft = 3 * time.Second
)

func (s *rateSimulation) at(delay time.Duration, do func()) {
	heap.Push(&s.queue, rateEvent{s.now + delay, do})
}

// send sends one request of a program. Its caller sends it once more after a refusal.
func (s *rateSimulation) send(program string, priority int, budgetTurns float64, first, turn bool, left time.Duration, tries int, done func(bool)) {
	s.next++
	r := limitedRequest(fmt.Sprint(s.next), simRate, simBurst)
	r.Program, r.StartsProgram, r.ContinuesProgram, r.ProgramTimeLeft, r.TimeLeft = program, first, !first, max(left, time.Millisecond), callTimeLeft
	r.Organisation, r.RoutePriority, r.BudgetTurns = organisationOf(program), 2, budgetTurns
	if turn {
		r.RoutePriority, r.TimeLeft = priority, turnTimeLeft
	}
	handle := func(o Outcome) {
		if o.Refusal == "" {
			s.d.Done(s.now, o.ID, o.Target, Completed, 1)
			done(true)
			return
		}
		if s.now >= s.countFrom {
			if first {
				s.refusedFirst++
			} else {
				s.refusedLater++
			}
		}
		if tries == 1 {
			done(false)
			return
		}
		s.at(min(o.RetryAfter, r.TimeLeft/3), func() { s.send(program, priority, budgetTurns, first, turn, left, tries-1, done) })
	}
	o := s.d.Admit(s.now, r)
	if o.Waiting() {
		s.waiting[r.ID] = handle
		return
	}
	handle(o)
}

// organisationOf returns the organisation of a program.
func organisationOf(program string) string { return program[:strings.IndexByte(program, '/')] }

// runProgram starts a program of a kind.
func (s *rateSimulation) runProgram(n, priority int) {
	mean := shortTurns
	if priority == 0 {
		mean = longTurns
	}
	turns := max(1, mean/2+s.random.IntN(mean+1))
	counted := s.now >= s.countFrom
	if counted {
		s.started[priority]++
	}
	program, requests := fmt.Sprintf("o%d/p%d", n%simOrganisations, n), 0
	// The caller's budget is an estimate of the program's turns.
	budgetTurns := float64(turns) * (0.8 + 0.6*s.random.Float64())
	deadline := s.now + time.Duration(turns)*simTurnTime*2
	var turn func(i, tries int)
	turn = func(i, tries int) {
		s.send(program, priority, budgetTurns, i == 0, true, deadline-s.now, 2, func(ok bool) {
			requests++
			switch {
			case !ok && tries == 1:
				return
			case !ok:
				s.at(250*time.Millisecond, func() { turn(i, tries-1) })
				return
			}
			s.at(simTurnTime, func() {
				calls := int(callsPerTurn*2*s.random.Float64() + 0.5)
				next := func() {
					if i+1 < turns {
						turn(i+1, 3)
					} else if counted {
						s.finished[priority]++
						s.sent += requests
					}
				}
				s.runCalls(program, priority, calls, deadline, &requests, next)
			})
		})
	}
	turn(0, 3)
}

// runCalls sends the calls after a turn at the same time and continues once all are done.
// The program fails if one is refused twice.
func (s *rateSimulation) runCalls(program string, priority, calls int, deadline time.Duration, requests *int, next func()) {
	if calls == 0 {
		next()
		return
	}
	pending := calls
	for range calls {
		s.send(program, priority, 0, false, false, deadline-s.now, 2, func(ok bool) {
			*requests++
			if !ok {
				return
			}
			s.at(simCallTime, func() {
				if pending--; pending == 0 {
					next()
				}
			})
		})
	}
}

// run starts programs at a mean rate per second until the given time.
func (s *rateSimulation) run(until time.Duration, programsPerSecond float64) {
	n := 0
	for t := time.Duration(0); t < until; t += time.Duration(s.random.ExpFloat64() / programsPerSecond * float64(time.Second)) {
		n++
		number, priority := n, 1
		if s.random.Float64() < 0.17 {
			priority = 0
		}
		heap.Push(&s.queue, rateEvent{t, func() { s.runProgram(number, priority) }})
	}
	const tick = 20 * time.Millisecond
	for next := tick; len(s.queue) > 0; {
		if s.queue[0].at > next {
			s.now = next
			for _, o := range s.d.Tick(next) {
				if handle := s.waiting[o.ID]; handle != nil {
					delete(s.waiting, o.ID)
					handle(o)
				}
			}
			next += tick
			continue
		}
		e := heap.Pop(&s.queue).(rateEvent)
		s.now = e.at
		e.do()
	}
}

func newRateSimulation(seed uint64) *rateSimulation {
	s := &rateSimulation{d: New(0, seed), random: rand.New(rand.NewPCG(seed, 3)), waiting: make(map[string]func(Outcome)), countFrom: 5 * time.Second}
	s.d.SetTargets(0, targets(1, 1_000_000))
	return s
}

// requestsPerProgram is the mean number of requests of a program in the simulation.
const requestsPerProgram = (0.17*longTurns + 0.83*shortTurns) * (1 + callsPerTurn)

// TestStartedProgramsFinish guards against an organisation above its rate whose programs
// are broken off in the middle of their work. Refusals of started programs must be at most
// a tenth of all refusals, and the long, urgent programs must not be served less than the
// short ones.
func TestStartedProgramsFinish(t *testing.T) {
	for _, load := range []float64{0.6, 0.8, 1.0, 1.3, 2.0} {
		var started, finished [2]int
		first, later, sent := 0, 0, 0
		for seed := range uint64(3) {
			s := newRateSimulation(seed + 1)
			s.run(60*time.Second, load*simRate*simOrganisations/requestsPerProgram)
			for p := range started {
				started[p] += s.started[p]
				finished[p] += s.finished[p]
			}
			first, later, sent = first+s.refusedFirst, later+s.refusedLater, sent+s.sent
		}
		long, short := float64(finished[0])/float64(started[0]), float64(finished[1])/float64(started[1])
		t.Logf("load %.1f: long %.3f, short %.3f, refused first %d, later %d, useful share of the rate %.3f", load, long, short, first, later, float64(sent)/(3*55*simRate*simOrganisations))
		assert.LessOrEqual(t, float64(later), 0.1*float64(first+later), "load %.1f", load)
		assert.GreaterOrEqual(t, long, short-0.05, "load %.1f", load)
	}
}
