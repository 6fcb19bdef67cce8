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

// Seed sets. Constants of the policy are chosen on the tuning seeds only; the
// bounds are checked on the check seeds only.
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

// Options selects what a suite runs.
type Options struct {
	Deployments []workload.Deployment
	Seeds       []uint64
	// Programs is the number of programs in a run.
	Programs int
	// Names are the ways to decide; the bounds need all but round robin and
	// first come.
	Names []Name
	// Loads are relative to the rate at 100 %.
	Loads []float64
	// EasyLoads replaces Loads for the easy baselines, least outstanding and
	// round robin; nil means Loads.
	EasyLoads []float64
	// FloodNames are the ways to decide that run with floods.
	FloodNames []Name
	// Faults are the faults of the policy at the usual load.
	Faults []world.FaultKind
	Policy placement.Policy
	// Progress receives one line per finished trial; nil discards them.
	Progress io.Writer
}

// Full returns the options of the complete bench.
func Full(seeds []uint64) Options {
	return Options{
		Deployments: workload.Deployments(),
		Seeds:       seeds,
		Programs:    4000,
		Names:       Names,
		Loads:       []float64{0.5, 0.85, 1, 1.1},
		Faults:      []world.FaultKind{world.TargetLost, world.TargetSlow, world.EntryLost, world.CacheEventsStop},
		FloodNames:  []Name{Policy, PrefixAffinity},
		Policy:      placement.DefaultPolicy(),
	}
}

// Short returns the options of the regression test: only the runs that the bounds
// need.
func Short(seeds []uint64) Options {
	o := Full(seeds)
	o.EasyLoads = []float64{usualLoad}
	o.Names = []Name{Policy, PrefixAffinity, LeastOutstanding}
	o.Loads = []float64{0.85, 1, 1.1}
	o.FloodNames = []Name{Policy}
	o.Faults = []world.FaultKind{world.TargetLost}
	return o
}

// cell identifies a run of a trial.
type cell struct {
	name Name
	load float64
}

// outcome holds the figures of one trial.
type outcome struct {
	full       float64
	runs       map[cell]Summary
	flood      map[Name]float64
	flooded    Summary
	recoveries map[world.FaultKind]float64
}

// loads returns the loads at which one way to decide runs.
func (o Options) loads(n Name) []float64 {
	if easy := n == LeastOutstanding || n == RoundRobin; easy && o.EasyLoads != nil {
		return o.EasyLoads
	}
	return o.Loads
}

func (o Options) trial(d workload.Deployment, seed uint64) outcome {
	t := newTrial(d, o.Policy, seed, o.Programs)
	out := outcome{
		full: t.full, runs: map[cell]Summary{}, flood: map[Name]float64{}, recoveries: map[world.FaultKind]float64{},
	}
	for _, n := range o.Names {
		for _, load := range o.loads(n) {
			out.runs[cell{n, load}] = summarise(world.Run(t.config(n, load)))
		}
	}
	for _, n := range o.FloodNames {
		usual := world.Run(t.config(n, usualLoad))
		flooded := world.Run(t.floodConfig(n))
		out.flood[n] = t.floodRatio(usual, flooded)
		if n == Policy {
			out.flooded = summarise(flooded)
			for _, kind := range o.Faults {
				out.recoveries[kind] = t.recoveryRatio(usual, world.Run(t.faultConfig(n, kind)))
			}
		}
	}
	return out
}

// Run executes all trials, as many at once as there are processors to use.
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
				outcomes[i][k] = o.trial(d, seed)
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
