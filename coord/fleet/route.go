package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// RoleEntry is the role of VMs that accept requests from callers and own shards.
const RoleEntry = "entry"

// RoleControl is the role of VMs that replicate the configuration.
const RoleControl = "control"

// ShardOf returns the shard of a program, or of an organisation's rate-limit bucket
// if program is empty. The program of a sub-agent has an id of the form
// parent/child and is in its parent's shard, because the root program's budget
// covers it.
func ShardOf(shards int, organisation, program string) int {
	if shards <= 0 {
		return 0
	}
	root, _, _ := strings.Cut(program, "/")
	return int(hashPair(organisation, root) % uint64(shards))
}

// hashPair hashes two strings. A separator byte gives ("ab","c") and ("a","bc")
// different hashes.
func hashPair(a, b string) uint64 {
	var buf [96]byte
	data := append(buf[:0], a...)
	data = append(data, 0)
	data = append(data, b...)
	return xxhash.Sum64(data)
}

// scoredVM is a VM with its rendezvous-hashing score for an organisation.
type scoredVM struct {
	vm    *VM
	score uint64
}

// compareScores orders the highest score first, and equal scores by id.
func compareScores(a, b scoredVM) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
}

// EntriesFor returns up to n entry VMs that are not draining. It selects the VMs
// with the highest rendezvous-hashing scores for the organisation, from each data
// centre in turn. Few VMs of the selection change when a VM is added or removed.
func (s *State) EntriesFor(organisation string, n int) []VM {
	byID := s.current.Load().vms
	n = min(n, len(byID))
	if n <= 0 {
		return nil
	}
	topByDataCentre := make(map[string][]scoredVM) // the n highest scores of each data centre, in descending order
	for _, vm := range byID {
		if vm.Role != RoleEntry || vm.Draining {
			continue
		}
		r := scoredVM{vm, hashPair(organisation, vm.ID)}
		group := topByDataCentre[vm.DataCentre]
		if len(group) == n && compareScores(group[n-1], r) < 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(group, r, compareScores)
		group = slices.Insert(group, i, r)
		topByDataCentre[vm.DataCentre] = group[:min(len(group), n)]
	}
	groups := slices.Collect(maps.Values(topByDataCentre))
	slices.SortFunc(groups, func(a, b []scoredVM) int { return compareScores(a[0], b[0]) })
	out := make([]VM, 0, n)
	for rank := range n {
		for _, g := range groups {
			if rank < len(g) && len(out) < n {
				out = append(out, *g[rank].vm)
			}
		}
	}
	return out
}
