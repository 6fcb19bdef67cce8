// Package experiment compares the placement policy with baselines on the same programs
// and checks the bounds.
package experiment

import (
	"time"

	"hemlockvale.dev/bench/workload"
	"hemlockvale.dev/bench/world"
	"hemlockvale.dev/coord/placement"
)

const (
	// contractHeadroom is an organisation's contracted rate relative to its mean rate at
	// a load of 100 %.
	contractHeadroom = 1.5
	// contractBurst is the burst, expressed as the time in which the contracted rate
	// replenishes it.
	contractBurst = time.Minute
	// floodFactor is the rate of a flood relative to the contracted rate.
	floodFactor = 5
	// floodCount and floodLength are the number and the duration of the floods in a run.
	// The floods are evenly spaced.
	floodCount  = 3
	floodLength = 100 * time.Second
	// floodOrganisation is the index of the organisation that sends the floods, which is
	// the largest one.
	floodOrganisation = 0
	// floodIDOffset separates the ids of each flood's programs from all others.
	floodIDOffset = 1 << 24
	// normalLoad is the load of the runs with floods and faults.
	normalLoad = 0.85
)

// trial holds what all runs of one deployment with the same seed have in common.
type trial struct {
	deployment   workload.Deployment
	policy       placement.Policy
	seed         uint64
	programs     []*workload.Program
	fullLoadRate float64 // programs per second at a load of 100 %
	contracts    []world.Contract
}

// newTrial generates the programs, measures the rate at a load of 100 % and derives
// the contracts from it.
func newTrial(d workload.Deployment, p placement.Policy, seed uint64, count int) *trial {
	t := &trial{deployment: d, policy: p, seed: seed, programs: workload.Generate(d, seed, count)}
	t.fullLoadRate = t.calibrate()
	t.contracts = t.deriveContracts()
	return t
}

const (
	// minFullLoadRate and maxFullLoadRate bound the search for the rate at a load of 100 %,
	// in programs per second.
	minFullLoadRate, maxFullLoadRate = 0.5, 12.0
	// bisectionSteps is the number of steps of the search, which give a resolution of
	// 0.4 % at about 3 programs per second.
	bisectionSteps = 10
)

// calibrate returns the rate at a load of 100 %: the highest rate at which
// PrefixAffinity, without rate limits, keeps the 95th percentile latency within three
// times that of an idle system.
func (t *trial) calibrate() float64 {
	low, high := minFullLoadRate, maxFullLoadRate
	for range bisectionSteps {
		rate := (low + high) / 2
		results := measuredResults(world.Run(world.Config{
			Deployment: t.deployment, Programs: t.programs, ArrivalRate: rate, Seed: t.seed,
			NewDecider: deciderFactory(PrefixAffinity, t.policy),
		}))
		if quantile(latencies(results), reportedQuantile) <= maxGoodputSlowdown*quantile(unloadedLatencies(results), reportedQuantile) {
			low = rate
		} else {
			high = rate
		}
	}
	return low
}

// deriveContracts returns a contract for each organisation: its mean rate at a load of
// 100 %, with headroom.
func (t *trial) deriveContracts() []world.Contract {
	calls := make([]float64, len(t.deployment.Shares))
	for _, p := range t.programs {
		calls[p.Organisation] += float64(p.Calls())
	}
	duration := t.programs[len(t.programs)-1].RelativeArrival / t.fullLoadRate
	contracts := make([]world.Contract, len(calls))
	for i := range contracts {
		rate := contractHeadroom * calls[i] / duration
		contracts[i] = world.Contract{Rate: rate, Burst: rate * contractBurst.Seconds()}
	}
	return contracts
}

// runConfig returns the configuration of a run without floods and faults.
func (t *trial) runConfig(n DeciderName, load float64) world.Config {
	return world.Config{
		Deployment: t.deployment, Programs: t.programs, ArrivalRate: load * t.fullLoadRate, Contracts: t.contracts,
		NewDecider: deciderFactory(n, t.policy), Seed: t.seed,
	}
}

// arrivalDuration returns the time in which programs arrive at the given load.
func (t *trial) arrivalDuration(load float64) time.Duration {
	arrivals := t.programs[len(t.programs)-1].RelativeArrival
	return time.Duration(arrivals / (load * t.fullLoadRate) * float64(time.Second))
}

// floodStarts returns the start times of the floods.
func (t *trial) floodStarts() []time.Duration {
	var starts []time.Duration
	for i := range floodCount {
		starts = append(starts, t.arrivalDuration(normalLoad)*time.Duration(i+1)/(floodCount+1))
	}
	return starts
}

// floodConfig returns the configuration of a run at normalLoad with floods.
func (t *trial) floodConfig(n DeciderName) world.Config {
	c := t.runConfig(n, normalLoad)
	calls, programs := 0, 0
	for _, p := range t.programs {
		if p.Organisation == floodOrganisation {
			calls += p.Calls()
			programs++
		}
	}
	rate := floodFactor * t.contracts[floodOrganisation].Rate * float64(programs) / float64(calls)
	c.Programs = append([]*workload.Program{}, t.programs...)
	for i, start := range t.floodStarts() {
		flood := workload.Flood(floodOrganisation, t.seed+uint64(i), (i+1)*floodIDOffset, rate, start, start+floodLength)
		c.Programs = append(c.Programs, flood...)
	}
	return c
}

// floodRatio returns the effect of the floods on the organisation that they affect
// most, other than the sender: its 95th percentile latency during the floods relative
// to the same programs without floods.
func (t *trial) floodRatio(normal, flooded world.Result) float64 {
	worst := 0.0
	for organisation := range t.deployment.Shares {
		if organisation == floodOrganisation {
			continue
		}
		without := t.duringFloods(normal, organisation)
		with := t.duringFloods(flooded, organisation)
		if len(without) > 0 {
			worst = max(worst, quantile(latencies(with), reportedQuantile)/quantile(latencies(without), reportedQuantile))
		}
	}
	return worst
}

// duringFloods returns the organisation's programs that arrived during the floods but
// are not part of them.
func (t *trial) duringFloods(r world.Result, organisation int) []world.ProgramResult {
	results := filter(r.Programs, func(p world.ProgramResult) bool { return !p.Flood && p.Organisation == organisation })
	var during []world.ProgramResult
	for _, start := range t.floodStarts() {
		during = append(during, arrivedBetween(results, start, start+floodLength)...)
	}
	return during
}

const (
	// recoveryTime is the time after the start of a fault by which the 95th percentile
	// latency must have recovered.
	recoveryTime = 20 * time.Second
	// faultRunDivisor divides the duration of a run: a fault starts after a third of the
	// run and lasts for a third.
	faultRunDivisor = 3
)

// faultConfig returns the configuration of a run at normalLoad with a fault.
func (t *trial) faultConfig(n DeciderName, kind world.FaultKind) world.Config {
	c := t.runConfig(n, normalLoad)
	at := t.arrivalDuration(normalLoad) / faultRunDivisor
	c.Fault = world.Fault{Kind: kind, At: at, Until: 2 * at}
	return c
}

// recoveryRatio returns the 95th percentile latency of the programs that arrive from
// the recovery time to the end of the fault, relative to the same programs without the
// fault.
func (t *trial) recoveryRatio(normal, faulty world.Result) float64 {
	at := t.arrivalDuration(normalLoad) / faultRunDivisor
	from, until := at+recoveryTime, 2*at
	without := latencies(arrivedBetween(normal.Programs, from, until))
	with := latencies(arrivedBetween(faulty.Programs, from, until))
	return quantile(with, reportedQuantile) / quantile(without, reportedQuantile)
}
