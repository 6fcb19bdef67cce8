package entry

import (
	"sync/atomic"

	"hemlockvale.dev/coord/fleet"
)

// entitlements caches each organisation's share of all contracted rates. The shares are
// computed once per revision of the configuration.
type entitlements struct {
	current atomic.Pointer[entitlementTable]
}

// entitlementTable holds the shares, by organisation, at one revision.
type entitlementTable struct {
	revision uint64
	shares   map[string]float64
}

// share returns the organisation's share, from 0 to 1. It is 0 if the organisation's
// rate is unlimited.
func (e *entitlements) share(state *fleet.State, organisation string) float64 {
	table := e.current.Load()
	if table == nil || table.revision != state.Revision() {
		table = newEntitlementTable(state)
		e.current.Store(table)
	}
	return table.shares[organisation]
}

func newEntitlementTable(state *fleet.State) *entitlementTable {
	table := &entitlementTable{revision: state.Revision(), shares: make(map[string]float64)}
	totalRate := 0.0
	for _, organisation := range state.Organisations() {
		profile, ok := state.Profile(organisation.Profile)
		if !ok {
			continue
		}
		table.shares[organisation.ID] = profile.Limits.RatePerSecond
		totalRate += profile.Limits.RatePerSecond
	}
	for id, rate := range table.shares {
		if totalRate > 0 {
			table.shares[id] = rate / totalRate
		}
	}
	return table
}
