// Package workload describes the deployments and generates agent programs.
package workload

import (
	"time"

	"hemlockvale.dev/bench/engine"
	"hemlockvale.dev/coord/placement"
)

// Deployment is the part of a deployment that matters to the policy.
type Deployment struct {
	Name string
	// Weights are those of the deployment's profiles.
	Weights placement.Weights
	// Shares are the organisations' parts of the programs; they add up to 1.
	Shares []float64
	// Targets and Entries are the numbers of engine workers and entry VMs.
	Targets, Entries int
	// Engine describes each target.
	Engine engine.Config
	// ClientDelay and TargetDelay are one-way network delays.
	ClientDelay, TargetDelay time.Duration
}

func workers() engine.Config {
	return engine.Config{
		MaxBatch:     16,
		StepTime:     20 * time.Millisecond,
		SequenceTime: 250 * time.Microsecond,
		TokenTime:    100 * time.Microsecond,
		ChunkTokens:  512,
		KVCapacity:   200_000,
	}
}

// Villarreal weighs program latency.
func Villarreal() Deployment {
	return Deployment{
		Name:        "villarreal",
		Weights:     placement.Weights{Latency: 1, Fairness: 0.25},
		Shares:      []float64{0.28, 0.22, 0.16, 0.09, 0.08, 0.07, 0.06, 0.04},
		Targets:     8,
		Entries:     16,
		Engine:      workers(),
		ClientDelay: time.Millisecond,
		TargetDelay: time.Millisecond,
	}
}

// Krukpunt weighs the worst-served organisation.
func Krukpunt() Deployment {
	return Deployment{
		Name:        "krukpunt",
		Weights:     placement.Weights{Latency: 0.5, Fairness: 1},
		Shares:      []float64{0.35, 0.25, 0.12, 0.08, 0.07, 0.06, 0.04, 0.03},
		Targets:     8,
		Entries:     16,
		Engine:      workers(),
		ClientDelay: time.Millisecond,
		TargetDelay: 500 * time.Microsecond,
	}
}

// Deployments returns both deployments.
func Deployments() []Deployment {
	return []Deployment{Villarreal(), Krukpunt()}
}
