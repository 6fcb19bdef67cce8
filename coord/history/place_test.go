package history

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newStores returns n store VMs in three data centres.
func newStores(n int) []Store {
	stores := make([]Store, n)
	for i := range stores {
		stores[i] = Store{Storage: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), DataCentre: string(rune('x' + i%3))}
	}
	return stores
}

// TestCandidatesAreSpread guards against copies that all lie in one data centre, although
// there are others.
func TestCandidatesAreSpread(t *testing.T) {
	for i := range 50 {
		candidates := Candidates(newStores(9), Turn{ID: fmt.Sprint(i)}, Preference{DataCentre: "y"})
		require.Len(t, candidates, 9)
		assert.Equal(t, "y", candidates[0].DataCentre, "the nearest data centre comes first")
		seen := make(map[string]bool)
		for _, c := range candidates[:3] {
			seen[c.DataCentre] = true
		}
		assert.Len(t, seen, 3)
	}
}

// TestCandidatesPreferHolders guards against sending a whole history to other VMs while
// the VMs that hold the previous turn are available, and against using VMs that are
// retiring or serve no histories yet.
func TestCandidatesPreferHolders(t *testing.T) {
	stores := newStores(6)
	stores[4].Retiring, stores[5].Address = true, ""
	candidates := Candidates(stores, Turn{ID: "t"}, Preference{Holders: []string{"s4", "s2", "s0"}, DataCentre: "y"})
	require.Len(t, candidates, 4)
	assert.ElementsMatch(t, []string{"s0", "s2"}, []string{candidates[0].Storage, candidates[1].Storage})
}

// TestLoadIsSpread guards against a hash that favours some VMs.
func TestLoadIsSpread(t *testing.T) {
	counts := make(map[string]int)
	for i := range 3000 {
		counts[Candidates(newStores(10), Turn{ID: fmt.Sprint(i)}, Preference{})[0].Storage]++
	}
	for storage, n := range counts {
		assert.InDelta(t, 300, n, 100, storage)
	}
}

// TestResolve guards against holders that are mixed up with their addresses.
func TestResolve(t *testing.T) {
	found, absent := Resolve(newStores(3), []string{"s2", "gone", "s0"})
	require.Len(t, found, 2)
	assert.Equal(t, "a2", found[0].Address)
	assert.Equal(t, "a0", found[1].Address)
	assert.Equal(t, []string{"gone"}, absent)
}
