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

// A segment consists of a header and frames. The header consists of a magic number and a
// random salt. The salt seeds the CRC of every frame, so that payload bytes that look
// like a frame are not read as one. A frame consists of a magic number, the length of the
// payload, the CRC of length and payload, and the payload.
const (
	segmentMagic       = 0x68765731
	frameMagic         = 0x68764672
	segmentHeaderBytes = 8
	frameHeaderBytes   = 12
	maxPayloadBytes    = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errInvalidFrame = errors.New("invalid magic number, length or checksum of a frame")

// frameCRC returns the CRC of a frame, whose length is given in encoded form.
func frameCRC(salt uint32, length, payload []byte) uint32 {
	return crc32.Update(crc32.Update(salt, castagnoli, length), castagnoli, payload)
}

// appendFrame appends a frame with the encoded record r to buf.
func appendFrame(buf []byte, salt uint32, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeaderBytes)...)
	buf = r.encode(buf)
	header, payload := buf[start:start+frameHeaderBytes], buf[start+frameHeaderBytes:]
	binary.LittleEndian.PutUint32(header, frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:], frameCRC(salt, header[4:8], payload))
	return buf
}

// readFrame returns the payload and the size of the frame at the start of data.
func readFrame(data []byte, salt uint32) (payload []byte, size int, err error) {
	if len(data) < frameHeaderBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, 0, errInvalidFrame
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxPayloadBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, 0, errInvalidFrame
	}
	size = frameHeaderBytes + int(length)
	payload = data[frameHeaderBytes:size]
	if frameCRC(salt, data[4:8], payload) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, errInvalidFrame
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

// segmentContents is the decoded content of a segment.
type segmentContents struct {
	salt      uint32
	snapshot  position
	hardState raft.HardState
	entries   []raft.Entry
	// valid is the length of the prefix without damage, in bytes.
	valid int
}

// decodeSegment decodes the data of a segment file. Its errors are of type
// *CorruptionError, without a file name.
func decodeSegment(data []byte) (segmentContents, error) {
	var d segmentContents
	if len(data) < segmentHeaderBytes || binary.LittleEndian.Uint32(data) != segmentMagic {
		return d, &CorruptionError{Reason: "invalid segment header"}
	}
	d.salt = binary.LittleEndian.Uint32(data[4:])
	d.valid = segmentHeaderBytes
	for first := true; d.valid < len(data); first = false {
		payload, size, err := readFrame(data[d.valid:], d.salt)
		if err != nil {
			// An invalid first frame cannot be a torn write, because the checkpoint was
			// synced before the file was renamed to its final name.
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
	if d.valid == segmentHeaderBytes {
		return d, &CorruptionError{Offset: segmentHeaderBytes, Reason: "segment has no checkpoint"}
	}
	return d, nil
}

// apply adds a record to the contents; first is set for the first record of the segment.
func (d *segmentContents) apply(r record, first bool) error {
	if first != (r.checkpoint != nil) {
		return errors.New("the first record of a segment, and no other, must have a checkpoint")
	}
	if first {
		d.snapshot = *r.checkpoint
	}
	if r.hardState != nil {
		d.hardState = *r.hardState
	}
	for _, e := range r.entries {
		next := d.snapshot.index + uint64(len(d.entries)) + 1
		if e.Index <= d.snapshot.index || e.Index > next {
			return fmt.Errorf("entry index %d is out of range, next index is %d", e.Index, next)
		}
		d.entries = append(d.entries[:e.Index-d.snapshot.index-1], e)
	}
	return nil
}

// startSegment creates a segment with its checkpoint and makes it the current segment.
func (l *Log) startSegment(number uint64, snapshot position, hardState raft.HardState, entries []raft.Entry) error {
	header := make([]byte, segmentHeaderBytes)
	binary.LittleEndian.PutUint32(header, segmentMagic)
	if _, err := rand.Read(header[4:]); err != nil {
		return err
	}
	salt := binary.LittleEndian.Uint32(header[4:])
	content := appendFrame(header, salt, record{checkpoint: &snapshot, hardState: &hardState, entries: entries})
	f, err := l.writeFile(segmentName(number), content)
	if err != nil {
		return err
	}
	l.segment, l.segmentNumber, l.salt = f, number, salt
	l.size, l.hasTail = int64(len(content)), false
	return nil
}

// loadSegment reads a segment and its snapshot into c, and truncates a torn write at the
// segment's end.
func (l *Log) loadSegment(number uint64, c *Contents) error {
	path := filepath.Join(l.dir, segmentName(number))
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	d, err := decodeSegment(data)
	if err != nil {
		return withFileName(err, path)
	}
	c.HardState, c.Entries = d.hardState, d.entries
	c.TornBytes = int64(len(data) - d.valid)
	if d.snapshot.index > 0 {
		if c.Snapshot, err = readSnapshot(filepath.Join(l.dir, snapshotName(d.snapshot)), d.snapshot); err != nil {
			return err
		}
	}
	if err := l.openForAppend(path, number, d); err != nil {
		return err
	}
	return l.removeStaleFiles(d.snapshot.index, d.snapshot.term)
}

// openForAppend makes a segment the current one and truncates it to its valid prefix. It
// syncs the file even if nothing was cut off: the last frame may be complete in the page
// cache although the process ended before its sync.
func (l *Log) openForAppend(path string, number uint64, d segmentContents) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	l.segment, l.segmentNumber, l.salt, l.size = f, number, d.salt, int64(d.valid)
	if err := f.Truncate(int64(d.valid)); err != nil {
		return err
	}
	if _, err := f.Seek(int64(d.valid), 0); err != nil {
		return err
	}
	return errors.Join(l.sync(f), l.syncDir())
}

// withFileName sets the file name of a corruption error.
func withFileName(err error, path string) error {
	var corruption *CorruptionError
	if errors.As(err, &corruption) {
		corruption.File = path
	}
	return err
}
