package target

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxWatchers is the maximum number of entries that watch one target. It limits the
// announcements that each entry receives in a deployment of 2,500 entries.
const MaxWatchers = 24

// Watchers returns the n entries that rank highest for the target by rendezvous
// hashing. All entries compute the same result from the same list, and a change of
// the list replaces as few watchers as possible.
func Watchers(id string, entries []string, n int) []string {
	type ranked struct {
		entry string
		score uint64
	}
	ranking := make([]ranked, 0, len(entries))
	for _, e := range entries {
		ranking = append(ranking, ranked{e, score(id, e)})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return strings.Compare(a.entry, b.entry)
	})
	chosen := make([]string, 0, min(n, len(ranking)))
	for _, r := range ranking[:min(n, len(ranking))] {
		chosen = append(chosen, r.entry)
	}
	return chosen
}

// score hashes the two names with a zero byte between them, so that no other pair of
// names has the same input.
func score(id, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
