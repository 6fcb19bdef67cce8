package workload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Turn is one call of a program and what follows it.
type Turn struct {
	// InputTokens is the number of tokens that are added to the history before the call.
	InputTokens int64
	// OutputTokens is the number of tokens that the call generates.
	OutputTokens int64
	// Children are sub-agents that run concurrently after the call.
	Children []*Program
	// ToolTime is the duration of the tool call that follows.
	ToolTime time.Duration
}

// Program is a sequence of dependent calls.
type Program struct {
	// ID identifies the program, or the sub-agent, within a run.
	ID int
	// Organisation is the index of the organisation in Deployment.Shares.
	Organisation int
	// RelativeArrival is the arrival time in units of the mean time between programs.
	RelativeArrival float64
	// FloodArrival is the absolute arrival time. It replaces RelativeArrival if Flood is
	// set.
	FloodArrival time.Duration
	// Flood marks the programs that an organisation sends above its normal rate.
	Flood bool
	// Turns are the calls of the program, in order.
	Turns []Turn
}

// Calls returns the number of calls, including those of sub-agents.
func (p *Program) Calls() int {
	calls := len(p.Turns)
	for _, t := range p.Turns {
		for _, child := range t.Children {
			calls += child.Calls()
		}
	}
	return calls
}

// UnloadedLatency returns the program's latency without queueing and with a warm cache.
func (p *Program) UnloadedLatency(d Deployment) time.Duration {
	total := time.Duration(0)
	for _, t := range p.Turns {
		total += 2*(d.ClientDelay+d.TargetDelay) + d.Engine.UnloadedTime(t.InputTokens, t.OutputTokens)
		longestChild := time.Duration(0)
		for _, child := range t.Children {
			longestChild = max(longestChild, child.UnloadedLatency(d))
		}
		total += longestChild + t.ToolTime
	}
	return total
}

// These constants are the parameters of the program distribution. The number of turns
// follows a Pareto distribution, which is heavy-tailed: 1 % of the programs make more
// than about 70 calls. Token counts and tool times are log-normal; sigma is the standard
// deviation of the logarithm.
const (
	minTurns, maxTurns                = 2, 220
	maxChildTurns                     = 20
	turnCountShape                    = 1.3
	subAgentProbability               = 0.03
	maxChildren                       = 3
	maxToolTime                       = time.Minute
	maxInputTokens                    = 8000
	maxOutputTokens                   = 2000
	firstInputMedian, firstInputSigma = 1500, 0.6
	inputMedian, inputSigma           = 250, 0.8
	outputMedian, outputSigma         = 100, 0.7
	toolTimeMedian, toolTimeSigma     = 1.0, 1.2 // seconds
)

// generator draws random programs.
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
		programs[i] = g.generateProgram(g.pickOrganisation(d.Shares), maxTurns, true)
		programs[i].RelativeArrival = at
	}
	return programs
}

// Flood returns the programs that one organisation sends in [from, until) at the given
// rate per second. Program ids start at firstID, so that they differ from those of
// other programs.
func Flood(organisation int, seed uint64, firstID int, rate float64, from, until time.Duration) []*Program {
	g := &generator{random: rand.New(rand.NewPCG(seed, 2)), nextID: firstID}
	var programs []*Program
	at := from
	for {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return programs
		}
		p := g.generateProgram(organisation, maxTurns, true)
		p.FloodArrival, p.Flood = at, true
		programs = append(programs, p)
	}
}

// pickOrganisation draws an organisation according to the shares.
func (g *generator) pickOrganisation(shares []float64) int {
	x := g.random.Float64()
	for i, share := range shares {
		x -= share
		if x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// generateProgram returns a program of at most turnLimit calls, without the calls of
// its sub-agents. Sub-agents have no sub-agents of their own.
func (g *generator) generateProgram(organisation, turnLimit int, allowChildren bool) *Program {
	p := &Program{ID: g.nextID, Organisation: organisation, Turns: make([]Turn, g.drawTurnCount(turnLimit))}
	g.nextID++
	for i := range p.Turns {
		t := &p.Turns[i]
		t.InputTokens = g.drawTokenCount(inputMedian, inputSigma, maxInputTokens)
		if i == 0 {
			t.InputTokens = g.drawTokenCount(firstInputMedian, firstInputSigma, maxInputTokens)
		}
		t.OutputTokens = g.drawTokenCount(outputMedian, outputSigma, maxOutputTokens)
		toolTime := g.drawLognormal(toolTimeMedian, toolTimeSigma) * float64(time.Second)
		t.ToolTime = min(maxToolTime, time.Duration(toolTime))
		if allowChildren && g.random.Float64() < subAgentProbability {
			for range 1 + g.random.IntN(maxChildren) {
				t.Children = append(t.Children, g.generateProgram(organisation, maxChildTurns, false))
			}
		}
	}
	p.Turns[len(p.Turns)-1].ToolTime = 0
	return p
}

// drawTurnCount draws from a Pareto distribution; larger values become turnLimit.
func (g *generator) drawTurnCount(turnLimit int) int {
	count := minTurns * math.Pow(1-g.random.Float64(), -1/turnCountShape)
	return int(min(count, float64(turnLimit)))
}

// drawLognormal draws from a log-normal distribution.
func (g *generator) drawLognormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.random.NormFloat64())
}

// drawTokenCount draws a log-normal token count, clamped to the range from 1 to limit.
func (g *generator) drawTokenCount(median, sigma float64, limit int64) int64 {
	return min(limit, max(1, int64(g.drawLognormal(median, sigma))))
}
