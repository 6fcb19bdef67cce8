package registry

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrNoEntries reports that this control VM cannot list entries now, because it knows
// none or has just started.
var ErrNoEntries = errors.New("no entry has reported")

const (
	// maxListedEntries bounds the number of addresses in one response.
	maxListedEntries = 64
	// minLocalEntries is the smallest number of entries in the caller's data centre
	// at which the entries of other data centres are left out. With 3 entries, the loss
	// of one or two leaves the caller at least one.
	minLocalEntries = 3
	// minWarmEntries is the number of entries in the caller's data centre up to which all
	// are listed. Of more, half are listed: each then has enough requests to keep its
	// connections to targets open, and the others replace those that are lost.
	minWarmEntries = 24
)

// Entries returns the addresses that a caller in a data centre should use, and how
// long the caller may use them. It returns ErrNoEntries if there are none.
func (g *Registry) Entries(dataCentre string) ([]string, time.Duration, error) {
	if time.Since(g.started) < listingDelay {
		return nil, 0, ErrNoEntries
	}
	listed := chooseEntries(g.liveVMs("entry"), dataCentre)
	if len(listed) == 0 {
		return nil, 0, ErrNoEntries
	}
	addresses := make([]string, len(listed))
	for i, vm := range listed {
		addresses[i] = vm.CallerAddress
	}
	return addresses, g.options.AddressLifetime, nil
}

// chooseEntries selects the entries in the caller's data centre if there are enough of
// them, because traffic between data centres costs money, and otherwise all entries.
// Draining entries are left out. If the selection is too long, a stable subset is
// returned.
func chooseEntries(vms []VM, dataCentre string) []VM {
	var selected, local []VM
	for _, vm := range vms {
		if vm.Draining {
			continue
		}
		selected = append(selected, vm)
		if vm.DataCentre == dataCentre {
			local = append(local, vm)
		}
	}
	limit := maxListedEntries
	if len(local) >= minLocalEntries {
		selected = local
		limit = min(limit, max(minWarmEntries, len(local)/2))
	}
	if len(selected) > limit {
		slices.SortFunc(selected, func(a, b VM) int { return compareEntries(dataCentre, a, b) })
		selected = selected[:limit]
	}
	return selected
}

// compareEntries orders entries by rendezvous hash, those in the caller's data centre
// first.
func compareEntries(dataCentre string, a, b VM) int {
	if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
		if a.DataCentre == dataCentre {
			return -1
		}
		return 1
	}
	hashA, hashB := xxhash.Sum64String(dataCentre+a.Node), xxhash.Sum64String(dataCentre+b.Node)
	if hashA != hashB {
		if hashA < hashB {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Node, b.Node)
}
