package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	probeFile = "probe" + temporarySuffix
	// probeBytes is more than any single write of the log but a snapshot.
	probeBytes = 256 << 10
)

// Probe says whether the directory takes writes now. It creates the directory
// if it does not exist, and leaves nothing else behind.
func Probe(dir string) (err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	path := filepath.Join(dir, probeFile)
	defer func() {
		if removal := os.Remove(path); removal != nil && !errors.Is(removal, os.ErrNotExist) {
			err = errors.Join(err, removal)
		}
	}()
	if err := os.WriteFile(path, make([]byte, probeBytes), 0o600); err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	return nil
}
