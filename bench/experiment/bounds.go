package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"

	"hemlockvale.dev/bench/world"
)

// Measure names a value that is computed from the outcome of each trial.
type Measure string

// Bound limits a measure: the median over the seeds must not exceed AtMost or fall
// below AtLeast.
type Bound struct {
	// Measure is the measure to which the bound applies.
	Measure Measure `json:"measure"`
	// AtMost is the upper bound; nil means none.
	AtMost *float64 `json:"at_most,omitempty"`
	// AtLeast is the lower bound; nil means none.
	AtLeast *float64 `json:"at_least,omitempty"`
}

// metBy reports whether the value is within the bound.
func (b Bound) metBy(value float64) bool {
	return (b.AtMost == nil || value <= *b.AtMost) && (b.AtLeast == nil || value >= *b.AtLeast)
}

// String returns the bound as a comparison, as in "<= 0.95".
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

// Bounds returns the bounds in bounds.json.
func Bounds() ([]Bound, error) {
	var file struct {
		Bounds []Bound `json:"bounds"`
	}
	if err := json.Unmarshal(boundsFile, &file); err != nil {
		return nil, fmt.Errorf("bounds.json: %w", err)
	}
	return file.Bounds, nil
}

// measureDefinition is a measure with the function that computes it from an outcome.
type measureDefinition struct {
	name  Measure
	value func(outcome) float64
}

// measures returns all measures that are bounded or shown for comparison.
func measures(o Options) []measureDefinition {
	list := []measureDefinition{
		{"p95_vs_prefix_affinity_85", ratio(p95, PrefixAffinity, 0.85)},
		{"p95_vs_prefix_affinity_100", ratio(p95, PrefixAffinity, 1)},
		{"p95_vs_prefix_affinity_110", ratio(p95, PrefixAffinity, 1.1)},
		{"mean_vs_prefix_affinity_85", ratio(meanLatency, PrefixAffinity, 0.85)},
		{"mean_vs_prefix_affinity_100", ratio(meanLatency, PrefixAffinity, 1)},
		{"mean_vs_prefix_affinity_110", ratio(meanLatency, PrefixAffinity, 1.1)},
		{"p95_vs_least_outstanding_85", ratio(p95, LeastOutstanding, 0.85)},
		{"mean_vs_no_queueing_85", func(out outcome) float64 {
			s := out.runs[runKey{Policy, 0.85}]
			return s.Mean / s.UnloadedMean
		}},
		{"longest_vs_prefix_affinity_100", ratio(func(s Summary) float64 { return s.LongestMean }, PrefixAffinity, 1)},
		{"flood_worst_organisation_p95", func(out outcome) float64 { return out.floodRatios[Policy] }},
		{"recomputed_vs_least_outstanding_85", ratio(func(s Summary) float64 { return s.RecomputedTokens }, LeastOutstanding, 0.85)},
		{"refused_inside", refusedWithinRate},
		{"admitted_over", admittedOverRate},
		{"goodput_110_vs_100", func(out outcome) float64 {
			return out.runs[runKey{Policy, 1.1}].Goodput / out.runs[runKey{Policy, 1}].Goodput
		}},
		{"refused_late_110", func(out outcome) float64 { return out.runs[runKey{Policy, 1.1}].RefusedAfterDispatch }},
		{"worst_organisation_slowdown_100", func(out outcome) float64 { return out.runs[runKey{Policy, 1}].WorstOrganisationP95Slowdown }},
	}
	if slices.Contains(o.FloodDeciders, PrefixAffinity) {
		list = append(list, measureDefinition{"flood_worst_organisation_p95_prefix_affinity", func(out outcome) float64 { return out.floodRatios[PrefixAffinity] }})
	}
	for _, kind := range o.Faults {
		list = append(list, measureDefinition{faultMeasures[kind], func(out outcome) float64 { return out.recoveryRatios[kind] }})
	}
	return list
}

// faultMeasures maps each kind of fault to the measure of the recovery from it.
var faultMeasures = map[world.FaultKind]Measure{
	world.TargetLost:      "target_lost_p95",
	world.TargetSlow:      "target_slow_p95",
	world.EntryLost:       "entry_lost_p95",
	world.CacheEventsStop: "cache_events_stop_p95",
}

// p95 returns the 95th percentile of the program latencies.
func p95(s Summary) float64 { return s.P95 }

// meanLatency returns the mean of the program latencies.
func meanLatency(s Summary) float64 { return s.Mean }

// ratio returns a function that computes the value of a metric under the policy
// relative to its value under the baseline, at the given load.
func ratio(metric func(Summary) float64, baseline DeciderName, load float64) func(outcome) float64 {
	return func(out outcome) float64 {
		return metric(out.runs[runKey{Policy, load}]) / metric(out.runs[runKey{baseline, load}])
	}
}

// refusedWithinRate returns the largest fraction of calls within the rate that the
// policy refused, over all loads and the run with floods.
func refusedWithinRate(out outcome) float64 {
	largest := out.floodSummary.RefusedWithinRate
	for key, s := range out.runs {
		if key.decider == Policy {
			largest = max(largest, s.RefusedWithinRate)
		}
	}
	return largest
}

// admittedOverRate returns the number of calls admitted above the rate in all runs of
// the policy at the configured loads and with floods.
func admittedOverRate(out outcome) float64 {
	sum := out.floodSummary.AdmittedOverRate
	for key, s := range out.runs {
		if key.decider == Policy {
			sum += s.AdmittedOverRate
		}
	}
	return sum
}
