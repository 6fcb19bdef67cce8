package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	probeFile = "probe" + temporarySuffix
	// probeBytes exceeds the usual size of a write to the log, other than a snapshot.
	probeBytes = 256 << 10
)

// Probe checks that files can be written to a data directory now. It creates the
// directory if it does not exist, and removes the file that it writes. It also removes files that
// an earlier process has not completed, whose room could be what is missing; no log may be open.
func Probe(dir string) (err error) {
	if err := errors.Join(os.MkdirAll(dir, 0o700), removeTemporary(dir)); err != nil {
		return fmt.Errorf("probe data directory: %w", err)
	}
	path := filepath.Join(dir, probeFile)
	defer func() {
		if removeErr := os.Remove(path); removeErr != nil && !errors.Is(removeErr, os.ErrNotExist) {
			err = errors.Join(err, removeErr)
		}
	}()
	if err := os.WriteFile(path, make([]byte, probeBytes), 0o600); err != nil {
		return fmt.Errorf("probe data directory: %w", err)
	}
	return nil
}
