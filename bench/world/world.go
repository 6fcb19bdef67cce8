// Package world simulates a deployment in virtual time: programs send their calls to
// entries, which place them on targets with the decider under test. The targets are
// queueing models.
package world

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/bench/entry"
	"hemlockvale.dev/bench/sim"
	"hemlockvale.dev/bench/workload"
)

const (
	// announceInterval is the time between two announcements of a target.
	announceInterval = time.Second
	// minReportDelay and maxReportDelay bound the delay of announcements and cache events.
	minReportDelay, maxReportDelay = 50 * time.Millisecond, 500 * time.Millisecond
	// cacheEventLossProbability is the probability that an entry never receives a batch
	// of cache events.
	cacheEventLossProbability = 0.02
	// timeLimit is the maximum duration of a run in virtual time.
	timeLimit = 24 * time.Hour
)

// Contract is the contracted rate limit of an organisation.
type Contract struct {
	// Rate is in calls per second, Burst in calls.
	Rate, Burst float64
}

// Config describes a run.
type Config struct {
	// Deployment describes the organisations, targets, entries and network delays.
	Deployment workload.Deployment
	// Programs are the programs to run, without sub-agents.
	Programs []*workload.Program
	// ArrivalRate is the mean number of arriving programs per second, without floods.
	ArrivalRate float64
	// Contracts are the organisations' rate limits; nil admits all calls.
	Contracts []Contract
	// NewDecider returns a new decider for one entry. It is called once for each entry.
	NewDecider func() entry.Decider
	// Seed determines all random choices of the run.
	Seed uint64
	// Fault is the fault to inject; the zero value injects none.
	Fault Fault
}

// ProgramResult is the outcome of one program.
type ProgramResult struct {
	// Organisation is the index of the organisation in Deployment.Shares.
	Organisation int
	// Flood is true for the programs of a flood.
	Flood bool
	// Arrival is the time at which the program started, Latency the time that it took.
	Arrival, Latency time.Duration
	// UnloadedLatency is the latency without queueing.
	UnloadedLatency time.Duration
	// Finished is false if the caller gave up or the run reached timeLimit.
	Finished bool
}

// Result holds the outcome of a run.
type Result struct {
	// Programs are in the order of Config.Programs.
	Programs []ProgramResult
	// Dispatched is the number of dispatches, including retries.
	Dispatched int
	// Refused is the number of refusals by the decider. Each of them concerns a call that
	// the rate limit has admitted.
	Refused int
	// RefusedAfterDispatch is the part of Refused that came after a dispatch to a target
	// that failed.
	RefusedAfterDispatch int
	// RateLimited is the number of calls that the rate limit refused.
	RateLimited int
	// AdmittedOverLimit is the number of calls that were admitted above the rate limit.
	AdmittedOverLimit int
	// UncachedTokens is the number of prompt tokens that targets computed.
	UncachedTokens int64
	// RecomputedTokens is the number of prompt tokens that were computed although a target
	// had them cached when the call was placed.
	RecomputedTokens int64
	// LastArrival is the arrival time of the last program outside of the floods.
	LastArrival time.Duration
}

// simulation is the state of a run.
type simulation struct {
	config         Config
	clock          *sim.Clock
	random         *rand.Rand
	engines        []*engine.Engine
	entries        []*entry.Entry
	deciders       []entry.Decider
	buckets        []*entry.Bucket
	usage          *entry.Usage
	cacheEventsOff bool
	inFlight       map[*pendingCall]struct{} // dispatched calls without a response; used to cancel those of a lost entry
	programsLeft   int
	result         Result
}

// Run runs the programs until all have ended.
func Run(c Config) Result {
	return newSimulation(c).run()
}

// newSimulation returns a simulation with all arrivals and the fault scheduled.
func newSimulation(c Config) *simulation {
	s := &simulation{config: c, clock: &sim.Clock{}, random: rand.New(rand.NewPCG(c.Seed, 3))}
	s.usage = entry.NewUsage(len(c.Deployment.Shares))
	s.inFlight = map[*pendingCall]struct{}{}
	s.addTargetsAndEntries()
	for _, contract := range c.Contracts {
		s.buckets = append(s.buckets, entry.NewBucket(contract.Rate, contract.Burst))
	}
	s.scheduleFault()
	s.result.Programs = make([]ProgramResult, len(c.Programs))
	s.programsLeft = len(c.Programs)
	for i, p := range c.Programs {
		s.scheduleArrival(i, p)
	}
	return s
}

// run executes the simulation and returns its result.
func (s *simulation) run() Result {
	s.clock.Run(timeLimit, func() bool { return s.programsLeft == 0 })
	for _, b := range s.buckets {
		s.result.AdmittedOverLimit += b.AdmittedOverLimit
	}
	return s.result
}

// addTargetsAndEntries creates the targets, with announcements spread evenly over the
// announcement interval, and the entries.
func (s *simulation) addTargetsAndEntries() {
	d := s.config.Deployment
	ids := make([]string, d.Targets)
	for i := range ids {
		ids[i] = "target-" + strconv.Itoa(i)
		s.engines = append(s.engines, engine.New(d.Engine, s.clock))
		offset := announceInterval * time.Duration(i) / time.Duration(d.Targets)
		s.clock.After(offset, func() { s.announceTarget(i) })
	}
	for range d.Entries {
		s.entries = append(s.entries, entry.New(ids, s.engines[0].Load()))
		s.deciders = append(s.deciders, s.config.NewDecider())
	}
}

// announceTarget sends the target's load and cache events to all entries, and repeats
// this at the announcement interval while the target is alive.
func (s *simulation) announceTarget(i int) {
	e := s.engines[i]
	if !e.Alive() {
		return
	}
	measuredAt, load, events := s.clock.Now(), e.Load(), e.TakeEvents()
	eventsOff := s.cacheEventsOff
	delay := minReportDelay + time.Duration(s.random.Int64N(int64(maxReportDelay-minReportDelay)))
	s.clock.After(delay, func() {
		for _, view := range s.entries {
			view.ApplyAnnouncement(s.clock.Now(), i, measuredAt, load)
			if lost := s.random.Float64() < cacheEventLossProbability; !lost && !eventsOff {
				view.ApplyCacheEvents(i, measuredAt, events)
			}
		}
	})
	s.clock.After(announceInterval, func() { s.announceTarget(i) })
}

// scheduleArrival schedules the start of program i, whose result is stored in
// Result.Programs[i].
func (s *simulation) scheduleArrival(i int, p *workload.Program) {
	at := p.FloodArrival
	if !p.Flood {
		at = time.Duration(p.RelativeArrival / s.config.ArrivalRate * float64(time.Second))
		s.result.LastArrival = max(s.result.LastArrival, at)
	}
	result := &s.result.Programs[i]
	*result = ProgramResult{
		Organisation: p.Organisation, Flood: p.Flood, Arrival: at, UnloadedLatency: p.UnloadedLatency(s.config.Deployment),
	}
	s.clock.After(at, func() {
		s.startProgram(p, 0, func(finished bool) {
			result.Finished = finished
			result.Latency = s.clock.Now() - at
			s.programsLeft--
		})
	})
}
