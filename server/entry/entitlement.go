package entry

import (
	"sync/atomic"

	"hemlockvale.dev/coord/fleet"
)

// entitlements holds each organisation's part of all contracted rates. It is
// computed once for each revision of the configuration.
type entitlements struct {
	current atomic.Pointer[entitlementTable]
}

type entitlementTable struct {
	revision uint64
	parts    map[string]float64
}

// of returns the organisation's part, from 0 to 1; 0 when its rate is unlimited.
func (e *entitlements) of(state *fleet.State, organisation string) float64 {
	table := e.current.Load()
	if table == nil || table.revision != state.Revision() {
		table = newEntitlementTable(state)
		e.current.Store(table)
	}
	return table.parts[organisation]
}

func newEntitlementTable(state *fleet.State) *entitlementTable {
	table := &entitlementTable{revision: state.Revision(), parts: make(map[string]float64)}
	sum := 0.0
	for _, organisation := range state.Organisations() {
		profile, ok := state.Profile(organisation.Profile)
		if !ok {
			continue
		}
		table.parts[organisation.ID] = profile.Limits.RatePerSecond
		sum += profile.Limits.RatePerSecond
	}
	for id, rate := range table.parts {
		if sum > 0 {
			table.parts[id] = rate / sum
		}
	}
	return table
}
