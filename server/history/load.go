package history

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/bootclock"
)

// load adds the records of a segment that an earlier process wrote. The segment ends at
// the first frame that is not intact: everything before it was synced first.
func (d *Disk) load(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		return errors.Join(err, f.Close())
	}
	s := &segment{file: f, size: info.Size(), createdAt: bootclock.Now(), sealed: true}
	valid, err := d.scan(s, info.Size())
	if err != nil {
		return errors.Join(err, f.Close())
	}
	if valid < info.Size() {
		d.log.WithFields(logrus.Fields{"event": "records_torn", "file": filepath.Base(path), "bytes": info.Size() - valid}).Warn("segment ends with an incomplete record")
	}
	if len(s.turns) == 0 {
		return errors.Join(f.Close(), os.Remove(path))
	}
	// The last frames may be in the page cache only, because the process ended before
	// their sync.
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	d.segments = append(d.segments, s)
	d.bytes += s.size
	return nil
}

// scan indexes the intact frames of a segment and returns their total length.
func (d *Disk) scan(s *segment, size int64) (int64, error) {
	var offset int64
	header := make([]byte, frameHeaderBytes)
	for offset+frameHeaderBytes <= size {
		if _, err := s.file.ReadAt(header, offset); err != nil {
			return offset, err
		}
		h, err := decodeHeader(header)
		end := offset + frameHeaderBytes + int64(h.infoBytes) + int64(h.contentBytes)
		if err != nil || end > size {
			return offset, nil
		}
		encoded := make([]byte, h.infoBytes)
		if _, err := s.file.ReadAt(encoded, offset+frameHeaderBytes); err != nil {
			return offset, err
		}
		info, err := h.decodeInfo(encoded)
		if err != nil {
			return offset, nil
		}
		age := time.Since(time.Unix(info.WrittenUnixSeconds, 0))
		if age < staleFactor*(info.Retention+expiryMargin) {
			d.addLocked(s, info.Turn, location{s, offset + frameHeaderBytes + int64(h.infoBytes), h.contentBytes, h.contentCRC}, info.Retention+expiryMargin)
		}
		offset = end
	}
	return offset, nil
}
