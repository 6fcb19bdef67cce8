package placement

import "math"

const (
	// classStride is the distance between the priority classes of profiles. It is
	// above ranksPerClass, so that ranks order requests within a class only.
	classStride = 10000
	// ranksPerClass is the number of distinct ranks within a class.
	ranksPerClass = 5000
	// attainedUnitTokens is the attained service below which programs rank as new.
	attainedUnitTokens = 500
	// attainedDoublings is the number of doublings of attainedUnitTokens that the
	// rank distinguishes.
	attainedDoublings = 12
)

// priority returns the priority that is sent to the engine; lower runs first. It
// orders waiting requests by the profile's class and then by rank.
func priority(r *Request, rank float64) int {
	return r.Priority*classStride + int(rank*ranksPerClass)
}

// requestRank returns the request's position within its class, from 0 (first) to 1.
// Serving the program with the least attained service first shortens most
// programs; serving organisations with a small share of the recent tokens first
// favours small organisations. The profile's weights balance the two. Use above
// the organisation's entitlement counts in every profile, so that a flood of
// requests waits behind the organisations that stay within their rate.
func requestRank(p *Policy, r *Request) float64 {
	latency, fairness := max(0, r.Weights.Latency), max(0, r.Weights.Fairness)
	if latency+fairness == 0 {
		latency = 1
	}
	attained := math.Log2(1+float64(max(0, r.AttainedTokens))/attainedUnitTokens) / attainedDoublings
	share := p.ShareScale * max(0, r.OrganisationShare)
	weighted := (latency*min(1, attained) + fairness*min(1, share)) / (latency + fairness)
	return (weighted + p.ExcessWeight*excess(r)) / (1 + p.ExcessWeight)
}

// excess returns the organisation's use above its entitlement as a fraction of the
// entitlement, at most 1. It is 0 if the entitlement is unknown.
func excess(r *Request) float64 {
	if r.OrganisationEntitlement <= 0 {
		return 0
	}
	return min(1, max(0, r.OrganisationShare/r.OrganisationEntitlement-1))
}
