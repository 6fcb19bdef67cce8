// Package wal provides the durable storage of a raft replica: an identity, a snapshot and
// a log segment in a data directory.
//
// A segment starts with a checkpoint: the position of the snapshot, the hard state and
// the entries after the snapshot. Each append adds one frame with a CRC, and syncs it
// before it returns. To save a snapshot, the log writes the snapshot file and a new
// segment under temporary names, syncs them, renames them and syncs the directory. Older
// files are removed afterwards. A crash at any point leaves either the old or the new
// state.
//
// At most one frame is unsynced at any time, and it is the last one. An invalid frame
// without a valid frame after it is therefore a torn write that was never acknowledged,
// and Open truncates it. An invalid frame that is followed by a valid one is damage to
// acknowledged data, and Open fails with a *CorruptionError. Damage to the last frame
// cannot be distinguished from a torn write.
//
// An operation that finds no room on the disk fails with ErrFull and may be repeated: what it
// has written so far is cut off or removed, and nothing of it was acknowledged.
//
// After any other failed write, and after a failed sync, the content of the file is unknown,
// because the kernel may have dropped the dirty pages. From then on all operations of the log
// fail with ErrFailed.
package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"hemlockvale.dev/coord/raft"
)

// ErrFailed reports that an earlier write or sync failed, or that the log is closed.
var ErrFailed = errors.New("log storage has failed")

// ErrFull reports that the disk has no room. The operation has stored nothing and may be repeated.
var ErrFull = errors.New("no room on the disk")

// ErrLocked reports that another process uses the data directory.
var ErrLocked = errors.New("data directory is in use by another process")

// CorruptionError reports damage to data that was synced before, or a missing file.
type CorruptionError struct {
	// File is the path of the damaged file, or of the directory if its identity or its
	// segment is missing.
	File string
	// Offset is the offset in the file at which the damaged part starts, in bytes.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error returns a message with the file, the offset and the reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Contents is the state that Open reads from the data directory.
type Contents struct {
	raft.PersistentState
	// ID is the replica's identity, which Open creates in a new data directory.
	ID raft.ReplicaID
	// TornBytes is the length of the torn write that Open truncated, in bytes.
	TornBytes int64
}

// Log is the log and the snapshot in an open data directory. It is not safe for
// concurrent use.
type Log struct {
	dir           string
	lockFile      *os.File
	segment       *os.File
	segmentNumber uint64
	salt          uint32
	buf           []byte
	// size is the length of the segment up to its last synced frame, in bytes, and hasTail is set
	// if a part of a frame may follow.
	size    int64
	hasTail bool
	// write is (*os.File).Write; tests replace it to inject failures.
	write func(f *os.File, p []byte) (int, error)
	// sync is (*os.File).Sync; tests replace it to inject failures.
	sync func(*os.File) error
	// failure is the error of all further operations, once one has failed or the log is closed.
	failure error
}

// Open opens the data directory of the replica with the given name, and creates it if it
// does not exist.
func Open(dir, name string) (*Log, Contents, error) { return open(dir, name, (*os.File).Sync) }

func open(dir, name string, sync func(*os.File) error) (*Log, Contents, error) {
	l := &Log{dir: dir, write: (*os.File).Write, sync: sync}
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
	if err := l.lockDir(); err != nil {
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
		return c, &CorruptionError{File: l.dir, Reason: "identity file exists but log segment is missing"}
	}
	c.ID = id
	err = l.loadSegment(segments[len(segments)-1], &c)
	return c, err
}

// initialise creates the first segment and then the identity. Because of this order Open
// can distinguish an interrupted first start from a directory whose log is missing. The
// latter is an error, because a replica that has lost its votes must not keep its
// identity.
func (l *Log) initialise(name string, segments []uint64) (raft.ReplicaID, error) {
	if len(segments) > 0 && !l.isUnused(segments) {
		return raft.ReplicaID{}, &CorruptionError{File: l.dir, Reason: "log segment exists but identity file is missing"}
	}
	if err := l.startSegment(firstSegmentNumber, position{}, raft.HardState{}, nil); err != nil {
		return raft.ReplicaID{}, err
	}
	if err := l.syncDir(); err != nil {
		return raft.ReplicaID{}, err
	}
	return l.createIdentity(name)
}

// isUnused reports whether the directory holds only the first segment, and this segment
// has no snapshot, term, vote or entry.
func (l *Log) isUnused(segments []uint64) bool {
	data, err := os.ReadFile(filepath.Join(l.dir, segmentName(firstSegmentNumber)))
	if err != nil || len(segments) != 1 {
		return false
	}
	d, err := decodeSegment(data)
	return err == nil && d.snapshot == position{} && d.hardState == raft.HardState{} && len(d.entries) == 0
}

// lockDir locks the directory. Two processes with the same storage identity could vote
// twice in a term.
func (l *Log) lockDir() error {
	f, err := os.OpenFile(filepath.Join(l.dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	l.lockFile = f
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("%s: %w: %w", l.dir, ErrLocked, err)
	}
	return nil
}

// Append writes the hard state, if it is not nil, and the entries in one frame and syncs
// it. The entries replace all stored entries from the first new index on.
func (l *Log) Append(hardState *raft.HardState, entries []raft.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.cutTail(); err != nil {
		return l.failUnlessFull(err)
	}
	l.buf = appendFrame(l.buf[:0], l.salt, record{hardState: hardState, entries: entries})
	l.hasTail = true
	if _, err := l.write(l.segment, l.buf); err != nil {
		return l.failUnlessFull(err)
	}
	if err := l.sync(l.segment); err != nil {
		// The next process would find the frame in the page cache and take it for durable. If
		// this fails as well, there is nothing left to do.
		_ = l.cutTail()
		return l.fail(err)
	}
	l.size, l.hasTail = l.size+int64(len(l.buf)), false
	return nil
}

// cutTail removes what a failed append has left behind the last synced frame.
func (l *Log) cutTail() error {
	if !l.hasTail {
		return nil
	}
	if err := l.segment.Truncate(l.size); err != nil {
		return err
	}
	if _, err := l.segment.Seek(l.size, io.SeekStart); err != nil {
		return err
	}
	l.hasTail = false
	return nil
}

// SaveSnapshot replaces the stored state with s, the hard state and the entries, which
// must be all entries after s.
func (l *Log) SaveSnapshot(s raft.Snapshot, hardState raft.HardState, entries []raft.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.failUnlessFull(err)
	}
	old := l.segment
	if err := l.startSegment(l.segmentNumber+1, position{s.Index, s.Term}, hardState, entries); err != nil {
		return l.failUnlessFull(err)
	}
	if err := l.syncDir(); err != nil {
		return l.fail(err)
	}
	_ = old.Close()
	return l.removeStaleFiles(s.Index, s.Term)
}

// Close closes the files and unlocks the directory.
func (l *Log) Close() error {
	if l.failure == nil {
		l.failure = fmt.Errorf("%w: closed", ErrFailed)
	}
	var errs []error
	for _, f := range []*os.File{l.segment, l.lockFile} {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	l.segment, l.lockFile = nil, nil
	return errors.Join(errs...)
}

// failUnlessFull returns ErrFull if an operation failed because the disk has no room, and fails
// otherwise. The files that are in use must be as before.
func (l *Log) failUnlessFull(cause error) error {
	if errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, cause)
	}
	return l.fail(cause)
}

// fail records the first error, with which all further operations fail.
func (l *Log) fail(cause error) error {
	if l.failure == nil {
		l.failure = fmt.Errorf("%w: %w", ErrFailed, cause)
	}
	return l.failure
}
