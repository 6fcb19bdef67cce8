package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hemlockvale.dev/coord/memquota"
	"hemlockvale.dev/server/settings"
)

// TestMemoryLimits guards against a soft limit that leaves no room below the limit at which the
// process is killed, and against a quota that leaves none below the soft limit.
func TestMemoryLimits(t *testing.T) {
	for _, mb := range []int64{120, 144, 154, 206, 244, 280} {
		limit, quota := memoryLimit(mb), memoryQuota(settings.NodeVM{MemoryMB: mb})
		assert.Less(t, limit, mb<<20*3/4, "%d MB", mb)
		assert.LessOrEqual(t, quota, limit/2, "%d MB", mb)
	}
	assert.Zero(t, memoryLimit(0))
	assert.Equal(t, memquota.Total(0), memoryQuota(settings.NodeVM{}))
	assert.EqualValues(t, 5<<20, memoryQuota(settings.NodeVM{MemoryMB: 120, BufferQuotaMB: 5}))
}
