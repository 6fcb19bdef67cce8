package registry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockvale.dev/server/rpc"
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
	// maxPeers bounds the entries that are named to one that can't reach targets.
	maxPeers = 8
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

// entryCount returns the number of entries that reported recently; 0 while this control VM has
// just started and may not have heard of all of them yet.
func (g *Registry) entryCount() int {
	if time.Since(g.started) < listingDelay {
		return 0
	}
	return len(g.liveVMs("entry"))
}

// handleEntries returns entries that can take the requests of one that can't reach targets. A
// control VM that has just started names none: it may not have heard of all of them yet.
func (g *Registry) handleEntries(_ context.Context, params json.RawMessage) (any, error) {
	var r EntriesRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "entries: %v", err)
	}
	if time.Since(g.started) < listingDelay {
		return nil, rpc.Errorf("unavailable", "%v", ErrNoEntries)
	}
	response := EntriesResponse{Addresses: []string{}}
	for _, vm := range choosePeers(g.liveVMs("entry"), r.Node, r.DataCentre) {
		response.Addresses = append(response.Addresses, vm.RPCAddress)
	}
	return response, nil
}

// choosePeers returns entries that can reach targets, in random order: those in the data
// centre of the VM that asks if they are at least as many as the isolated ones there, and
// otherwise all, so that the requests of many do not meet at a few.
func choosePeers(vms []VM, node, dataCentre string) []VM {
	var all, local []VM
	isolated := 0
	for _, vm := range vms {
		switch {
		case vm.Isolated && vm.DataCentre == dataCentre:
			isolated++
		case vm.Isolated || vm.Draining || vm.Node == node:
		default:
			all = append(all, vm)
			if vm.DataCentre == dataCentre {
				local = append(local, vm)
			}
		}
	}
	if len(local) > 0 && len(local) >= isolated {
		all = local
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxPeers)]
}

// chooseEntries selects the entries in the caller's data centre if there are enough of
// them, because traffic between data centres costs money, and otherwise all entries.
// Draining entries are left out, and so are those that can't reach targets unless there are
// no others. If the selection is too long, a stable subset is returned.
func chooseEntries(vms []VM, dataCentre string) []VM {
	someReach := slices.ContainsFunc(vms, func(vm VM) bool { return !vm.Draining && !vm.Isolated })
	var selected, local []VM
	for _, vm := range vms {
		if vm.Draining || vm.Isolated && someReach {
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
