package node

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestInterruptedFirstStart guards against a VM that takes no part in forming its group because
// its process ended before, and against one that does so later: with another disk, or after
// the group has formed.
func TestInterruptedFirstStart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	require.NoError(t, os.Mkdir(dir, 0o700))
	takesPart := func(firstStart bool) bool {
		t.Helper()
		takesPart, err := takesPartInFormation(dir, firstStart)
		require.NoError(t, err)
		return takesPart
	}
	assert.False(t, takesPart(false), "a VM that is added later")
	assert.True(t, takesPart(true))
	assert.True(t, takesPart(false), "the process has ended before")
	require.NoError(t, os.RemoveAll(dir))
	require.NoError(t, os.Mkdir(dir, 0o700))
	assert.False(t, takesPart(false), "with an empty disk")
	assert.True(t, takesPart(true))
	require.NoError(t, endFormation(dir))
	assert.False(t, takesPart(false), "the group has formed")
	require.NoError(t, endFormation(dir))

	takes, err := takesPartInFormation(filepath.Join(dir, "absent"), true)
	assert.True(t, takes, "the settings count if the disk takes no writes")
	assert.Error(t, err)
}
