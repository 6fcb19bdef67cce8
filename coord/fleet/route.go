package fleet

import (
	"cmp"
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

// EntriesFor returns up to n entry VMs that are not draining: the ones that
// rank highest for the organisation by rendezvous hash, taken from the data
// centres in turn. The subset changes little when VMs come and go.
func (s *State) EntriesFor(organisation string, n int) []VM {
	type ranked struct {
		vm    *VM
		score uint64
	}
	byDataCentre := make(map[string][]ranked)
	for _, vm := range s.current.Load().vms {
		if vm.Role == RoleEntry && !vm.Draining {
			byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], ranked{vm, hashPair(organisation, vm.ID)})
		}
	}
	var groups [][]ranked
	for _, g := range byDataCentre {
		slices.SortFunc(g, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
		})
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b []ranked) int {
		return cmp.Or(cmp.Compare(b[0].score, a[0].score), cmp.Compare(a[0].vm.ID, b[0].vm.ID))
	})
	var out []VM
	for round := 0; len(out) < n; round++ {
		before := len(out)
		for _, g := range groups {
			if round < len(g) && len(out) < n {
				out = append(out, *g[round].vm)
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
