package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestProbe guards against a probe that leaves files in the directory, and against a
// probe that reports an unwritable directory as usable.
func TestProbe(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	require.NoError(t, Probe(dir))
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Empty(t, files)
	regularFile := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(regularFile, nil, 0o600))
	assert.Error(t, Probe(regularFile))
	require.NoError(t, os.MkdirAll(filepath.Join(dir, probeFile), 0o700))
	assert.Error(t, Probe(dir), "a directory has the name of the probe file")
}
