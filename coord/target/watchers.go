package target

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxWatchers is how many entries watch a target. At 2,500 entries it bounds
// the announcements that each of them receives.
const MaxWatchers = 24

// Watchers returns the n entries that rank highest for the target by rendezvous
// hash. All entries compute the same result from the same list, and a change of
// the list moves only the watchers that it must.
func Watchers(id string, entries []string, n int) []string {
	type ranked struct {
		entry string
		score uint64
	}
	all := make([]ranked, 0, len(entries))
	for _, e := range entries {
		all = append(all, ranked{e, score(id, e)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return strings.Compare(a.entry, b.entry)
	})
	chosen := make([]string, 0, min(n, len(all)))
	for _, r := range all[:min(n, len(all))] {
		chosen = append(chosen, r.entry)
	}
	return chosen
}

// score separates the two names by a zero byte, so that no other pair has the same input.
func score(id, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
