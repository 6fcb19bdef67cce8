package placement

import "math"

const (
	// classStride separates the priority classes of profiles: the rules below
	// order requests within a class only.
	classStride = 10000
	// levels is the resolution of the order within a class.
	levels = 5000
	// attainedUnit is the attained service below which programs count as new.
	attainedUnit = 500
	// attainedRange is the number of doublings of attainedUnit that are told apart.
	attainedRange = 12
)

// priority orders waiting requests: the profile's class first, then least
// attained service of the program and least recent use by the organisation,
// weighed by the profile.
func priority(r Request) int {
	latency, fairness := max(0, r.Weights.Latency), max(0, r.Weights.Fairness)
	if latency+fairness == 0 {
		latency = 1
	}
	attained := math.Log2(1+float64(max(0, r.AttainedTokens))/attainedUnit) / attainedRange
	share := min(1, max(0, r.OrganisationShare))
	level := (latency*min(1, attained) + fairness*share) / (latency + fairness)
	return r.Priority*classStride + int(level*levels)
}
