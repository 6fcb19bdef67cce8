package workload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Turn is one call of a program and what follows it.
type Turn struct {
	// Input is how many tokens the turn adds to the history before the call.
	Input int64
	// Output is how many tokens the call generates.
	Output int64
	// Children are sub-agents that run concurrently after the call.
	Children []*Program
	// Pause is the time of the tool call that follows.
	Pause time.Duration
}

// Program is a chain of dependent calls.
type Program struct {
	ID           int
	Organisation int
	// Arrival is in units of the mean time between programs.
	Arrival float64
	// At is an absolute arrival time; it replaces Arrival if Flood is set.
	At time.Duration
	// Flood marks the programs that an organisation sends above its usual rate.
	Flood bool
	Turns []Turn
}

// Calls is the number of calls including those of sub-agents.
func (p *Program) Calls() int {
	calls := len(p.Turns)
	for _, t := range p.Turns {
		for _, child := range t.Children {
			calls += child.Calls()
		}
	}
	return calls
}

// Alone is the program's latency without any queueing, with a warm cache.
func (p *Program) Alone(d Deployment) time.Duration {
	total := time.Duration(0)
	for _, t := range p.Turns {
		total += 2*(d.ClientDelay+d.TargetDelay) + d.Engine.Alone(t.Input, t.Output)
		longest := time.Duration(0)
		for _, child := range t.Children {
			longest = max(longest, child.Alone(d))
		}
		total += longest + t.Pause
	}
	return total
}

// Distribution of programs. Lengths are heavy-tailed: 1 % of the programs make
// more than about 70 calls.
const (
	minTurns, maxTurns     = 2, 220
	maxChildTurns          = 20
	turnsShape             = 1.3
	childProbability       = 0.03
	maxChildren            = 3
	maxPause               = time.Minute
	maxPrompt              = 8000
	maxOutput              = 2000
	promptMedian, promptSD = 1500, 0.6
	inputMedian, inputSD   = 250, 0.8
	outputMedian, outputSD = 100, 0.7
	pauseMedian, pauseSD   = 1.0, 1.2 // seconds
)

type generator struct {
	random *rand.Rand
	nextID int
}

// Generate returns count programs in the order of arrival.
func Generate(d Deployment, seed uint64, count int) []*Program {
	g := &generator{random: rand.New(rand.NewPCG(seed, 1))}
	programs := make([]*Program, count)
	at := 0.0
	for i := range programs {
		at += g.random.ExpFloat64()
		programs[i] = g.program(g.pick(d.Shares), maxTurns, true)
		programs[i].Arrival = at
	}
	return programs
}

// Flood returns the programs that one organisation sends in [from, until) at
// the given rate per second. firstID keeps their ids apart from the others.
func Flood(organisation int, seed uint64, firstID int, rate float64, from, until time.Duration) []*Program {
	g := &generator{random: rand.New(rand.NewPCG(seed, 2)), nextID: firstID}
	var programs []*Program
	at := from
	for {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return programs
		}
		p := g.program(organisation, maxTurns, true)
		p.At, p.Flood = at, true
		programs = append(programs, p)
	}
}

func (g *generator) pick(shares []float64) int {
	x := g.random.Float64()
	for i, share := range shares {
		x -= share
		if x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func (g *generator) program(organisation, longest int, children bool) *Program {
	p := &Program{ID: g.nextID, Organisation: organisation, Turns: make([]Turn, g.turns(longest))}
	g.nextID++
	for i := range p.Turns {
		t := &p.Turns[i]
		t.Input = g.tokens(inputMedian, inputSD, maxPrompt)
		if i == 0 {
			t.Input = g.tokens(promptMedian, promptSD, maxPrompt)
		}
		t.Output = g.tokens(outputMedian, outputSD, maxOutput)
		pause := g.lognormal(pauseMedian, pauseSD) * float64(time.Second)
		t.Pause = min(maxPause, time.Duration(pause))
		if children && g.random.Float64() < childProbability {
			for range 1 + g.random.IntN(maxChildren) {
				t.Children = append(t.Children, g.program(organisation, maxChildTurns, false))
			}
		}
	}
	p.Turns[len(p.Turns)-1].Pause = 0
	return p
}

// turns draws from a Pareto distribution that is cut at the longest program.
func (g *generator) turns(longest int) int {
	turns := minTurns * math.Pow(1-g.random.Float64(), -1/turnsShape)
	return int(min(turns, float64(longest)))
}

func (g *generator) lognormal(median, sd float64) float64 {
	return median * math.Exp(sd*g.random.NormFloat64())
}

func (g *generator) tokens(median, sd float64, most int64) int64 {
	return min(most, max(1, int64(g.lognormal(median, sd))))
}
