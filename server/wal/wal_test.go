package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockvale.dev/coord/raft"
)

var errInjected = errors.New("injected sync failure")

// entry returns an entry whose data names its index and term.
func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func testSnapshot(index, term uint64) raft.Snapshot {
	return raft.Snapshot{SnapshotMeta: raft.SnapshotMeta{Index: index, Term: term}, Data: fmt.Appendf(nil, "state %d", index)}
}

// testDirectory is a data directory with a snapshot and three appends.
type testDirectory struct {
	dir, segment, snapshot string
	// frameEnds holds the sizes of the segment after the checkpoint and after each append.
	frameEnds []int64
}

func newTestDirectory(t *testing.T) testDirectory {
	d := testDirectory{dir: t.TempDir()}
	l, _, err := Open(d.dir, "a")
	require.NoError(t, err)
	require.NoError(t, l.SaveSnapshot(testSnapshot(10, 2), raft.HardState{Term: 2}, []raft.Entry{entry(11, 2)}))
	d.segment = filepath.Join(d.dir, segmentName(l.segmentNumber))
	d.snapshot = filepath.Join(d.dir, snapshotName(position{10, 2}))
	for i := range uint64(4) {
		if i > 0 {
			require.NoError(t, l.Append(&raft.HardState{Term: 2 + i}, []raft.Entry{entry(11+i, 2+i)}))
		}
		info, err := os.Stat(d.segment)
		require.NoError(t, err)
		d.frameEnds = append(d.frameEnds, info.Size())
	}
	require.NoError(t, l.Close())
	return d
}

// flipBit flips a bit of the byte at an offset; a negative offset counts from the end.
func flipBit(t *testing.T, path string, offset int64) {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	if offset < 0 {
		offset += int64(len(data))
	}
	data[offset] ^= 0x40
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

// TestTornTailIsCut guards against a torn write that makes Open fail or that removes an
// acknowledged entry. It truncates the last frame to every length.
func TestTornTailIsCut(t *testing.T) {
	d := newTestDirectory(t)
	intact, err := os.ReadFile(d.segment)
	require.NoError(t, err)
	for size := d.frameEnds[2]; size <= d.frameEnds[3]; size++ {
		require.NoError(t, os.WriteFile(d.segment, intact[:size], 0o600))
		for _, torn := range []int64{size - d.frameEnds[2], 0} {
			l, c, err := Open(d.dir, "a")
			require.NoError(t, err)
			require.Equal(t, torn%(d.frameEnds[3]-d.frameEnds[2]), c.TornBytes)
			require.NoError(t, l.Close())
			if size == d.frameEnds[3] {
				require.Equal(t, uint64(5), c.HardState.Term)
				require.Len(t, c.Entries, 4)
				continue
			}
			require.Equal(t, uint64(4), c.HardState.Term)
			require.Equal(t, []raft.Entry{entry(11, 2), entry(12, 3), entry(13, 4)}, c.Entries)
		}
	}
}

// TestDamagedMiddleIsReported guards against damage to acknowledged data that is treated
// as a torn write. It damages every byte before the last frame.
func TestDamagedMiddleIsReported(t *testing.T) {
	d := newTestDirectory(t)
	for at := int64(0); at < d.frameEnds[2]; at++ {
		flipBit(t, d.segment, at)
		_, _, err := Open(d.dir, "a")
		flipBit(t, d.segment, at)
		var corruption *CorruptionError
		require.ErrorAs(t, err, &corruption, "byte %d", at)
		require.Equal(t, d.segment, corruption.File)
		// Damage to the salt is detected by the checksum of the first frame.
		require.LessOrEqual(t, corruption.Offset, max(at, segmentHeaderBytes))
		if at >= d.frameEnds[0] {
			require.Equal(t, d.frameEnds[0]+(at-d.frameEnds[0])/(d.frameEnds[1]-d.frameEnds[0])*(d.frameEnds[1]-d.frameEnds[0]), corruption.Offset)
		}
	}
}

// TestOpenRejectsUnusableDirectories guards against a data directory that is opened
// although a file is missing or damaged, or although the directory belongs to another
// replica or is in use.
func TestOpenRejectsUnusableDirectories(t *testing.T) {
	for name, prepare := range map[string]func(d testDirectory) (replica string){
		"snapshot damaged": func(d testDirectory) string { flipBit(t, d.snapshot, -1); return "a" },
		"snapshot missing": func(d testDirectory) string { _ = os.Remove(d.snapshot); return "a" },
		"log missing":      func(d testDirectory) string { _ = os.Remove(d.segment); return "a" },
		"identity missing": func(d testDirectory) string { _ = os.Remove(filepath.Join(d.dir, identityFile)); return "a" },
		"another replica":  func(testDirectory) string { return "b" },
		"in use": func(d testDirectory) string {
			l, _, err := Open(d.dir, "a")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			return "a"
		},
	} {
		d := newTestDirectory(t)
		_, _, err := Open(d.dir, prepare(d))
		require.Error(t, err, name)
	}
}

// TestFailedSyncIsFatal guards against an acknowledgement without a sync, against use of
// the log after a failed sync, and against a snapshot that removes the old state before
// the new one is durable. All syncs after the first n fail.
func TestFailedSyncIsFatal(t *testing.T) {
	for n := range 5 { // a snapshot needs four syncs and an append one
		d := newTestDirectory(t)
		l, before, err := Open(d.dir, "a")
		require.NoError(t, err)
		calls := 0
		l.sync = func(f *os.File) error {
			if calls++; calls > n {
				return errInjected
			}
			return f.Sync()
		}
		err = l.SaveSnapshot(testSnapshot(12, 3), raft.HardState{Term: 9}, nil)
		if err == nil {
			err = l.Append(nil, []raft.Entry{entry(13, 9)})
		}
		require.ErrorIs(t, err, errInjected)
		l.sync = (*os.File).Sync
		require.ErrorIs(t, l.Append(nil, nil), ErrFailed)
		require.ErrorIs(t, l.SaveSnapshot(testSnapshot(13, 3), raft.HardState{}, nil), ErrFailed)
		require.NoError(t, l.Close())
		_, _, err = open(d.dir, "a", func(*os.File) error { return errInjected })
		require.ErrorIs(t, err, errInjected, "contents that Open read may not be durable yet")
		l, after, err := Open(d.dir, "a")
		require.NoError(t, err)
		require.Equal(t, before.ID, after.ID)
		if after.Snapshot.Index == 10 {
			require.Equal(t, before.PersistentState, after.PersistentState)
		} else {
			require.Equal(t, uint64(9), after.HardState.Term)
		}
		require.NoError(t, l.Close())
	}
}

// TestFirstStartIsSynced guards against a data directory that is missing after a power
// failure because its parent was not synced, and against an interrupted first start that
// cannot be repeated. The syncs are, in order, of the parent, the segment, the directory,
// the identity and the directory; all syncs after the first n fail.
func TestFirstStartIsSynced(t *testing.T) {
	for n := range 5 {
		dir := filepath.Join(t.TempDir(), "data")
		_, _, err := open(dir, "a", func(*os.File) error {
			if n--; n < 0 {
				return errInjected
			}
			return nil
		})
		require.ErrorIs(t, err, errInjected)
		l, _, err := Open(dir, "a")
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
	parent := filepath.Join(t.TempDir(), "new")
	synced := map[string]bool{}
	l, _, err := open(filepath.Join(parent, "data"), "a", func(f *os.File) error { synced[f.Name()] = true; return nil })
	require.NoError(t, err)
	require.NoError(t, l.Close())
	require.True(t, synced[parent] && synced[filepath.Dir(parent)] && synced[l.dir], "synced: %v", synced)
}

// TestMatchesModel guards against any difference between the acknowledged state and the
// state that Open reads. A crash leaves a random part of an unsynced frame after the
// synced bytes.
func TestMatchesModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(r, err)
		var want raft.PersistentState
		var l *Log
		synced := int64(0)
		open := func() {
			var c Contents
			l, c, err = Open(dir, "a")
			require.NoError(r, err)
			require.Equal(r, fmt.Sprint(want.HardState, want.Entries), fmt.Sprint(c.HardState, c.Entries))
			if want.Snapshot != nil {
				require.Equal(r, want.Snapshot, c.Snapshot)
			}
			l.sync = func(f *os.File) error {
				if info, err := f.Stat(); err == nil && !info.IsDir() {
					synced = info.Size()
				}
				return nil
			}
		}
		open()
		defer func() { _ = l.Close() }()
		snapshotIndex := func() uint64 {
			if want.Snapshot == nil {
				return 0
			}
			return want.Snapshot.Index
		}
		r.Repeat(map[string]func(*rapid.T){
			"append": func(r *rapid.T) {
				at := rapid.IntRange(0, len(want.Entries)).Draw(r, "at")
				want.HardState = raft.HardState{Term: want.HardState.Term + 1, Vote: raft.ReplicaID{Name: "v", Storage: "s"}}
				want.Entries = want.Entries[:at:at]
				for range rapid.IntRange(0, 3).Draw(r, "count") {
					want.Entries = append(want.Entries, entry(snapshotIndex()+uint64(len(want.Entries))+1, want.HardState.Term))
				}
				// An append without entries replaces no stored entries, so it needs at least one.
				if len(want.Entries) == at {
					want.Entries = append(want.Entries, entry(snapshotIndex()+uint64(at)+1, want.HardState.Term))
				}
				require.NoError(r, l.Append(&want.HardState, want.Entries[at:]))
			},
			"snapshot": func(r *rapid.T) {
				n := rapid.IntRange(0, len(want.Entries)).Draw(r, "n")
				s := testSnapshot(snapshotIndex()+uint64(n)+1, want.HardState.Term+1)
				want.Snapshot = &s
				want.Entries = nil
				for i := range uint64(n) {
					want.Entries = append(want.Entries, entry(s.Index+i+1, s.Term))
				}
				require.NoError(r, l.SaveSnapshot(s, want.HardState, want.Entries))
			},
			"crash": func(r *rapid.T) {
				torn := appendFrame(nil, l.salt, record{entries: []raft.Entry{entry(snapshotIndex()+uint64(len(want.Entries))+1, 99)}})
				torn = torn[:rapid.IntRange(0, len(torn)-1).Draw(r, "torn")]
				path := filepath.Join(dir, segmentName(l.segmentNumber))
				require.NoError(r, l.Close())
				if synced > 0 {
					require.NoError(r, os.Truncate(path, synced))
				}
				f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
				require.NoError(r, err)
				_, err = f.Write(torn)
				require.NoError(r, errors.Join(err, f.Close()))
				synced = 0
				open()
			},
		})
	})
}

// FuzzDecodeSegment guards against file content that makes Open panic, and against a
// valid prefix that decodes to a different log than the whole file.
func FuzzDecodeSegment(f *testing.F) {
	header := []byte{0x31, 0x57, 0x76, 0x68, 1, 2, 3, 4}
	checkpoint := appendFrame(header, 0x04030201, record{checkpoint: &position{4, 2}, hardState: &raft.HardState{Term: 3}})
	whole := appendFrame(checkpoint, 0x04030201, record{hardState: &raft.HardState{Term: 3}, entries: []raft.Entry{entry(5, 3), entry(6, 3), entry(6, 4)}})
	for _, seed := range [][]byte{nil, header, checkpoint, whole, whole[:len(whole)-3], append(whole, 0)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// Direct calls bypass the checksum, so that the fuzzer reaches every path of the
		// record decoder.
		if r, err := decodeRecord(data); err == nil {
			again, err := decodeRecord(r.encode(nil))
			require.NoError(t, err)
			require.Equal(t, r, again)
		}
		d, err := decodeSegment(data)
		if err != nil {
			var corruption *CorruptionError
			require.ErrorAs(t, err, &corruption)
			return
		}
		again, err := decodeSegment(data[:d.valid])
		require.NoError(t, err)
		require.Equal(t, d, again)
		for i, e := range d.entries {
			require.Equal(t, d.snapshot.index+uint64(i)+1, e.Index)
		}
	})
}

// BenchmarkAppend measures an append of one entry with and without the sync.
func BenchmarkAppend(b *testing.B) {
	for name, sync := range map[string]func(*os.File) error{"synced": (*os.File).Sync, "unsynced": func(*os.File) error { return nil }} {
		b.Run(name, func(b *testing.B) {
			l, _, err := Open(b.TempDir(), "a")
			require.NoError(b, err)
			defer l.Close()
			l.sync = sync
			entries := []raft.Entry{{Index: 1, Term: 1, Data: make([]byte, 256)}}
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, l.Append(nil, entries))
			}
		})
	}
}
