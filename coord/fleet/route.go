package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// RoleEntry is the role of VMs that accept callers and own shards.
const RoleEntry = "entry"

// RoleControl is the role of VMs that replicate the configuration.
const RoleControl = "control"

// ShardOf returns the shard of a program, or of an organisation's rate bucket
// when program is empty. A sub-agent's id is parent/child; it shares its
// parent's shard, because the root program's budget covers it.
func ShardOf(shards int, organisation, program string) int {
	if shards <= 0 {
		return 0
	}
	root, _, _ := strings.Cut(program, "/")
	return int(hashPair(organisation, root) % uint64(shards))
}

// hashPair hashes two strings; the separator keeps ("ab","c") and ("a","bc") apart.
func hashPair(a, b string) uint64 {
	var buf [96]byte
	data := append(buf[:0], a...)
	data = append(data, 0)
	data = append(data, b...)
	return xxhash.Sum64(data)
}

// ranked is a VM with its rendezvous score for an organisation.
type ranked struct {
	vm    *VM
	score uint64
}

// compareRanked orders the highest score first.
func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
}

// EntriesFor returns up to n entry VMs that are not draining: the ones that
// rank highest for the organisation by rendezvous hash, taken from the data
// centres in turn. The subset changes little when VMs come and go.
func (s *State) EntriesFor(organisation string, n int) []VM {
	byID := s.current.Load().vms
	n = min(n, len(byID))
	if n <= 0 {
		return nil
	}
	best := make(map[string][]ranked) // the n highest of each data centre, in order
	for _, vm := range byID {
		if vm.Role != RoleEntry || vm.Draining {
			continue
		}
		r := ranked{vm, hashPair(organisation, vm.ID)}
		group := best[vm.DataCentre]
		if len(group) == n && compareRanked(group[n-1], r) < 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(group, r, compareRanked)
		group = slices.Insert(group, i, r)
		best[vm.DataCentre] = group[:min(len(group), n)]
	}
	groups := slices.Collect(maps.Values(best))
	slices.SortFunc(groups, func(a, b []ranked) int { return compareRanked(a[0], b[0]) })
	out := make([]VM, 0, n)
	for place := range n {
		for _, g := range groups {
			if place < len(g) && len(out) < n {
				out = append(out, *g[place].vm)
			}
		}
	}
	return out
}
