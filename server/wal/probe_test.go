package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a probe that fills the directory, and against one that
// reports a directory as usable which takes no writes.
func TestProbe(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	require.NoError(t, Probe(dir))
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Empty(t, files)
	inTheWay := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(inTheWay, nil, 0o600))
	assert.Error(t, Probe(inTheWay))
	require.NoError(t, os.MkdirAll(filepath.Join(dir, probeFile), 0o700))
	assert.Error(t, Probe(dir), "the file cannot be written")
}
