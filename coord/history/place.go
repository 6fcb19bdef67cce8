package history

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Preference tells which VMs should hold a record, if possible.
type Preference struct {
	// Holders are the storages that hold the previous turn. They already have most of the
	// record.
	Holders []string
	// DataCentre is the data centre of the VM that writes the record. Traffic between data
	// centres costs money.
	DataCentre string
}

// Candidates returns all VMs that may hold the record of a turn, the most suitable first.
// The first ones are spread over as many data centres as possible, so that a record
// survives the loss of one.
func Candidates(stores []Store, t Turn, p Preference) []Store {
	ordered := make([]Store, 0, len(stores))
	for _, s := range stores {
		if !s.Retiring && s.Storage != "" && s.Address != "" {
			ordered = append(ordered, s)
		}
	}
	slices.SortFunc(ordered, func(a, b Store) int {
		return cmp.Or(
			preferTrue(slices.Contains(p.Holders, a.Storage), slices.Contains(p.Holders, b.Storage)),
			preferTrue(a.DataCentre == p.DataCentre, b.DataCentre == p.DataCentre),
			cmp.Compare(rendezvousHash(t, a), rendezvousHash(t, b)),
			cmp.Compare(a.Storage, b.Storage),
		)
	})
	return spread(ordered)
}

// preferTrue orders true before false.
func preferTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func rendezvousHash(t Turn, s Store) uint64 { return xxhash.Sum64String(s.Storage + t.String()) }

// spread returns the VMs in rounds: each round takes the first remaining VM of each data
// centre, in the given order.
func spread(ordered []Store) []Store {
	// nextRound holds, by data centre, the round of its next VM.
	nextRound := make(map[string]int)
	rounds := make([]int, len(ordered))
	for i, s := range ordered {
		rounds[i] = nextRound[s.DataCentre]
		nextRound[s.DataCentre]++
	}
	positions := make([]int, len(ordered))
	for i := range positions {
		positions[i] = i
	}
	slices.SortStableFunc(positions, func(a, b int) int { return cmp.Compare(rounds[a], rounds[b]) })
	result := make([]Store, len(ordered))
	for i, position := range positions {
		result[i] = ordered[position]
	}
	return result
}

// Resolve returns the VMs that have the given storages, in that order, and the storages
// that no VM has.
func Resolve(stores []Store, storages []string) (found []Store, absent []string) {
	for _, storage := range storages {
		i := slices.IndexFunc(stores, func(s Store) bool { return s.Storage == storage })
		if i < 0 {
			absent = append(absent, storage)
			continue
		}
		found = append(found, stores[i])
	}
	return found, absent
}
