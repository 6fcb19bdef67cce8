package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"

	"hemlockvale.dev/bench/world"
)

// Measure names a figure that is bounded.
type Measure string

// Bound is the target of a measure: the median over the seeds must not exceed
// AtMost or fall below AtLeast.
type Bound struct {
	Measure Measure  `json:"measure"`
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
}

func (b Bound) met(value float64) bool {
	return (b.AtMost == nil || value <= *b.AtMost) && (b.AtLeast == nil || value >= *b.AtLeast)
}

func (b Bound) String() string {
	if b.AtLeast != nil {
		return fmt.Sprintf(">= %g", *b.AtLeast)
	}
	if b.AtMost != nil {
		return fmt.Sprintf("<= %g", *b.AtMost)
	}
	return "none"
}

//go:embed bounds.json
var boundsFile []byte

// Bounds returns the committed bounds.
func Bounds() ([]Bound, error) {
	var file struct {
		Bounds []Bound `json:"bounds"`
	}
	if err := json.Unmarshal(boundsFile, &file); err != nil {
		return nil, fmt.Errorf("bounds.json: %w", err)
	}
	return file.Bounds, nil
}

type measure struct {
	name  Measure
	value func(outcome) float64
}

// measures lists all figures of a trial that are bounded or shown for comparison.
func measures(o Options) []measure {
	list := []measure{
		{"p95_vs_prefix_affinity_85", ratio(p95, PrefixAffinity, 0.85)},
		{"p95_vs_prefix_affinity_100", ratio(p95, PrefixAffinity, 1)},
		{"p95_vs_prefix_affinity_110", ratio(p95, PrefixAffinity, 1.1)},
		{"mean_vs_prefix_affinity_85", ratio(meanLatency, PrefixAffinity, 0.85)},
		{"mean_vs_prefix_affinity_100", ratio(meanLatency, PrefixAffinity, 1)},
		{"mean_vs_prefix_affinity_110", ratio(meanLatency, PrefixAffinity, 1.1)},
		{"p95_vs_least_outstanding_85", ratio(p95, LeastOutstanding, 0.85)},
		{"mean_vs_no_queueing_85", func(out outcome) float64 {
			s := out.runs[cell{Policy, 0.85}]
			return s.Mean / s.AloneMean
		}},
		{"longest_vs_prefix_affinity_100", ratio(func(s Summary) float64 { return s.LongestMean }, PrefixAffinity, 1)},
		{"flood_worst_organisation_p95", func(out outcome) float64 { return out.flood[Policy] }},
		{"recomputed_vs_least_outstanding_85", ratio(func(s Summary) float64 { return s.RecomputedTokens }, LeastOutstanding, 0.85)},
		{"refused_inside", refusedInside},
		{"admitted_over", admittedOver},
		{"goodput_110_vs_100", func(out outcome) float64 {
			return out.runs[cell{Policy, 1.1}].Goodput / out.runs[cell{Policy, 1}].Goodput
		}},
		{"refused_late_110", func(out outcome) float64 { return out.runs[cell{Policy, 1.1}].RefusedLate }},
		{"worst_organisation_slowdown_100", func(out outcome) float64 { return out.runs[cell{Policy, 1}].WorstP95 }},
	}
	if slices.Contains(o.FloodNames, PrefixAffinity) {
		list = append(list, measure{"flood_worst_organisation_p95_prefix_affinity", func(out outcome) float64 { return out.flood[PrefixAffinity] }})
	}
	for _, kind := range o.Faults {
		list = append(list, measure{faultMeasure[kind], func(out outcome) float64 { return out.recoveries[kind] }})
	}
	return list
}

var faultMeasure = map[world.FaultKind]Measure{
	world.TargetLost:      "target_lost_p95",
	world.TargetSlow:      "target_slow_p95",
	world.EntryLost:       "entry_lost_p95",
	world.CacheEventsStop: "cache_events_stop_p95",
}

func p95(s Summary) float64 { return s.P95 }

func meanLatency(s Summary) float64 { return s.Mean }

func ratio(of func(Summary) float64, baseline Name, load float64) func(outcome) float64 {
	return func(out outcome) float64 {
		return of(out.runs[cell{Policy, load}]) / of(out.runs[cell{baseline, load}])
	}
}

// refusedInside is the largest part over all loads and the floods.
func refusedInside(out outcome) float64 {
	largest := out.flooded.RefusedInside
	for c, s := range out.runs {
		if c.name == Policy {
			largest = max(largest, s.RefusedInside)
		}
	}
	return largest
}

func admittedOver(out outcome) float64 {
	sum := out.flooded.AdmittedOver
	for c, s := range out.runs {
		if c.name == Policy {
			sum += s.AdmittedOver
		}
	}
	return sum
}
