package wal

import (
	"encoding/binary"
	"errors"

	"hemlockvale.dev/coord/raft"
)

// record is the payload of a frame.
type record struct {
	// checkpoint is the position of the snapshot. It is set in the first record of a
	// segment only.
	checkpoint *position
	// hardState replaces the hard state; nil leaves it unchanged.
	hardState *raft.HardState
	// entries replaces the log from its first index on.
	entries []raft.Entry
}

const (
	flagCheckpoint = 1 << iota
	flagHardState
	knownFlags = flagCheckpoint | flagHardState
)

var errInvalidRecord = errors.New("invalid record encoding")

// encode appends the encoded record to buf: the flags, the optional parts, the number of
// entries and the entries. Numbers are encoded as varints, and byte strings are preceded
// by their length.
func (r record) encode(buf []byte) []byte {
	var flags byte
	if r.checkpoint != nil {
		flags |= flagCheckpoint
	}
	if r.hardState != nil {
		flags |= flagHardState
	}
	buf = append(buf, flags)
	if r.checkpoint != nil {
		buf = binary.AppendUvarint(buf, r.checkpoint.index)
		buf = binary.AppendUvarint(buf, r.checkpoint.term)
	}
	if r.hardState != nil {
		buf = binary.AppendUvarint(buf, r.hardState.Term)
		buf = appendBytes(buf, r.hardState.Vote.Name)
		buf = appendBytes(buf, r.hardState.Vote.Storage)
	}
	buf = binary.AppendUvarint(buf, uint64(len(r.entries)))
	for i := range r.entries {
		e := &r.entries[i]
		buf = binary.AppendUvarint(buf, e.Index)
		buf = binary.AppendUvarint(buf, e.Term)
		buf = append(buf, byte(e.Kind))
		buf = appendBytes(buf, e.Data)
	}
	return buf
}

// appendBytes appends the length of s and s to buf.
func appendBytes[T ~string | ~[]byte](buf []byte, s T) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}

// decoder reads a payload. After the first error every read returns the zero value.
type decoder struct {
	data []byte
	err  error
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) byte() byte {
	if len(d.data) == 0 {
		d.fail()
		return 0
	}
	b := d.data[0]
	d.data = d.data[1:]
	return b
}

// bytes returns a copy of a byte string, so that an entry does not keep the data of the
// whole file in memory.
func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.data)) {
		d.fail()
		return nil
	}
	if n == 0 {
		return nil
	}
	b := append([]byte(nil), d.data[:n]...)
	d.data = d.data[n:]
	return b
}

// fail records the error and discards the remaining data.
func (d *decoder) fail() {
	d.err = errInvalidRecord
	d.data = nil
}

// decodeRecord decodes a complete payload.
func decodeRecord(payload []byte) (record, error) {
	var r record
	d := decoder{data: payload}
	flags := d.byte()
	if flags&^knownFlags != 0 {
		d.fail()
	}
	if flags&flagCheckpoint != 0 {
		r.checkpoint = &position{index: d.uvarint(), term: d.uvarint()}
	}
	if flags&flagHardState != 0 {
		r.hardState = &raft.HardState{Term: d.uvarint()}
		r.hardState.Vote = raft.ReplicaID{Name: string(d.bytes()), Storage: string(d.bytes())}
	}
	for range d.uvarint() {
		e := raft.Entry{Index: d.uvarint(), Term: d.uvarint(), Kind: raft.EntryKind(d.byte()), Data: d.bytes()}
		if d.err != nil {
			break
		}
		r.entries = append(r.entries, e)
	}
	if d.err == nil && len(d.data) > 0 {
		d.fail()
	}
	return r, d.err
}
