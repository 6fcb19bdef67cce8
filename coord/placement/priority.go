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

// priority is the order of waiting requests: the profile's class first, then
// the level.
func priority(r *Request, level float64) int {
	return r.Priority*classStride + int(level*levels)
}

// level orders requests within a class from 0 (first) to 1. Least attained
// service of the program shortens most programs; a small share of the recent
// tokens favours small organisations. The profile weighs the two. Use above the
// organisation's entitlement counts in every profile, so that a flood waits
// behind the organisations within their rate.
func level(p *Policy, r *Request) float64 {
	latency, fairness := max(0, r.Weights.Latency), max(0, r.Weights.Fairness)
	if latency+fairness == 0 {
		latency = 1
	}
	attained := math.Log2(1+float64(max(0, r.AttainedTokens))/attainedUnit) / attainedRange
	share := p.ShareScale * max(0, r.OrganisationShare)
	goal := (latency*min(1, attained) + fairness*min(1, share)) / (latency + fairness)
	return (goal + p.ExcessWeight*excess(r)) / (1 + p.ExcessWeight)
}

// excess is the organisation's use above its entitlement, relative to it, and
// at most 1. It is 0 if the entitlement is unknown.
func excess(r *Request) float64 {
	if r.OrganisationEntitlement <= 0 {
		return 0
	}
	return min(1, max(0, r.OrganisationShare/r.OrganisationEntitlement-1))
}
