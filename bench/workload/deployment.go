// Package workload describes the simulated deployments and generates agent programs.
package workload

import (
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/coord/placement"
)

// Deployment holds the properties of a deployment that affect placement.
type Deployment struct {
	// Name identifies the deployment in reports.
	Name string
	// Weights are the weights of the deployment's profiles.
	Weights placement.Weights
	// Shares are the organisations' fractions of the programs; they add up to 1.
	Shares []float64
	// Targets and Entries are the numbers of targets and of entry VMs.
	Targets, Entries int
	// Engine describes the engine of each target.
	Engine engine.Config
	// ClientDelay and TargetDelay are the one-way network delays from callers to entries
	// and from entries to targets.
	ClientDelay, TargetDelay time.Duration
}

// engineConfig returns the engine that the targets of all deployments use.
func engineConfig() engine.Config {
	return engine.Config{
		MaxBatch:         16,
		StepTime:         20 * time.Millisecond,
		DecodeCallTime:   250 * time.Microsecond,
		PrefillTokenTime: 100 * time.Microsecond,
		ChunkTokens:      512,
		KVCapacity:       200_000,
	}
}

// Villarreal returns the deployment that gives program latency the larger weight.
func Villarreal() Deployment {
	return Deployment{
		Name:        "villarreal",
		Weights:     placement.Weights{Latency: 1, Fairness: 0.25},
		Shares:      []float64{0.28, 0.22, 0.16, 0.09, 0.08, 0.07, 0.06, 0.04},
		Targets:     8,
		Entries:     16,
		Engine:      engineConfig(),
		ClientDelay: time.Millisecond,
		TargetDelay: time.Millisecond,
	}
}

// Krukpunt returns the deployment that gives fairness, and thus the worst-served
// organisation, the larger weight.
func Krukpunt() Deployment {
	return Deployment{
		Name:        "krukpunt",
		Weights:     placement.Weights{Latency: 0.5, Fairness: 1},
		Shares:      []float64{0.35, 0.25, 0.12, 0.08, 0.07, 0.06, 0.04, 0.03},
		Targets:     8,
		Entries:     16,
		Engine:      engineConfig(),
		ClientDelay: time.Millisecond,
		TargetDelay: 500 * time.Microsecond,
	}
}

// Deployments returns all deployments.
func Deployments() []Deployment {
	return []Deployment{Villarreal(), Krukpunt()}
}
