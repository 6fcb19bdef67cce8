package experiment

import (
	"fmt"
	"io"
	"runtime"
	"sync"

	"hemlockvale.dev/bench/workload"
	"hemlockvale.dev/bench/world"
	"hemlockvale.dev/coord/placement"
)

// These constants define two disjoint sets of seeds. Only the tuning seeds are used to
// choose the constants of the policy, and only the check seeds to check the bounds.
const (
	// FirstTuningSeed is the first of SeedCount consecutive tuning seeds.
	FirstTuningSeed = 1
	// FirstCheckSeed is the first of SeedCount consecutive check seeds.
	FirstCheckSeed = 101
	// SeedCount is the number of seeds of a full run.
	SeedCount = 5
)

// Seeds returns count consecutive seeds.
func Seeds(first uint64, count int) []uint64 {
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// Options selects the runs of the benchmark.
type Options struct {
	// Deployments are the deployments to simulate.
	Deployments []workload.Deployment
	// Seeds holds the seed of each trial.
	Seeds []uint64
	// Programs is the number of programs in a run.
	Programs int
	// Deciders are the deciders to compare; the bounds need all but RoundRobin and FCFS.
	Deciders []DeciderName
	// Loads are arrival rates relative to the rate at a load of 100 %.
	Loads []float64
	// WeakBaselineLoads replaces Loads for the weak baselines, LeastOutstanding and
	// RoundRobin; nil means Loads.
	WeakBaselineLoads []float64
	// FloodDeciders are the deciders that also run with floods.
	FloodDeciders []DeciderName
	// Faults are the kinds of faults under which the policy runs at normalLoad.
	Faults []world.FaultKind
	// Policy holds the parameters of the placement policy.
	Policy placement.Policy
	// Progress receives one line for each finished trial; nil discards the lines.
	Progress io.Writer
}

// Full returns the options of the complete benchmark.
func Full(seeds []uint64) Options {
	return Options{
		Deployments:   workload.Deployments(),
		Seeds:         seeds,
		Programs:      4000,
		Deciders:      DeciderNames,
		Loads:         []float64{0.5, 0.85, 1, 1.1},
		Faults:        []world.FaultKind{world.TargetLost, world.TargetSlow, world.EntryLost, world.CacheEventsStop},
		FloodDeciders: []DeciderName{Policy, PrefixAffinity},
		Policy:        placement.DefaultPolicy(),
	}
}

// Short returns the options of the regression test. They select only the runs that the
// bounds need.
func Short(seeds []uint64) Options {
	o := Full(seeds)
	o.WeakBaselineLoads = []float64{normalLoad}
	o.Deciders = []DeciderName{Policy, PrefixAffinity, LeastOutstanding}
	o.Loads = []float64{0.85, 1, 1.1}
	o.FloodDeciders = []DeciderName{Policy}
	o.Faults = []world.FaultKind{world.TargetLost}
	return o
}

// runKey identifies a run of a trial without floods and faults.
type runKey struct {
	decider DeciderName
	load    float64
}

// outcome holds the metrics of the runs of one trial.
type outcome struct {
	fullLoadRate   float64
	runs           map[runKey]Summary
	floodRatios    map[DeciderName]float64
	floodSummary   Summary
	recoveryRatios map[world.FaultKind]float64
}

// loadsOf returns the loads at which a decider runs.
func (o Options) loadsOf(n DeciderName) []float64 {
	if weak := n == LeastOutstanding || n == RoundRobin; weak && o.WeakBaselineLoads != nil {
		return o.WeakBaselineLoads
	}
	return o.Loads
}

// runTrial runs the trial of one deployment and seed.
func (o Options) runTrial(d workload.Deployment, seed uint64) outcome {
	t := newTrial(d, o.Policy, seed, o.Programs)
	out := outcome{
		fullLoadRate: t.fullLoadRate, runs: map[runKey]Summary{}, floodRatios: map[DeciderName]float64{}, recoveryRatios: map[world.FaultKind]float64{},
	}
	for _, n := range o.Deciders {
		for _, load := range o.loadsOf(n) {
			out.runs[runKey{n, load}] = summarise(world.Run(t.runConfig(n, load)))
		}
	}
	for _, n := range o.FloodDeciders {
		normal := world.Run(t.runConfig(n, normalLoad))
		flooded := world.Run(t.floodConfig(n))
		out.floodRatios[n] = t.floodRatio(normal, flooded)
		if n == Policy {
			out.floodSummary = summarise(flooded)
			for _, kind := range o.Faults {
				out.recoveryRatios[kind] = t.recoveryRatio(normal, world.Run(t.faultConfig(n, kind)))
			}
		}
	}
	return out
}

// Run runs all trials, at most GOMAXPROCS of them concurrently.
func Run(o Options) (Report, error) {
	outcomes := make([][]outcome, len(o.Deployments))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	var progress sync.Mutex
	for i, d := range o.Deployments {
		outcomes[i] = make([]outcome, len(o.Seeds))
		for k, seed := range o.Seeds {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				outcomes[i][k] = o.runTrial(d, seed)
				if o.Progress != nil {
					progress.Lock()
					defer progress.Unlock()
					fmt.Fprintf(o.Progress, "deployment=%s seed=%d finished\n", d.Name, seed)
				}
			})
		}
	}
	group.Wait()
	return o.report(outcomes)
}
