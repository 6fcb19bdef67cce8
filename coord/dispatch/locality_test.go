package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// localitySimulation runs programs whose prompts grow with each turn at engines that prefill what
// they have not cached. More programs run than the engines have slots.
type localitySimulation struct {
	d       *Dispatcher
	now     time.Duration
	random  *rand.Rand
	queue   rateEvents
	waiting map[string]func(Outcome)
	next    int
	// prompted and cached count prompt tokens of second and later turns, and completed all turns.
	prompted, cached, completed int64
	longestWait                 time.Duration
}

const (
	localityTargets, localitySlots = 12, 6
	localityTurns                  = 6
	localityTurnTokens             = 400
	// localityDecodeTime is the duration of a turn without prefill; an engine prefills
	// localityTokensPerMS.
	localityDecodeTime  = 100 * time.Millisecond
	localityTokensPerMS = 20
	localityPrograms    = 2 * localityTargets * localitySlots
)

func newLocalitySimulation(seed uint64) *localitySimulation {
	s := &localitySimulation{d: New(0, seed), random: rand.New(rand.NewPCG(seed, 7)), waiting: make(map[string]func(Outcome))}
	list := targets(localityTargets, localitySlots)
	for i := range list {
		list[i].KVCapacity = 150_000
	}
	s.d.SetTargets(0, list)
	return s
}

func (s *localitySimulation) at(delay time.Duration, do func()) {
	heap.Push(&s.queue, rateEvent{s.now + delay, do})
}

// runTurn sends a turn of a program, and after it the next one, or a new program.
func (s *localitySimulation) runTurn(program, turn int) {
	s.next++
	id := fmt.Sprint("r", s.next)
	parts := []Part{{ID: "shared", Tokens: 500}}
	for i := range turn + 1 {
		parts = append(parts, Part{ID: fmt.Sprint(program, "/", i), Tokens: localityTurnTokens})
	}
	r := Request{ID: id, Service: "s", Program: fmt.Sprint(program), StartsProgram: turn == 0, ContinuesProgram: turn > 0, TimeLeft: 10 * time.Second, Parts: parts, OutputTokens: 100}
	s.waiting[id] = func(o Outcome) {
		prompt := r.promptTokens()
		if turn > 0 {
			s.prompted += prompt
			s.cached += o.Cached
		}
		s.longestWait = max(s.longestWait, o.Waited)
		took := localityDecodeTime + time.Duration((prompt-o.Cached)/localityTokensPerMS)*time.Millisecond
		s.at(took+time.Duration(s.random.IntN(20))*time.Millisecond, func() { s.end(id, o.Target, program, turn) })
	}
	s.decide([]Outcome{s.d.Admit(s.now, r)})
}

func (s *localitySimulation) end(id, target string, program, turn int) {
	s.completed++
	s.decide(s.d.Done(s.now, id, target, Completed, 50))
	if turn++; turn == localityTurns {
		program, turn = program+localityPrograms, 0
	}
	s.at(time.Duration(50+s.random.IntN(50))*time.Millisecond, func() { s.runTurn(program, turn) })
}

func (s *localitySimulation) decide(outcomes []Outcome) {
	for _, o := range outcomes {
		if o.Target != "" {
			grant := s.waiting[o.ID]
			delete(s.waiting, o.ID)
			grant(o)
		}
	}
}

func (s *localitySimulation) run(duration time.Duration) {
	for program := range localityPrograms {
		s.at(time.Duration(s.random.IntN(500))*time.Millisecond, func() { s.runTurn(program, 0) })
	}
	for s.now < duration {
		e := heap.Pop(&s.queue).(rateEvent)
		s.now = e.at
		e.do()
		s.decide(s.d.Tick(s.now))
	}
}

// TestProgramsKeepTheirEnginesUnderLoad guards against engines that prefill prompts which other
// engines have cached, when twice as many programs run as fit the slots: in the strict order of
// the queue, each turn runs at whichever engine becomes free.
func TestProgramsKeepTheirEnginesUnderLoad(t *testing.T) {
	for seed := range uint64(3) {
		s := newLocalitySimulation(seed)
		s.run(20 * time.Second)
		share := float64(s.cached) / float64(s.prompted)
		t.Logf("seed %d: %.2f of the prompt tokens of later turns cached, %d turns, longest wait %v", seed, share, s.completed, s.longestWait)
		assert.Greater(t, share, 0.6)
		assert.Less(t, s.longestWait, 2*time.Second, "a request was overtaken again and again")
	}
}
