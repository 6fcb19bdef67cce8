package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"hemlockvale.dev/coord/raft"
)

const (
	identityFile    = "identity.json"
	segmentPrefix   = "segment-"
	segmentSuffix   = ".log"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	// firstSegmentNumber is the number of the segment in a new data directory.
	firstSegmentNumber = 1
)

// position is the index and term of the last log entry that a snapshot includes. It
// identifies the snapshot.
type position struct{ index, term uint64 }

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016d%s", segmentPrefix, number, segmentSuffix)
}

func snapshotName(p position) string {
	return fmt.Sprintf("%s%016d-%016d", snapshotPrefix, p.term, p.index)
}

// listSegments returns the numbers of the segments in ascending order.
func listSegments(dir string) ([]uint64, error) {
	return NumberedFiles(dir, segmentPrefix, segmentSuffix)
}

// NumberedFiles returns the numbers in the names of the files that have the prefix and the
// suffix, in ascending order.
func NumberedFiles(dir, prefix, suffix string) ([]uint64, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, f := range files {
		digits, hasPrefix := strings.CutPrefix(f.Name(), prefix)
		digits, hasSuffix := strings.CutSuffix(digits, suffix)
		if !hasPrefix || !hasSuffix {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("invalid segment file name %s: %w", f.Name(), err)
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// readIdentity reads the replica's identity; found is false if the file does not exist.
func (l *Log) readIdentity(name string) (id raft.ReplicaID, found bool, err error) {
	path := filepath.Join(l.dir, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, err
	}
	if err := json.Unmarshal(data, &id); err != nil {
		return id, false, &CorruptionError{File: path, Reason: err.Error()}
	}
	if id.Name != name || id.Storage == "" {
		return id, false, fmt.Errorf("%s belongs to replica %q, not to %q", path, id, name)
	}
	return id, true, nil
}

// createIdentity generates a storage UUID and stores the replica's identity durably.
func (l *Log) createIdentity(name string) (raft.ReplicaID, error) {
	id := raft.ReplicaID{Name: name, Storage: uuid.NewString()}
	data, err := json.Marshal(id)
	if err != nil {
		return id, err
	}
	f, err := l.writeFile(identityFile, data)
	if err != nil {
		return id, err
	}
	return id, errors.Join(f.Close(), l.syncDir())
}

// writeFile writes a complete file under a temporary name, syncs it and renames it. It
// returns the open file, positioned at its end. If it fails, there is no file of that name, or
// the previous one, and the room of the temporary one is free again.
func (l *Log) writeFile(name string, data []byte) (*os.File, error) {
	path := filepath.Join(l.dir, name)
	f, err := os.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	_, err = l.write(f, data)
	if err == nil {
		err = l.sync(f)
	}
	if err == nil {
		err = os.Rename(path+temporarySuffix, path)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close(), os.Remove(path+temporarySuffix))
	}
	return f, nil
}

// removeTemporary removes the files that an earlier process has not completed.
func removeTemporary(dir string) error {
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	var errs []error
	for _, f := range files {
		name := f.Name()
		isOwn := name == identityFile+temporarySuffix || strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if isOwn && strings.HasSuffix(name, temporarySuffix) {
			errs = append(errs, os.Remove(filepath.Join(dir, name)))
		}
	}
	return errors.Join(errs...)
}

// makeDir creates a directory and its missing parents durably. Without the sync of the
// parent, the whole data directory could be missing after a power failure.
func (l *Log) makeDir(dir string) error {
	_, err := os.Stat(dir)
	if err == nil || !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	parent := filepath.Dir(dir)
	if err := l.makeDir(parent); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	return l.syncPath(parent)
}

// syncDir makes renames in the data directory durable.
func (l *Log) syncDir() error { return l.syncPath(l.dir) }

func (l *Log) syncPath(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return l.sync(d)
}

// removeStaleFiles deletes all segments but the current one, and all snapshots but the
// one at the given position.
func (l *Log) removeStaleFiles(index, term uint64) error {
	current := map[string]bool{segmentName(l.segmentNumber): true, snapshotName(position{index, term}): true}
	files, err := os.ReadDir(l.dir)
	if err != nil {
		return l.fail(err)
	}
	for _, f := range files {
		isLogFile := strings.HasPrefix(f.Name(), segmentPrefix) || strings.HasPrefix(f.Name(), snapshotPrefix)
		if !isLogFile || current[f.Name()] {
			continue
		}
		if err := os.Remove(filepath.Join(l.dir, f.Name())); err != nil {
			return l.fail(err)
		}
	}
	return nil
}
