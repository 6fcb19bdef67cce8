package experiment

import (
	"math"
	"slices"
	"time"

	"hemlockvale.dev/bench/world"
)

const (
	// warmUpFraction is the fraction of the programs at the start of a run that is not
	// measured, because the queues are still filling.
	warmUpFraction = 0.1
	// maxGoodputSlowdown is the maximum latency of a program that counts as goodput,
	// relative to its unloaded latency. It also defines the load of 100 % (see calibrate).
	maxGoodputSlowdown = 3.0
	// longestFraction is the fraction of the programs that count as the longest. Their
	// mean latency shows whether long programs are starved.
	longestFraction = 0.01
	// reportedQuantile is the quantile of latencies that all tables and bounds use.
	reportedQuantile = 0.95
)

// Summary holds the metrics of one run.
type Summary struct {
	// Mean and P95 are program latencies in seconds.
	Mean float64 `json:"mean_s"`
	P95  float64 `json:"p95_s"`
	// WorstOrganisationP95Slowdown is the largest ratio of an organisation's 95th
	// percentile latency to the 95th percentile of the same programs' unloaded latencies.
	WorstOrganisationP95Slowdown float64 `json:"worst_organisation_p95_slowdown"`
	// SmallOrganisationsP95Slowdown is the same ratio for the combined programs of all
	// organisations that send less than an equal share.
	SmallOrganisationsP95Slowdown float64 `json:"small_organisations_p95_slowdown"`
	// LongestMean is the mean latency of the longest 1 % of programs, in seconds.
	LongestMean float64 `json:"longest_mean_s"`
	// UnloadedMean is the mean latency without queueing, in seconds.
	UnloadedMean float64 `json:"alone_mean_s"`
	// Goodput is the number of programs per second that finished within
	// maxGoodputSlowdown, over the time in which programs arrived.
	Goodput float64 `json:"goodput_per_s"`
	// RecomputedTokens is the number of prompt tokens that were computed although a
	// target had them cached.
	RecomputedTokens float64 `json:"recomputed_tokens"`
	// RefusedWithinRate is the fraction of the calls within the rate that was refused.
	RefusedWithinRate float64 `json:"refused_inside"`
	// RefusedAfterDispatch is the number of refusals by the decider of calls that had been
	// dispatched before.
	RefusedAfterDispatch float64 `json:"refused_late"`
	// AdmittedOverRate is the number of calls admitted above the rate.
	AdmittedOverRate float64 `json:"admitted_over"`
	// RateLimited is the fraction of all calls that the rate limit refused.
	RateLimited float64 `json:"limited"`
	// Abandoned is the number of programs whose callers gave up, or that had not finished
	// when the run reached its time limit.
	Abandoned float64 `json:"abandoned"`
}

// summarise computes the metrics of a run.
func summarise(r world.Result) Summary {
	results := measuredResults(r)
	finished := filter(results, func(p world.ProgramResult) bool { return p.Finished })
	calls := float64(r.Dispatched + r.Refused)
	return Summary{
		Mean:                          mean(latencies(finished)),
		P95:                           quantile(latencies(finished), reportedQuantile),
		WorstOrganisationP95Slowdown:  worstOrganisationSlowdown(finished),
		SmallOrganisationsP95Slowdown: p95Slowdown(ofSmallOrganisations(finished)),
		LongestMean:                   mean(latencies(longestPrograms(finished))),
		UnloadedMean:                  mean(unloadedLatencies(finished)),
		Goodput:                       goodput(r, results),
		RecomputedTokens:              float64(r.RecomputedTokens),
		RefusedWithinRate:             float64(r.Refused) / max(1, calls),
		RefusedAfterDispatch:          float64(r.RefusedAfterDispatch),
		AdmittedOverRate:              float64(r.AdmittedOverLimit),
		RateLimited:                   float64(r.RateLimited) / max(1, calls+float64(r.RateLimited)),
		Abandoned:                     float64(len(results) - len(finished)),
	}
}

// measuredResults returns the results of the programs after the warm-up, without the
// programs of floods.
func measuredResults(r world.Result) []world.ProgramResult {
	normal := filter(r.Programs, func(p world.ProgramResult) bool { return !p.Flood })
	return normal[int(warmUpFraction*float64(len(normal))):]
}

// filter returns the results for which keep returns true.
func filter(results []world.ProgramResult, keep func(world.ProgramResult) bool) []world.ProgramResult {
	var kept []world.ProgramResult
	for _, r := range results {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// latencies returns the latencies of the programs in seconds.
func latencies(results []world.ProgramResult) []float64 {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = r.Latency.Seconds()
	}
	return values
}

// unloadedLatencies returns the unloaded latencies of the programs in seconds.
func unloadedLatencies(results []world.ProgramResult) []float64 {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = r.UnloadedLatency.Seconds()
	}
	return values
}

// longestPrograms returns the programs with the largest unloaded latencies.
func longestPrograms(results []world.ProgramResult) []world.ProgramResult {
	sorted := slices.Clone(results)
	slices.SortStableFunc(sorted, func(a, b world.ProgramResult) int { return int(b.UnloadedLatency - a.UnloadedLatency) })
	return sorted[:int(math.Ceil(longestFraction*float64(len(sorted))))]
}

// goodput returns the rate of programs that finished within maxGoodputSlowdown, per
// second.
func goodput(r world.Result, results []world.ProgramResult) float64 {
	if len(results) == 0 {
		return 0
	}
	good := 0
	for _, p := range results {
		if p.Finished && p.Latency.Seconds() <= maxGoodputSlowdown*p.UnloadedLatency.Seconds() {
			good++
		}
	}
	return float64(good) / (r.LastArrival - results[0].Arrival).Seconds()
}

// worstOrganisationSlowdown returns the largest p95Slowdown of an organisation.
func worstOrganisationSlowdown(results []world.ProgramResult) float64 {
	worst := 0.0
	for organisation := range organisationCount(results) {
		programs := filter(results, func(r world.ProgramResult) bool { return r.Organisation == organisation })
		if len(programs) == 0 {
			continue
		}
		worst = max(worst, p95Slowdown(programs))
	}
	return worst
}

// p95Slowdown returns the 95th percentile of the latencies relative to that of the
// unloaded latencies.
func p95Slowdown(results []world.ProgramResult) float64 {
	return quantile(latencies(results), reportedQuantile) / quantile(unloadedLatencies(results), reportedQuantile)
}

// ofSmallOrganisations returns the programs of the organisations that send less than
// an equal share.
func ofSmallOrganisations(results []world.ProgramResult) []world.ProgramResult {
	counts := make([]int, organisationCount(results))
	for _, r := range results {
		counts[r.Organisation]++
	}
	equalShare := len(results) / max(1, len(counts))
	return filter(results, func(r world.ProgramResult) bool { return counts[r.Organisation] < equalShare })
}

// organisationCount returns the largest index of an organisation plus 1.
func organisationCount(results []world.ProgramResult) int {
	highest := -1
	for _, r := range results {
		highest = max(highest, r.Organisation)
	}
	return highest + 1
}

// mean returns the mean of the values, or 0 if there are none.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(1, float64(len(values)))
}

// quantile returns the q-quantile of the values, interpolated linearly between the
// nearest ranks, or 0 if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := q * float64(len(sorted)-1)
	low := int(rank)
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (rank-float64(low))*(sorted[high]-sorted[low])
}

// arrivedBetween returns the programs that arrived in [from, until).
func arrivedBetween(results []world.ProgramResult, from, until time.Duration) []world.ProgramResult {
	return filter(results, func(r world.ProgramResult) bool { return r.Arrival >= from && r.Arrival < until })
}
