// Package experiment compares the policy with the baselines on the same
// programs and checks the bounds.
package experiment

import (
	"time"

	"hemlockvale.dev/bench/workload"
	"hemlockvale.dev/bench/world"
	"hemlockvale.dev/coord/placement"
)

const (
	// contractHeadroom is an organisation's contracted rate, relative to its
	// usual rate at 100 % load.
	contractHeadroom = 1.5
	// contractBurst is the burst as a time at the contracted rate.
	contractBurst = time.Minute
	// floodFactor is the rate of a flood relative to the contracted rate.
	floodFactor = 5
	// floodCount and floodLength are the number and the length of the floods in
	// a run; they are spread evenly.
	floodCount  = 3
	floodLength = 100 * time.Second
	// floodOrganisation sends the floods. It is the largest organisation.
	floodOrganisation = 0
	// floodFirstID keeps the ids of the flood's programs apart.
	floodFirstID = 1 << 24
	// usualLoad is the load of the tests with floods and faults.
	usualLoad = 0.85
)

// trial holds what all runs with one seed have in common.
type trial struct {
	deployment workload.Deployment
	policy     placement.Policy
	seed       uint64
	programs   []*workload.Program
	full       float64 // programs per second at a load of 100 %
	contracts  []world.Contract
}

func newTrial(d workload.Deployment, p placement.Policy, seed uint64, count int) *trial {
	t := &trial{deployment: d, policy: p, seed: seed, programs: workload.Generate(d, seed, count)}
	t.full = t.calibrate()
	t.contracts = t.contract()
	return t
}

const (
	// lowestRate and highestRate enclose the rate at 100 % load, in programs per
	// second.
	lowestRate, highestRate = 0.5, 12.0
	// bisections give a resolution of 0.4 % around 3 programs per second.
	bisections = 10
)

// calibrate finds the highest rate at which prefix affinity alone keeps the
// 95th percentile within three times that of an idle system.
func (t *trial) calibrate() float64 {
	low, high := lowestRate, highestRate
	for range bisections {
		rate := (low + high) / 2
		records := measured(world.Run(world.Config{
			Deployment: t.deployment, Programs: t.programs, Rate: rate, Seed: t.seed,
			Decider: decider(PrefixAffinity, t.policy),
		}))
		if quantile(latencies(records), upper) <= inTime*quantile(alone(records), upper) {
			low = rate
		} else {
			high = rate
		}
	}
	return low
}

// contract gives each organisation its usual rate with headroom.
func (t *trial) contract() []world.Contract {
	calls := make([]float64, len(t.deployment.Shares))
	for _, p := range t.programs {
		calls[p.Organisation] += float64(p.Calls())
	}
	duration := t.programs[len(t.programs)-1].Arrival / t.full
	contracts := make([]world.Contract, len(calls))
	for i := range contracts {
		rate := contractHeadroom * calls[i] / duration
		contracts[i] = world.Contract{Rate: rate, Burst: rate * contractBurst.Seconds()}
	}
	return contracts
}

func (t *trial) config(n Name, load float64) world.Config {
	return world.Config{
		Deployment: t.deployment, Programs: t.programs, Rate: load * t.full, Contracts: t.contracts,
		Decider: decider(n, t.policy), Seed: t.seed,
	}
}

// duration is the time in which programs arrive at the given load.
func (t *trial) duration(load float64) time.Duration {
	arrivals := t.programs[len(t.programs)-1].Arrival
	return time.Duration(arrivals / (load * t.full) * float64(time.Second))
}

// floods returns the start times of the floods.
func (t *trial) floods() []time.Duration {
	var starts []time.Duration
	for i := range floodCount {
		starts = append(starts, t.duration(usualLoad)*time.Duration(i+1)/(floodCount+1))
	}
	return starts
}

// floodConfig adds the programs of the floods to the usual ones.
func (t *trial) floodConfig(n Name) world.Config {
	c := t.config(n, usualLoad)
	calls, sent := 0, 0
	for _, p := range t.programs {
		if p.Organisation == floodOrganisation {
			calls += p.Calls()
			sent++
		}
	}
	rate := floodFactor * t.contracts[floodOrganisation].Rate * float64(sent) / float64(calls)
	c.Programs = append([]*workload.Program{}, t.programs...)
	for i, start := range t.floods() {
		flood := workload.Flood(floodOrganisation, t.seed+uint64(i), (i+1)*floodFirstID, rate, start, start+floodLength)
		c.Programs = append(c.Programs, flood...)
	}
	return c
}

// floodRatio is the worst 95th percentile of another organisation during the
// floods, relative to the same programs without them.
func (t *trial) floodRatio(usual, flooded world.Result) float64 {
	worst := 0.0
	for organisation := range t.deployment.Shares {
		if organisation == floodOrganisation {
			continue
		}
		without := t.duringFloods(usual, organisation)
		with := t.duringFloods(flooded, organisation)
		if len(without) > 0 {
			worst = max(worst, quantile(latencies(with), upper)/quantile(latencies(without), upper))
		}
	}
	return worst
}

func (t *trial) duringFloods(r world.Result, organisation int) []world.Record {
	records := filter(r.Programs, func(p world.Record) bool { return !p.Flood && p.Organisation == organisation })
	var during []world.Record
	for _, start := range t.floods() {
		during = append(during, between(records, start, start+floodLength)...)
	}
	return during
}

const (
	// recoveryTime is when the 95th percentile must be back after a fault.
	recoveryTime = 20 * time.Second
	// faultPart is the part of a run after which a fault happens, and its length.
	faultPart = 3
)

func (t *trial) faultConfig(n Name, kind world.FaultKind) world.Config {
	c := t.config(n, usualLoad)
	at := t.duration(usualLoad) / faultPart
	c.Fault = world.Fault{Kind: kind, At: at, Until: 2 * at}
	return c
}

// recoveryRatio is the 95th percentile of the programs that arrive after the
// recovery time, until the fault ends, relative to the same programs without it.
func (t *trial) recoveryRatio(usual, faulty world.Result) float64 {
	at := t.duration(usualLoad) / faultPart
	from, until := at+recoveryTime, 2*at
	without := latencies(between(usual.Programs, from, until))
	with := latencies(between(faulty.Programs, from, until))
	return quantile(with, upper) / quantile(without, upper)
}
