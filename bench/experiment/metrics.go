package experiment

import (
	"math"
	"slices"
	"time"

	"hemlockvale.dev/bench/world"
)

const (
	// warmUp is the part of the programs that is not measured while the system
	// fills up.
	warmUp = 0.1
	// inTime is how many times its unloaded latency a program may take to count
	// as goodput. It is also the factor that defines a load of 100 %.
	inTime = 3.0
	// tail is the part of the longest programs whose starvation is measured.
	tail = 0.01
	// upper is the percentile that all tables and bounds use.
	upper = 0.95
)

// Summary holds the figures of one run.
type Summary struct {
	// Mean and P95 are program latencies in seconds.
	Mean float64 `json:"mean_s"`
	P95  float64 `json:"p95_s"`
	// WorstP95 is the largest ratio of an organisation's 95th percentile to that
	// of the same programs without queueing.
	WorstP95 float64 `json:"worst_organisation_p95_slowdown"`
	// SmallP95 is the same ratio for the programs of all organisations that send
	// less than an equal share.
	SmallP95 float64 `json:"small_organisations_p95_slowdown"`
	// LongestMean is the mean latency of the longest 1 % of programs, in seconds.
	LongestMean float64 `json:"longest_mean_s"`
	// AloneMean is the mean latency without queueing, in seconds.
	AloneMean float64 `json:"alone_mean_s"`
	// Goodput is the number of programs per second that finished in time while
	// programs arrived.
	Goodput float64 `json:"goodput_per_s"`
	// RecomputedTokens were computed although some target held them.
	RecomputedTokens float64 `json:"recomputed_tokens"`
	// RefusedInside is the part of the calls within the rate that was refused.
	RefusedInside float64 `json:"refused_inside"`
	// RefusedLate is the number of refusals after a dispatch.
	RefusedLate float64 `json:"refused_late"`
	// AdmittedOver is the number of calls admitted above the rate.
	AdmittedOver float64 `json:"admitted_over"`
	// Limited is the part of all calls that the rate limit refused.
	Limited float64 `json:"limited"`
	// Abandoned is the number of programs whose caller gave up.
	Abandoned float64 `json:"abandoned"`
}

func summarise(r world.Result) Summary {
	records := measured(r)
	finished := filter(records, func(p world.Record) bool { return p.Finished })
	calls := float64(r.Dispatched + r.Refused)
	return Summary{
		Mean:             mean(latencies(finished)),
		P95:              quantile(latencies(finished), upper),
		WorstP95:         worstSlowdown(finished),
		SmallP95:         slowdown(smallOrganisations(finished)),
		LongestMean:      mean(latencies(longest(finished))),
		AloneMean:        mean(alone(finished)),
		Goodput:          goodput(r, records),
		RecomputedTokens: float64(r.Recomputed),
		RefusedInside:    float64(r.Refused) / max(1, calls),
		RefusedLate:      float64(r.RefusedLate),
		AdmittedOver:     float64(r.AdmittedOver),
		Limited:          float64(r.Limited) / max(1, calls+float64(r.Limited)),
		Abandoned:        float64(len(records) - len(finished)),
	}
}

// measured returns the usual programs after the warm-up.
func measured(r world.Result) []world.Record {
	usual := filter(r.Programs, func(p world.Record) bool { return !p.Flood })
	return usual[int(warmUp*float64(len(usual))):]
}

func filter(records []world.Record, keep func(world.Record) bool) []world.Record {
	var kept []world.Record
	for _, r := range records {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

func latencies(records []world.Record) []float64 {
	values := make([]float64, len(records))
	for i, r := range records {
		values[i] = r.Latency.Seconds()
	}
	return values
}

func alone(records []world.Record) []float64 {
	values := make([]float64, len(records))
	for i, r := range records {
		values[i] = r.Alone.Seconds()
	}
	return values
}

// longest returns the programs with the most service of their own.
func longest(records []world.Record) []world.Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b world.Record) int { return int(b.Alone - a.Alone) })
	return sorted[:int(math.Ceil(tail*float64(len(sorted))))]
}

func goodput(r world.Result, records []world.Record) float64 {
	if len(records) == 0 {
		return 0
	}
	good := 0
	for _, p := range records {
		if p.Finished && p.Latency.Seconds() <= inTime*p.Alone.Seconds() {
			good++
		}
	}
	return float64(good) / (r.LastArrival - records[0].Arrival).Seconds()
}

func worstSlowdown(records []world.Record) float64 {
	worst := 0.0
	for organisation := range organisations(records) {
		own := filter(records, func(r world.Record) bool { return r.Organisation == organisation })
		if len(own) == 0 {
			continue
		}
		worst = max(worst, slowdown(own))
	}
	return worst
}

func slowdown(records []world.Record) float64 {
	return quantile(latencies(records), upper) / quantile(alone(records), upper)
}

func smallOrganisations(records []world.Record) []world.Record {
	programs := make([]int, organisations(records))
	for _, r := range records {
		programs[r.Organisation]++
	}
	equal := len(records) / max(1, len(programs))
	return filter(records, func(r world.Record) bool { return programs[r.Organisation] < equal })
}

func organisations(records []world.Record) int {
	most := -1
	for _, r := range records {
		most = max(most, r.Organisation)
	}
	return most + 1
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(1, float64(len(values)))
}

// quantile interpolates between the nearest ranks.
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

// between returns the measured programs that arrived in [from, until).
func between(records []world.Record, from, until time.Duration) []world.Record {
	return filter(records, func(r world.Record) bool { return r.Arrival >= from && r.Arrival < until })
}
