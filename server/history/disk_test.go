package history

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/bootclock"
)

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// openDisk opens the records in dir. stop ends the disk's goroutines, as the end of the
// process does.
func openDisk(t *testing.T, dir string) (d *Disk, stop func()) {
	t.Helper()
	d, err := OpenDisk(dir, discardLogger())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return d, stop
}

func turnNamed(id string) history.Turn { return history.Turn{Organisation: "o", ID: id} }

func newRecord(id, content string) Record {
	return Record{Turn: turnNamed(id), Retention: time.Minute, Content: []byte(content)}
}

// requireContent checks the content of a record.
func requireContent(t *testing.T, d *Disk, id, content string) {
	t.Helper()
	r, err := d.Read(turnNamed(id))
	require.NoError(t, err)
	assert.Equal(t, content, string(r.Content))
}

// lastSegment returns the path of the newest segment file in dir.
func lastSegment(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files[len(files)-1]
}

// TestRecordsSurviveARestart guards against a restart that loses or mixes up records, and
// against a record that is readable by another organisation.
func TestRecordsSurviveARestart(t *testing.T) {
	dir := t.TempDir()
	d, stop := openDisk(t, dir)
	require.NoError(t, d.Write(t.Context(), newRecord("a", "first"), newRecord("b", "")))
	require.NoError(t, d.Write(t.Context(), newRecord("c", "third")))
	for range 2 {
		requireContent(t, d, "a", "first")
		requireContent(t, d, "b", "")
		requireContent(t, d, "c", "third")
		_, err := d.Read(history.Turn{Organisation: "p", ID: "a"})
		require.ErrorIs(t, err, ErrNotFound)
		stop()
		d, stop = openDisk(t, dir)
	}
	require.NoError(t, d.Write(t.Context(), newRecord("d", "later")))
	requireContent(t, d, "d", "later")
}

// TestTornEnd guards against a start that fails, loses synced records or appends to a
// damaged segment when the last write was incomplete at a power failure.
func TestTornEnd(t *testing.T) {
	dir := t.TempDir()
	d, stop := openDisk(t, dir)
	require.NoError(t, d.Write(t.Context(), newRecord("a", "synced")))
	stop()
	intact, err := os.ReadFile(lastSegment(t, dir))
	require.NoError(t, err)
	frame, err := appendFrame(nil, frameInfo{Turn: turnNamed("torn"), Retention: time.Minute, WrittenUnixSeconds: time.Now().Unix()}, []byte("content of the torn record"))
	require.NoError(t, err)
	for cut := range frame {
		require.NoError(t, os.WriteFile(lastSegment(t, dir), append(intact[:len(intact):len(intact)], frame[:cut]...), 0o600))
		d, err := OpenDisk(dir, discardLogger())
		require.NoError(t, err, "cut at %d", cut)
		requireContent(t, d, "a", "synced")
		assert.False(t, d.Has(turnNamed("torn")), "cut at %d", cut)
		d.close()
	}
	d, stop = openDisk(t, dir)
	require.NoError(t, d.Write(t.Context(), newRecord("b", "after")))
	stop()
	d, _ = openDisk(t, dir)
	requireContent(t, d, "a", "synced")
	requireContent(t, d, "b", "after")
}

// TestDamagedRecordIsNotRead guards against wrong bytes that are given out as a history.
func TestDamagedRecordIsNotRead(t *testing.T) {
	dir := t.TempDir()
	d, stop := openDisk(t, dir)
	require.NoError(t, d.Write(t.Context(), newRecord("a", "0123456789")))
	stop()
	path := lastSegment(t, dir)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[len(data)-3] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o600))
	d, _ = openDisk(t, dir)
	_, err = d.Read(turnNamed("a"))
	require.ErrorIs(t, err, ErrNotFound)
}

// TestExpiry guards against a disk that fills up with expired records, and against
// records that are deleted while another one in their segment is needed.
func TestExpiry(t *testing.T) {
	dir := t.TempDir()
	d, _ := openDisk(t, dir)
	for i := range 3 {
		require.NoError(t, d.Write(t.Context(), newRecord(fmt.Sprint(i), "x")))
		d.mu.Lock()
		d.segments[i].sealed = true
		d.mu.Unlock()
	}
	past := bootclock.Now() - time.Second
	d.mu.Lock()
	d.segments[0].expiresAt, d.segments[0].createdAt = past, past-maxSegmentAge
	d.segments[2].expiresAt, d.segments[2].createdAt = past, past-maxSegmentAge
	d.mu.Unlock()
	d.expire()
	assert.False(t, d.Has(turnNamed("0")))
	requireContent(t, d, "1", "x")
	assert.True(t, d.Has(turnNamed("2")), "the newest segment stays")
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, files, 2)
}

// TestLongStoppedProcessDropsOldRecords guards against a disk that fills up because each
// restart keeps the records of earlier ones.
func TestLongStoppedProcessDropsOldRecords(t *testing.T) {
	dir := t.TempDir()
	old := time.Now().Add(-staleFactor * (time.Minute + expiryMargin)).Unix()
	frame, err := appendFrame(nil, frameInfo{Turn: turnNamed("old"), Retention: time.Minute, WrittenUnixSeconds: old}, []byte("x"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, segmentPrefix+"0000000000000001"+segmentSuffix), frame, 0o600))
	d, _ := openDisk(t, dir)
	assert.False(t, d.Has(turnNamed("old")))
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Empty(t, files)
}

// TestFailedWriteIsReported guards against a record that counts as stored although the
// disk refused it, and against later records in a segment of unknown content.
func TestFailedWriteIsReported(t *testing.T) {
	dir := t.TempDir()
	d, _ := openDisk(t, dir)
	require.NoError(t, d.Write(t.Context(), newRecord("a", "x")))
	d.mu.Lock()
	require.NoError(t, d.segments[0].file.Close())
	d.mu.Unlock()
	require.Error(t, d.Write(t.Context(), newRecord("b", "y")))
	assert.False(t, d.Has(turnNamed("b")))
	require.NoError(t, d.Write(t.Context(), newRecord("c", "z")))
	requireContent(t, d, "c", "z")
}

// FuzzSegment guards against segment files that crash the process, or whose damaged
// records are read.
func FuzzSegment(f *testing.F) {
	frame, err := appendFrame(nil, frameInfo{Turn: turnNamed("a"), Retention: time.Minute, WrittenUnixSeconds: time.Now().Unix()}, []byte("content"))
	require.NoError(f, err)
	f.Add(frame)
	f.Add(append(frame[:len(frame):len(frame)], frame[:9]...))
	f.Add(frame[4:])
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, segmentPrefix+"0000000000000001"+segmentSuffix), data, 0o600))
		d, err := OpenDisk(dir, discardLogger())
		require.NoError(t, err)
		defer d.close()
		for turn := range d.index {
			r, err := d.Read(turn)
			if err == nil && len(r.Content) > len(data) {
				t.Fatalf("record of %d bytes in a segment of %d bytes", len(r.Content), len(data))
			}
		}
	})
}
