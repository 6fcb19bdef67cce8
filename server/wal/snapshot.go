package wal

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"

	"hemlockvale.dev/coord/raft"
)

// A snapshot file consists of a magic number, the CRC of the rest of the file, the length
// of the metadata, the metadata as JSON, and the state.
const (
	snapshotMagic       = 0x68765331
	snapshotHeaderBytes = 12
)

// encodeSnapshot returns the content of a snapshot file.
func encodeSnapshot(s raft.Snapshot) ([]byte, error) {
	meta, err := json.Marshal(s.SnapshotMeta)
	if err != nil {
		return nil, err
	}
	buf := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(meta)+len(s.Data))
	binary.LittleEndian.PutUint32(buf, snapshotMagic)
	binary.LittleEndian.PutUint32(buf[8:], uint32(len(meta)))
	buf = append(append(buf, meta...), s.Data...)
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(buf[8:], castagnoli))
	return buf, nil
}

// decodeSnapshot decodes the data of a snapshot file. Its errors are of type
// *CorruptionError, without a file name.
func decodeSnapshot(data []byte) (*raft.Snapshot, error) {
	if len(data) < snapshotHeaderBytes || binary.LittleEndian.Uint32(data) != snapshotMagic {
		return nil, &CorruptionError{Reason: "invalid snapshot header"}
	}
	if crc32.Checksum(data[8:], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, &CorruptionError{Offset: 8, Reason: "snapshot checksum mismatch"}
	}
	length := binary.LittleEndian.Uint32(data[8:])
	rest := data[snapshotHeaderBytes:]
	if uint64(length) > uint64(len(rest)) {
		return nil, &CorruptionError{Offset: 8, Reason: "metadata length exceeds the snapshot file"}
	}
	s := &raft.Snapshot{Data: rest[length:]}
	if err := json.Unmarshal(rest[:length], &s.SnapshotMeta); err != nil {
		return nil, &CorruptionError{Offset: snapshotHeaderBytes, Reason: err.Error()}
	}
	return s, nil
}

// writeSnapshot stores s durably. The caller then writes the segment that refers to it.
func (l *Log) writeSnapshot(s raft.Snapshot) error {
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	f, err := l.writeFile(snapshotName(position{s.Index, s.Term}), data)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return l.syncDir()
}

// readSnapshot reads a snapshot file and checks that it has the wanted position.
func readSnapshot(path string, want position) (*raft.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, withFileName(err, path)
	}
	if (position{s.Index, s.Term}) != want {
		return nil, &CorruptionError{File: path, Reason: "snapshot index or term differs from the checkpoint"}
	}
	return s, nil
}
