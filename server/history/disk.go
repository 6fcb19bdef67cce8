package history

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/wal"
)

const (
	segmentPrefix = "history-"
	segmentSuffix = ".seg"
	// maxSegmentBytes and maxSegmentAge determine when a new segment is started. Segments
	// are deleted whole, so short segments free the disk earlier.
	maxSegmentBytes = 16 << 20
	maxSegmentAge   = 5 * time.Second
	// writeQueueSize bounds the writes that wait for the disk, and maxBatchBytes the
	// contents that share one sync.
	writeQueueSize = 256
	maxBatchBytes  = 4 << 20
	// expiryMargin is how long records are kept after their retention has passed.
	expiryMargin = 30 * time.Second
	// expireInterval is the time between two searches for expired segments.
	expireInterval = 2 * time.Second
	// staleFactor bounds the age of the records that are kept over a restart, as a
	// multiple of their retention. The age is measured by the wall clock, which may have
	// been changed.
	staleFactor = 5
)

var (
	// ErrNotFound reports that the disk holds no intact record of the turn.
	ErrNotFound = errors.New("no record of this turn")
	// ErrBusy reports that too many writes wait for the disk.
	ErrBusy = errors.New("too many writes wait for the disk")
	// ErrClosed reports that the disk is closed or has failed.
	ErrClosed = errors.New("the record store is closed")
)

// Record is the history of a program up to and including one turn.
type Record struct {
	Turn history.Turn
	// Retention is how long the record must be kept.
	Retention time.Duration
	// Content is the history as a target receives it.
	Content []byte
}

// location is the place of a record on disk.
type location struct {
	segment    *segment
	offset     int64
	length     int
	contentCRC uint32
}

// segment is a file with records.
type segment struct {
	file *os.File
	size int64
	// createdAt and expiresAt are on the boot clock.
	createdAt, expiresAt time.Duration
	turns                []history.Turn
	// sealed is set if the segment gets no more records, because a write failed or
	// because an earlier process wrote it and its end may be damaged.
	sealed bool
}

// write is a record that waits for the disk.
type write struct {
	frame []byte
	turn  history.Turn
	// keepFor is the time from the write after which the record may be deleted.
	keepFor    time.Duration
	contentLen int
	contentCRC uint32
	done       chan error
}

// Disk stores records in segment files. It is safe for concurrent use.
type Disk struct {
	dir   string
	log   *logrus.Entry
	queue chan write

	mu       sync.Mutex
	index    map[history.Turn]location
	segments []*segment
	bytes    int64
	// lastNumber is the number of the newest segment file.
	lastNumber uint64
	failure    error
}

// OpenDisk opens the records in a directory, which it creates if needed. Run must be
// called for writes to be made.
func OpenDisk(dir string, log *logrus.Entry) (*Disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("record store: %w", err)
	}
	d := &Disk{dir: dir, log: log, queue: make(chan write, writeQueueSize), index: make(map[history.Turn]location)}
	numbers, err := wal.NumberedFiles(dir, segmentPrefix, segmentSuffix)
	if err != nil {
		return nil, fmt.Errorf("record store: %w", err)
	}
	for _, number := range numbers {
		d.lastNumber = number
		if err := d.load(d.path(number)); err != nil {
			return nil, fmt.Errorf("record store: %w", err)
		}
	}
	log.WithFields(logrus.Fields{"event": "records_opened", "segments": len(d.segments), "records": len(d.index), "bytes": d.bytes}).Info("record store opened")
	return d, nil
}

func (d *Disk) path(number uint64) string {
	return filepath.Join(d.dir, fmt.Sprintf("%s%016d%s", segmentPrefix, number, segmentSuffix))
}

// addLocked indexes a record. The caller holds d.mu, or is the only user of d.
func (d *Disk) addLocked(s *segment, t history.Turn, l location, keepFor time.Duration) {
	d.index[t] = l
	s.turns = append(s.turns, t)
	s.expiresAt = max(s.expiresAt, bootclock.Now()+keepFor)
}

// Has reports whether the disk holds a record of a turn.
func (d *Disk) Has(t history.Turn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.index[t]
	return ok
}

// Read returns a record with its remaining retention. It returns ErrNotFound if there is
// none or if it is damaged.
func (d *Disk) Read(t history.Turn) (Record, error) {
	d.mu.Lock()
	l, ok := d.index[t]
	r := Record{Turn: t}
	if ok {
		r.Retention = max(l.segment.expiresAt-expiryMargin-bootclock.Now(), 0)
	}
	d.mu.Unlock()
	if !ok {
		return r, ErrNotFound
	}
	r.Content = make([]byte, l.length)
	_, err := l.segment.file.ReadAt(r.Content, l.offset)
	if err == nil && crc32.Checksum(r.Content, castagnoli) != l.contentCRC {
		err = errInvalidFrame
	}
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "record_unreadable", "turn": t.String()}).WithError(err).Error("cannot read a record")
		return r, ErrNotFound
	}
	return r, nil
}

// Write stores records and returns once all of them are synced.
func (d *Disk) Write(ctx context.Context, records ...Record) error {
	pending := make([]chan error, 0, len(records))
	for _, r := range records {
		info := frameInfo{Turn: r.Turn, Retention: r.Retention, WrittenUnixSeconds: time.Now().Unix()}
		frame, err := appendFrame(nil, info, r.Content)
		if err != nil {
			return err
		}
		w := write{frame: frame, turn: r.Turn, keepFor: r.Retention + expiryMargin, contentLen: len(r.Content), contentCRC: crc32.Checksum(r.Content, castagnoli), done: make(chan error, 1)}
		select {
		case d.queue <- w:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
		}
		pending = append(pending, w.done)
	}
	var errs []error
	for _, done := range pending {
		select {
		case err := <-done:
			errs = append(errs, err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.Join(errs...)
}

// Run writes the queued records until ctx ends. Records that are queued at the same time
// share one sync.
func (d *Disk) Run(ctx context.Context) {
	go periodic.Every(ctx, expireInterval, d.expire)
	for {
		select {
		case <-ctx.Done():
			d.close()
			return
		case w := <-d.queue:
			d.writeBatch(d.collect(w))
		}
	}
}

func (d *Disk) collect(first write) []write {
	batch, size := []write{first}, len(first.frame)
	for size < maxBatchBytes {
		select {
		case w := <-d.queue:
			batch = append(batch, w)
			size += len(w.frame)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch writes and syncs a batch, and indexes its records.
func (d *Disk) writeBatch(batch []write) {
	s, start, err := d.currentSegment()
	var data []byte
	for _, w := range batch {
		data = append(data, w.frame...)
	}
	if err == nil {
		_, err = s.file.WriteAt(data, start)
	}
	if err == nil {
		err = s.file.Sync()
	}
	d.mu.Lock()
	if err != nil {
		// What a failed sync left on the disk is unknown, so the segment gets no more
		// records.
		d.log.WithFields(logrus.Fields{"event": "records_write_failed", "records": len(batch)}).WithError(err).Error("records not stored")
		if s != nil {
			s.sealed = true
		}
	} else {
		d.indexBatch(s, start, batch)
	}
	d.mu.Unlock()
	for _, w := range batch {
		w.done <- err
	}
}

// indexBatch indexes the records of a synced batch. The caller holds d.mu.
func (d *Disk) indexBatch(s *segment, start int64, batch []write) {
	offset := start
	for _, w := range batch {
		contentStart := offset + int64(len(w.frame)-w.contentLen)
		d.addLocked(s, w.turn, location{s, contentStart, w.contentLen, w.contentCRC}, w.keepFor)
		offset += int64(len(w.frame))
	}
	d.bytes += offset - start
	s.size = offset
}

// currentSegment returns the segment for the next batch and the offset at which it starts.
func (d *Disk) currentSegment() (*segment, int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure != nil {
		return nil, 0, d.failure
	}
	if n := len(d.segments); n > 0 {
		s := d.segments[n-1]
		if !s.sealed && s.size < maxSegmentBytes && bootclock.Now() < s.createdAt+maxSegmentAge {
			return s, s.size, nil
		}
	}
	d.lastNumber++
	f, err := os.OpenFile(d.path(d.lastNumber), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, err
	}
	if err := d.syncDir(); err != nil {
		return nil, 0, errors.Join(err, f.Close())
	}
	s := &segment{file: f, createdAt: bootclock.Now()}
	d.segments = append(d.segments, s)
	return s, 0, nil
}

// syncDir makes the creation of a segment durable.
func (d *Disk) syncDir() error {
	dir, err := os.Open(d.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// expire deletes the segments whose records have all expired. The newest segment stays.
func (d *Disk) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := bootclock.Now()
	kept := d.segments[:0]
	for i, s := range d.segments {
		if i == len(d.segments)-1 || s.expiresAt > now || now < s.createdAt+maxSegmentAge {
			kept = append(kept, s)
			continue
		}
		d.remove(s)
	}
	clear(d.segments[len(kept):])
	d.segments = kept
}

// remove deletes a segment. The caller holds d.mu.
func (d *Disk) remove(s *segment) {
	for _, t := range s.turns {
		if d.index[t].segment == s {
			delete(d.index, t)
		}
	}
	d.bytes -= s.size
	if err := errors.Join(s.file.Close(), os.Remove(s.file.Name())); err != nil {
		d.log.WithFields(logrus.Fields{"event": "segment_not_deleted", "file": filepath.Base(s.file.Name())}).WithError(err).Error("expired segment not deleted")
	}
	d.log.WithFields(logrus.Fields{"event": "segment_deleted", "records": len(s.turns), "bytes": s.size, "stored_bytes": d.bytes}).Info("expired segment deleted")
}

// Usage returns the number of records and their size on disk in bytes.
func (d *Disk) Usage() (records int, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.index), d.bytes
}

// close closes the files. Later writes fail.
func (d *Disk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = ErrClosed
	for _, s := range d.segments {
		if err := s.file.Close(); err != nil {
			d.log.WithField("event", "segment_not_closed").WithError(err).Warn("cannot close a segment")
		}
	}
}
