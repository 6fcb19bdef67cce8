package wal

import (
	"encoding/binary"
	"errors"

	"hemlockvale.dev/coord/raft"
)

// record is the payload of a frame.
type record struct {
	// checkpoint is set in the first record of a segment: the position of the snapshot.
	checkpoint *position
	// hard replaces the hard state.
	hard *raft.HardState
	// entries replace the log from their first index on.
	entries []raft.Entry
}

const (
	flagCheckpoint = 1 << iota
	flagHardState
	knownFlags = flagCheckpoint | flagHardState
)

var errBadRecord = errors.New("bad record")

// encode appends the record: flags, the optional parts, and the entries with
// their count. Numbers are varints and byte strings carry their length.
func (r record) encode(buf []byte) []byte {
	var flags byte
	if r.checkpoint != nil {
		flags |= flagCheckpoint
	}
	if r.hard != nil {
		flags |= flagHardState
	}
	buf = append(buf, flags)
	if r.checkpoint != nil {
		buf = binary.AppendUvarint(buf, r.checkpoint.index)
		buf = binary.AppendUvarint(buf, r.checkpoint.term)
	}
	if r.hard != nil {
		buf = binary.AppendUvarint(buf, r.hard.Term)
		buf = appendBytes(buf, r.hard.Vote.Name)
		buf = appendBytes(buf, r.hard.Vote.Storage)
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

func appendBytes[T ~string | ~[]byte](buf []byte, s T) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}

// decoder reads a payload; after the first error every read returns zero.
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

// bytes returns a copy, so that an entry does not keep the whole file in memory.
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

func (d *decoder) fail() {
	d.err = errBadRecord
	d.data = nil
}

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
		r.hard = &raft.HardState{Term: d.uvarint()}
		r.hard.Vote = raft.ReplicaID{Name: string(d.bytes()), Storage: string(d.bytes())}
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
