package history

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/compact"
)

// A segment file is a sequence of frames. A frame consists of a fixed header, the encoded
// frameInfo and the content. The header holds the magic number, the lengths of info and
// content, the CRC of the header so far and the info, and the CRC of the content. The
// separate CRCs allow a start without reading the contents.
const (
	frameMagic       = 0x68765432
	frameHeaderBytes = 20
	maxInfoBytes     = 4 << 10
	// MaxContentBytes bounds the history of one turn.
	MaxContentBytes = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errInvalidFrame = errors.New("invalid magic number, length or checksum of a frame")

// frameInfo describes the record in a frame.
type frameInfo struct {
	Turn history.Turn
	// Retention is how long the record must be kept.
	Retention time.Duration
	// WrittenUnixSeconds is the wall clock time at which the record was written.
	WrittenUnixSeconds int64
}

// appendFrame appends a frame to buf.
func appendFrame(buf []byte, info frameInfo, content []byte) ([]byte, error) {
	encoded, err := compact.Marshal(info)
	if err != nil {
		return buf, err
	}
	if len(encoded) > maxInfoBytes || len(content) > MaxContentBytes {
		return buf, errInvalidFrame
	}
	start := len(buf)
	buf = append(buf, make([]byte, frameHeaderBytes)...)
	header := buf[start:]
	binary.LittleEndian.PutUint32(header, frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(encoded)))
	binary.LittleEndian.PutUint32(header[8:], uint32(len(content)))
	binary.LittleEndian.PutUint32(header[12:], infoCRC(header[:12], encoded))
	binary.LittleEndian.PutUint32(header[16:], crc32.Checksum(content, castagnoli))
	buf = append(buf, encoded...)
	return append(buf, content...), nil
}

func infoCRC(header, info []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, info)
}

// frameHeader is a decoded frame header.
type frameHeader struct {
	infoBytes, contentBytes int
	infoCRC, contentCRC     uint32
	encoded                 [frameHeaderBytes]byte
}

// decodeHeader decodes a frame header, whose info is verified by decodeInfo.
func decodeHeader(data []byte) (frameHeader, error) {
	var h frameHeader
	if len(data) < frameHeaderBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return h, errInvalidFrame
	}
	copy(h.encoded[:], data)
	h.infoBytes, h.contentBytes = int(binary.LittleEndian.Uint32(data[4:])), int(binary.LittleEndian.Uint32(data[8:]))
	h.infoCRC, h.contentCRC = binary.LittleEndian.Uint32(data[12:]), binary.LittleEndian.Uint32(data[16:])
	if h.infoBytes > maxInfoBytes || h.contentBytes > MaxContentBytes {
		return h, errInvalidFrame
	}
	return h, nil
}

// decodeInfo verifies and decodes the info that follows a header.
func (h frameHeader) decodeInfo(data []byte) (frameInfo, error) {
	var info frameInfo
	if infoCRC(h.encoded[:12], data) != h.infoCRC {
		return info, errInvalidFrame
	}
	if err := compact.Unmarshal(data, &info); err != nil {
		return info, errors.Join(errInvalidFrame, err)
	}
	return info, nil
}
