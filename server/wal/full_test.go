package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/raft"
)

// fullDisk is a disk on which files have room for a number of further bytes.
type fullDisk struct{ room int }

// write writes as much as there is room for.
func (d *fullDisk) write(f *os.File, p []byte) (int, error) {
	n := min(len(p), d.room)
	d.room -= n
	n, err := f.Write(p[:n])
	if err == nil && n < len(p) {
		err = &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return n, err
}

// TestFullDiskLosesNothing guards against a log that fails for good because the disk was full,
// that loses what it had stored, or that keeps a part of what it did not store: an append and a
// snapshot are cut short after every number of bytes, and repeated once there is room.
func TestFullDiskLosesNothing(t *testing.T) {
	writes := map[string]func(l *Log) error{
		"append": func(l *Log) error {
			return l.Append(&raft.HardState{Term: 9}, []raft.Entry{entry(14, 9), entry(15, 9)})
		},
		"snapshot": func(l *Log) error {
			return l.SaveSnapshot(testSnapshot(12, 3), raft.HardState{Term: 9}, []raft.Entry{entry(13, 4)})
		},
	}
	for name, write := range writes {
		reference := newTestDirectory(t)
		want := reopenAfter(t, reference.dir, write)
		for room := 0; ; room++ {
			d := newTestDirectory(t)
			l, before, err := Open(d.dir, "a")
			require.NoError(t, err)
			l.write = (&fullDisk{room: room}).write
			err = write(l)
			if err == nil {
				require.NoError(t, l.Close())
				break
			}
			require.ErrorIs(t, err, ErrFull, "%s with room for %d bytes", name, room)
			require.ErrorIs(t, write(l), ErrFull, "the disk is still full")
			require.NoError(t, l.Close())
			// The process ends while the disk is full.
			l, after, err := Open(d.dir, "a")
			require.NoError(t, err)
			require.Equal(t, before.PersistentState, after.PersistentState)
			l.write = (&fullDisk{}).write
			require.ErrorIs(t, write(l), ErrFull)
			l.write = (*os.File).Write
			require.NoError(t, write(l))
			require.NoError(t, l.Append(nil, []raft.Entry{entry(14, 10)}))
			require.NoError(t, l.Close())
			got := contents(t, d.dir)
			require.Equal(t, fmt.Sprint(want.HardState, want.Snapshot), fmt.Sprint(got.HardState, got.Snapshot))
			require.Equal(t, entry(14, 10), got.Entries[len(got.Entries)-1])
		}
	}
}

// reopenAfter returns what is stored in a directory after a write.
func reopenAfter(t *testing.T, dir string, write func(l *Log) error) Contents {
	t.Helper()
	l, _, err := Open(dir, "a")
	require.NoError(t, err)
	require.NoError(t, write(l))
	require.NoError(t, l.Close())
	return contents(t, dir)
}

// contents returns what is stored in a directory.
func contents(t *testing.T, dir string) Contents {
	t.Helper()
	l, c, err := Open(dir, "a")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return c
}

// TestFullDiskKeepsNoLeftovers guards against a disk that stays full because of the parts of files
// that could not be written: of a running log, and of a process that has ended.
func TestFullDiskKeepsNoLeftovers(t *testing.T) {
	d := newTestDirectory(t)
	names := func() (list []string) {
		files, err := os.ReadDir(d.dir)
		require.NoError(t, err)
		for _, f := range files {
			list = append(list, f.Name())
		}
		return list
	}
	before := names()
	l, _, err := Open(d.dir, "a")
	require.NoError(t, err)
	l.write = (&fullDisk{room: 10}).write
	require.ErrorIs(t, l.SaveSnapshot(testSnapshot(12, 3), raft.HardState{Term: 9}, nil), ErrFull)
	require.NoError(t, l.Close())
	require.Equal(t, before, names())
	for _, name := range []string{snapshotName(position{12, 3}), segmentName(7), identityFile} {
		require.NoError(t, os.WriteFile(filepath.Join(d.dir, name+temporarySuffix), []byte("part"), 0o600))
	}
	require.NoError(t, Probe(d.dir))
	require.Equal(t, before, names())
}

// TestFailedSyncLeavesNoFrame guards against a frame whose sync failed and that the next process
// reads from the page cache and takes for durable.
func TestFailedSyncLeavesNoFrame(t *testing.T) {
	d := newTestDirectory(t)
	l, before, err := Open(d.dir, "a")
	require.NoError(t, err)
	l.sync = func(*os.File) error { return syscall.EIO }
	require.ErrorIs(t, l.Append(nil, []raft.Entry{entry(14, 9)}), ErrFailed)
	require.NoError(t, l.Close())
	require.Equal(t, before.PersistentState, contents(t, d.dir).PersistentState)
}
