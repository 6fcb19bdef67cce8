package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
)

// TestLeavingTargets guards against memory that grows with each target that leaves, and
// against leaving targets that a replica forgets when it restarts.
func TestLeavingTargets(t *testing.T) {
	known := LeavingTargets{}
	for n := range int64(2 * maxLeaving) {
		assert.True(t, known.Add(catalog.Incarnation{Target: "t", StartedUnixMS: n}))
	}
	assert.Len(t, known.known, maxLeaving)
	assert.False(t, known.Has(catalog.Incarnation{Target: "t"}), "the oldest are forgotten")
	latest := catalog.Incarnation{Target: "t", StartedUnixMS: 2*maxLeaving - 1}
	assert.True(t, known.Has(latest))
	assert.False(t, known.Add(latest))

	s := New()
	s.Apply(Command{Leaving: known.List()[:3]})
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	assert.Equal(t, known.List()[:3], restored.Leaving())
}
