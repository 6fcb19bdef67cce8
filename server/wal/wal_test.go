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

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func testSnapshot(index, term uint64) raft.Snapshot {
	return raft.Snapshot{SnapshotMeta: raft.SnapshotMeta{Index: index, Term: term}, Data: fmt.Appendf(nil, "state %d", index)}
}

// sample is a directory with a snapshot and three appends.
type sample struct {
	dir, segment, snapshot string
	// ends are the segment's sizes after the checkpoint and after each append.
	ends []int64
}

func newSample(t *testing.T) sample {
	s := sample{dir: t.TempDir()}
	l, _, err := Open(s.dir, "a")
	require.NoError(t, err)
	require.NoError(t, l.SaveSnapshot(testSnapshot(10, 2), raft.HardState{Term: 2}, []raft.Entry{entry(11, 2)}))
	s.segment = filepath.Join(s.dir, segmentName(l.number))
	s.snapshot = filepath.Join(s.dir, snapshotName(position{10, 2}))
	for i := range uint64(4) {
		if i > 0 {
			require.NoError(t, l.Append(&raft.HardState{Term: 2 + i}, []raft.Entry{entry(11+i, 2+i)}))
		}
		info, err := os.Stat(s.segment)
		require.NoError(t, err)
		s.ends = append(s.ends, info.Size())
	}
	require.NoError(t, l.Close())
	return s
}

// flip damages one byte; a negative position counts from the end.
func flip(t *testing.T, path string, at int64) {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	if at < 0 {
		at += int64(len(data))
	}
	data[at] ^= 0x40
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

// Guards against a torn write that prevents the start or removes an acknowledged entry: every length of the last frame.
func TestTornTailIsCut(t *testing.T) {
	s := newSample(t)
	intact, err := os.ReadFile(s.segment)
	require.NoError(t, err)
	for size := s.ends[2]; size <= s.ends[3]; size++ {
		require.NoError(t, os.WriteFile(s.segment, intact[:size], 0o600))
		for _, torn := range []int64{size - s.ends[2], 0} {
			l, c, err := Open(s.dir, "a")
			require.NoError(t, err)
			require.Equal(t, torn%(s.ends[3]-s.ends[2]), c.TornBytes)
			require.NoError(t, l.Close())
			if size == s.ends[3] {
				require.Equal(t, uint64(5), c.HardState.Term)
				require.Len(t, c.Entries, 4)
				continue
			}
			require.Equal(t, uint64(4), c.HardState.Term)
			require.Equal(t, []raft.Entry{entry(11, 2), entry(12, 3), entry(13, 4)}, c.Entries)
		}
	}
}

// Guards against damage to acknowledged data that is taken for a torn write: every byte in front of the last frame.
func TestDamagedMiddleIsReported(t *testing.T) {
	s := newSample(t)
	for at := int64(0); at < s.ends[2]; at++ {
		flip(t, s.segment, at)
		_, _, err := Open(s.dir, "a")
		flip(t, s.segment, at)
		var corruption *CorruptionError
		require.ErrorAs(t, err, &corruption, "byte %d", at)
		require.Equal(t, s.segment, corruption.File)
		// Damage to the salt shows in the checksum of the first frame.
		require.LessOrEqual(t, corruption.Offset, max(at, headerBytes))
		if at >= s.ends[0] {
			require.Equal(t, s.ends[0]+(at-s.ends[0])/(s.ends[1]-s.ends[0])*(s.ends[1]-s.ends[0]), corruption.Offset)
		}
	}
}

// Guards against a data directory that is used although a part is missing, damaged, foreign or in use.
func TestUnusableDirectories(t *testing.T) {
	for name, spoil := range map[string]func(s sample) (replica string){
		"snapshot damaged": func(s sample) string { flip(t, s.snapshot, -1); return "a" },
		"snapshot missing": func(s sample) string { _ = os.Remove(s.snapshot); return "a" },
		"log missing":      func(s sample) string { _ = os.Remove(s.segment); return "a" },
		"identity missing": func(s sample) string { _ = os.Remove(filepath.Join(s.dir, identityFile)); return "a" },
		"another replica":  func(sample) string { return "b" },
		"in use": func(s sample) string {
			l, _, err := Open(s.dir, "a")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			return "a"
		},
	} {
		s := newSample(t)
		_, _, err := Open(s.dir, spoil(s))
		require.Error(t, err, name)
	}
}

// Guards against an acknowledgement without a sync, use of the log after a
// failed sync, and a snapshot that loses the old state before the new one is
// durable. The n-th sync fails, and everything unsynced is lost.
func TestFailedSyncIsFatal(t *testing.T) {
	for n := range 5 { // a snapshot takes four syncs, an append one
		s := newSample(t)
		l, before, err := Open(s.dir, "a")
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
		_, _, err = open(s.dir, "a", func(*os.File) error { return errInjected })
		require.ErrorIs(t, err, errInjected, "what was read back may not be durable yet")
		l, after, err := Open(s.dir, "a")
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

// Guards against a data directory that vanishes in a power failure because its
// parent was not synced, and against a first start that cannot be repeated. The
// n-th sync fails: of the parent, the segment, the directory, the identity and the directory.
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

// Guards against any difference between what was acknowledged and what is read
// back. A crash keeps a random part of the bytes behind the last sync.
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
		base := func() uint64 {
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
					want.Entries = append(want.Entries, entry(base()+uint64(len(want.Entries))+1, want.HardState.Term))
				}
				// Without new entries nothing is superseded.
				if len(want.Entries) == at {
					want.Entries = append(want.Entries, entry(base()+uint64(at)+1, want.HardState.Term))
				}
				require.NoError(r, l.Append(&want.HardState, want.Entries[at:]))
			},
			"snapshot": func(r *rapid.T) {
				n := rapid.IntRange(0, len(want.Entries)).Draw(r, "n")
				s := testSnapshot(base()+uint64(n)+1, want.HardState.Term+1)
				want.Snapshot = &s
				want.Entries = nil
				for i := range uint64(n) {
					want.Entries = append(want.Entries, entry(s.Index+i+1, s.Term))
				}
				require.NoError(r, l.SaveSnapshot(s, want.HardState, want.Entries))
			},
			"crash": func(r *rapid.T) {
				torn := appendFrame(nil, l.salt, record{entries: []raft.Entry{entry(base()+uint64(len(want.Entries))+1, 99)}})
				torn = torn[:rapid.IntRange(0, len(torn)-1).Draw(r, "torn")]
				path := filepath.Join(dir, segmentName(l.number))
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

// FuzzDecodeSegment guards the start against any file content: no panic, and
// the intact prefix decodes to the same log.
func FuzzDecodeSegment(f *testing.F) {
	header := []byte{0x31, 0x57, 0x76, 0x68, 1, 2, 3, 4}
	checkpoint := appendFrame(header, 0x04030201, record{checkpoint: &position{4, 2}, hard: &raft.HardState{Term: 3}})
	whole := appendFrame(checkpoint, 0x04030201, record{hard: &raft.HardState{Term: 3}, entries: []raft.Entry{entry(5, 3), entry(6, 3), entry(6, 4)}})
	for _, seed := range [][]byte{nil, header, checkpoint, whole, whole[:len(whole)-3], append(whole, 0)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// Without the checksum the fuzzer reaches every path of the record decoder.
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

// BenchmarkAppend measures one synced append of one entry.
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
