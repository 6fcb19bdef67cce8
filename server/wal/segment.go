package wal

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"hemlockvale.dev/coord/raft"
)

// A segment is a header and frames. The header is a magic number and a random
// salt that seeds the CRC of every frame, so that payload bytes that look like
// a frame are not taken for one. A frame is a magic number, the payload's
// length, the CRC of length and payload, and the payload.
const (
	segmentMagic    = 0x68765731
	frameMagic      = 0x68764672
	headerBytes     = 8
	frameHeadBytes  = 12
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errBadFrame = errors.New("bad frame")

func frameCRC(salt uint32, length, payload []byte) uint32 {
	return crc32.Update(crc32.Update(salt, castagnoli, length), castagnoli, payload)
}

// appendFrame appends an encoded record to buf.
func appendFrame(buf []byte, salt uint32, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeadBytes)...)
	buf = r.encode(buf)
	head, payload := buf[start:start+frameHeadBytes], buf[start+frameHeadBytes:]
	binary.LittleEndian.PutUint32(head, frameMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[8:], frameCRC(salt, head[4:8], payload))
	return buf
}

// readFrame returns the payload at the start of data and the frame's length.
func readFrame(data []byte, salt uint32) (payload []byte, size int, err error) {
	if len(data) < frameHeadBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, 0, errBadFrame
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxPayloadBytes || int(length) > len(data)-frameHeadBytes {
		return nil, 0, errBadFrame
	}
	size = frameHeadBytes + int(length)
	payload = data[frameHeadBytes:size]
	if frameCRC(salt, data[4:8], payload) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, errBadFrame
	}
	return payload, size, nil
}

// hasFrame reports whether a valid frame starts anywhere in data.
func hasFrame(data []byte, salt uint32) bool {
	for i := range data {
		if _, _, err := readFrame(data[i:], salt); err == nil {
			return true
		}
	}
	return false
}

// decoded is the content of a segment.
type decoded struct {
	salt     uint32
	snapshot position
	hard     raft.HardState
	entries  []raft.Entry
	// valid is the length of the intact prefix.
	valid int
}

// decodeSegment reads a segment. Errors are *CorruptionError without a file name.
func decodeSegment(data []byte) (decoded, error) {
	var d decoded
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != segmentMagic {
		return d, &CorruptionError{Reason: "bad segment header"}
	}
	d.salt = binary.LittleEndian.Uint32(data[4:])
	d.valid = headerBytes
	for first := true; d.valid < len(data); first = false {
		payload, size, err := readFrame(data[d.valid:], d.salt)
		if err != nil {
			// The checkpoint was synced before the segment got its name.
			if first || hasFrame(data[d.valid+1:], d.salt) {
				return d, &CorruptionError{Offset: int64(d.valid), Reason: err.Error()}
			}
			return d, nil
		}
		r, err := decodeRecord(payload)
		if err == nil {
			err = d.apply(r, first)
		}
		if err != nil {
			return d, &CorruptionError{Offset: int64(d.valid), Reason: err.Error()}
		}
		d.valid += size
	}
	if d.valid == headerBytes {
		return d, &CorruptionError{Offset: headerBytes, Reason: "no checkpoint"}
	}
	return d, nil
}

func (d *decoded) apply(r record, first bool) error {
	if first != (r.checkpoint != nil) {
		return errors.New("checkpoint is not the first record")
	}
	if first {
		d.snapshot = *r.checkpoint
	}
	if r.hard != nil {
		d.hard = *r.hard
	}
	for _, e := range r.entries {
		next := d.snapshot.index + uint64(len(d.entries)) + 1
		if e.Index <= d.snapshot.index || e.Index > next {
			return fmt.Errorf("entry %d does not continue the log at %d", e.Index, next)
		}
		d.entries = append(d.entries[:e.Index-d.snapshot.index-1], e)
	}
	return nil
}

// startSegment creates a segment with its checkpoint and makes it current.
func (l *Log) startSegment(number uint64, snapshot position, hard raft.HardState, entries []raft.Entry) error {
	header := make([]byte, headerBytes)
	binary.LittleEndian.PutUint32(header, segmentMagic)
	if _, err := rand.Read(header[4:]); err != nil {
		return err
	}
	salt := binary.LittleEndian.Uint32(header[4:])
	f, err := l.writeFile(segmentName(number), appendFrame(header, salt, record{checkpoint: &snapshot, hard: &hard, entries: entries}))
	if err != nil {
		return err
	}
	l.segment, l.number, l.salt = f, number, salt
	return nil
}

// replay loads segment number and its snapshot, and cuts a torn tail.
func (l *Log) replay(number uint64, c *Contents) error {
	path := filepath.Join(l.dir, segmentName(number))
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	d, err := decodeSegment(data)
	if err != nil {
		return inFile(err, path)
	}
	c.HardState, c.Entries = d.hard, d.entries
	c.TornBytes = int64(len(data) - d.valid)
	if d.snapshot.index > 0 {
		if c.Snapshot, err = readSnapshot(filepath.Join(l.dir, snapshotName(d.snapshot)), d.snapshot); err != nil {
			return err
		}
	}
	if err := l.resume(path, number, d); err != nil {
		return err
	}
	return l.removeStale(d.snapshot.index, d.snapshot.term)
}

// resume opens the segment for appending behind its intact prefix. It syncs
// even without a torn tail: the last frame may be intact in the page cache
// although the process ended before its sync.
func (l *Log) resume(path string, number uint64, d decoded) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	l.segment, l.number, l.salt = f, number, d.salt
	if err := f.Truncate(int64(d.valid)); err != nil {
		return err
	}
	if _, err := f.Seek(int64(d.valid), 0); err != nil {
		return err
	}
	return errors.Join(l.sync(f), l.syncDir())
}

// inFile adds the file name to a corruption error.
func inFile(err error, path string) error {
	var corruption *CorruptionError
	if errors.As(err, &corruption) {
		corruption.File = path
	}
	return err
}
