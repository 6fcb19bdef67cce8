// Package wal is the durable storage of a raft replica: an identity, one
// snapshot and one log segment in a data directory.
//
// A segment starts with a checkpoint: the snapshot's position, the hard state
// and the entries behind the snapshot. Appends add one frame each, with a CRC,
// and are synced before they return. Saving a snapshot writes the snapshot file
// and a new segment under temporary names, syncs them, renames them and syncs
// the directory; older files are removed afterwards. A crash at any point
// leaves either the old or the new state.
//
// At most one frame is ever unsynced, and it is the last one. An invalid frame
// with no valid frame behind it is therefore a torn write that nobody relied
// on, and Open cuts it off. An invalid frame that is followed by a valid one is
// damage to acknowledged data, and Open fails with a *CorruptionError. Damage
// to the very last frame cannot be told from a torn write.
//
// After a failed write or sync the content of the file is unknown, because the
// kernel may have dropped the dirty pages. The log then refuses all further
// operations with ErrFailed.
package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"hemlockvale.dev/coord/raft"
)

// ErrFailed reports that an earlier write or sync failed, or that the log is closed.
var ErrFailed = errors.New("log storage has failed")

// ErrLocked reports that another process uses the data directory.
var ErrLocked = errors.New("data directory is in use by another process")

// CorruptionError reports damaged data that had been synced.
type CorruptionError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the position of the first damaged byte range.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error names the file and the offset.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Contents is what Open read back.
type Contents struct {
	raft.PersistentState
	// ID is the replica's identity; it is created on the first start.
	ID raft.ReplicaID
	// TornBytes is the length of the torn write that was cut off.
	TornBytes int64
}

// Log is an open data directory. It is not safe for concurrent use.
type Log struct {
	dir     string
	lock    *os.File
	segment *os.File
	number  uint64
	salt    uint32
	buf     []byte
	// sync is (*os.File).Sync; tests replace it to inject failures.
	sync   func(*os.File) error
	failed error
}

// Open opens the data directory dir of the replica name and creates it if needed.
func Open(dir, name string) (*Log, Contents, error) { return open(dir, name, (*os.File).Sync) }

func open(dir, name string, sync func(*os.File) error) (*Log, Contents, error) {
	l := &Log{dir: dir, sync: sync}
	c, err := l.open(name)
	if err != nil {
		_ = l.Close()
		return nil, Contents{}, fmt.Errorf("open data directory: %w", err)
	}
	return l, c, nil
}

func (l *Log) open(name string) (Contents, error) {
	var c Contents
	if err := l.makeDir(l.dir); err != nil {
		return c, err
	}
	if err := l.acquire(); err != nil {
		return c, err
	}
	segments, err := listSegments(l.dir)
	if err != nil {
		return c, err
	}
	id, found, err := l.readIdentity(name)
	switch {
	case err != nil:
		return c, err
	case !found:
		c.ID, err = l.initialise(name, segments)
		return c, err
	case len(segments) == 0:
		return c, &CorruptionError{File: l.dir, Reason: "the directory has an identity but no log"}
	}
	c.ID = id
	err = l.replay(segments[len(segments)-1], &c)
	return c, err
}

// initialise creates the first segment and then the identity. The order lets
// Open tell an interrupted first start from a directory whose log is missing: a
// replica that forgot its votes must not keep its identity.
func (l *Log) initialise(name string, segments []uint64) (raft.ReplicaID, error) {
	if len(segments) > 0 && !l.isUnused(segments) {
		return raft.ReplicaID{}, &CorruptionError{File: l.dir, Reason: "the directory has a log but no identity"}
	}
	if err := l.startSegment(firstSegment, position{}, raft.HardState{}, nil); err != nil {
		return raft.ReplicaID{}, err
	}
	if err := l.syncDir(); err != nil {
		return raft.ReplicaID{}, err
	}
	return l.createIdentity(name)
}

// isUnused reports whether the only segment is a first one without content.
func (l *Log) isUnused(segments []uint64) bool {
	data, err := os.ReadFile(filepath.Join(l.dir, segmentName(firstSegment)))
	if err != nil || len(segments) != 1 {
		return false
	}
	d, err := decodeSegment(data)
	return err == nil && d.snapshot == position{} && d.hard == raft.HardState{} && len(d.entries) == 0
}

// acquire locks the directory: two processes with one storage identity would vote twice.
func (l *Log) acquire() error {
	f, err := os.OpenFile(filepath.Join(l.dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	l.lock = f
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("%s: %w: %w", l.dir, ErrLocked, err)
	}
	return nil
}

// Append writes the hard state, if not nil, and the entries in one frame and
// syncs it. Stored entries from the first new index on are superseded.
func (l *Log) Append(hard *raft.HardState, entries []raft.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	l.buf = appendFrame(l.buf[:0], l.salt, record{hard: hard, entries: entries})
	if _, err := l.segment.Write(l.buf); err != nil {
		return l.fail(err)
	}
	if err := l.sync(l.segment); err != nil {
		return l.fail(err)
	}
	return nil
}

// SaveSnapshot replaces the stored state: entries are all entries behind s.
func (l *Log) SaveSnapshot(s raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.fail(err)
	}
	old := l.segment
	if err := l.startSegment(l.number+1, position{s.Index, s.Term}, hard, entries); err != nil {
		return l.fail(err)
	}
	if err := l.syncDir(); err != nil {
		return l.fail(err)
	}
	_ = old.Close()
	return l.removeStale(s.Index, s.Term)
}

// Close releases the directory.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = fmt.Errorf("%w: closed", ErrFailed)
	}
	var errs []error
	for _, f := range []*os.File{l.segment, l.lock} {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	l.segment, l.lock = nil, nil
	return errors.Join(errs...)
}

// fail stops the log for good.
func (l *Log) fail(cause error) error {
	if l.failed == nil {
		l.failed = fmt.Errorf("%w: %w", ErrFailed, cause)
	}
	return l.failed
}
