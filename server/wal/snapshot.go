package wal

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"

	"hemlockvale.dev/coord/raft"
)

// A snapshot file is a magic number, the CRC of the rest, the length of the
// description, the description as JSON, and the state.
const (
	snapshotMagic     = 0x68765331
	snapshotHeadBytes = 12
)

func encodeSnapshot(s raft.Snapshot) ([]byte, error) {
	meta, err := json.Marshal(s.SnapshotMeta)
	if err != nil {
		return nil, err
	}
	buf := make([]byte, snapshotHeadBytes, snapshotHeadBytes+len(meta)+len(s.Data))
	binary.LittleEndian.PutUint32(buf, snapshotMagic)
	binary.LittleEndian.PutUint32(buf[8:], uint32(len(meta)))
	buf = append(append(buf, meta...), s.Data...)
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(buf[8:], castagnoli))
	return buf, nil
}

// decodeSnapshot reads a snapshot file. Errors are *CorruptionError without a file name.
func decodeSnapshot(data []byte) (*raft.Snapshot, error) {
	if len(data) < snapshotHeadBytes || binary.LittleEndian.Uint32(data) != snapshotMagic {
		return nil, &CorruptionError{Reason: "bad snapshot header"}
	}
	if crc32.Checksum(data[8:], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, &CorruptionError{Offset: 8, Reason: "snapshot checksum mismatch"}
	}
	length := binary.LittleEndian.Uint32(data[8:])
	rest := data[snapshotHeadBytes:]
	if uint64(length) > uint64(len(rest)) {
		return nil, &CorruptionError{Offset: 8, Reason: "bad length of the description"}
	}
	s := &raft.Snapshot{Data: rest[length:]}
	if err := json.Unmarshal(rest[:length], &s.SnapshotMeta); err != nil {
		return nil, &CorruptionError{Offset: snapshotHeadBytes, Reason: err.Error()}
	}
	return s, nil
}

// writeSnapshot stores s durably; the segment that refers to it follows.
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

func readSnapshot(path string, want position) (*raft.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, inFile(err, path)
	}
	if (position{s.Index, s.Term}) != want {
		return nil, &CorruptionError{File: path, Reason: "snapshot is of another position"}
	}
	return s, nil
}
