package registry

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"hemlockvale.dev/coord/catalog"
)

const (
	// maxUncompressedBytes is the size of the largest command that is stored without
	// compression.
	maxUncompressedBytes = 1 << 10
	// maxDecompressedBytes bounds the size of decompressed data.
	maxDecompressedBytes = 64 << 20
)

// encodeCommand returns the form of a command in the log: JSON, compressed if it is
// long. Compression is worthwhile because a configuration and its document are sent to
// every replica and repeat the same names hundreds of times.
func encodeCommand(c catalog.Command) ([]byte, error) {
	if c.PutConfiguration != nil {
		compressed, err := compress(c.PutConfiguration.Document)
		if err != nil {
			return nil, err
		}
		put := *c.PutConfiguration
		put.Document = compressed
		c.PutConfiguration = &put
	}
	if c.Evacuate != nil {
		carrier := c.Evacuate.Carrier()
		c.Retire = &carrier
	}
	data, err := json.Marshal(c)
	if err != nil || len(data) <= maxUncompressedBytes {
		return data, err
	}
	return compress(data)
}

// decodeCommand decodes a command from the log.
func decodeCommand(data []byte) (catalog.Command, error) {
	var c catalog.Command
	if len(data) == 0 || data[0] != '{' {
		var err error
		if data, err = decompress(data); err != nil {
			return c, fmt.Errorf("command: %w", err)
		}
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("command: %w", err)
	}
	if c.PutConfiguration != nil {
		document, err := decompress(c.PutConfiguration.Document)
		if err != nil {
			return c, fmt.Errorf("document: %w", err)
		}
		c.PutConfiguration.Document = document
	}
	return c, nil
}

// compressedPrefix is the first byte of compressed data. Neither JSON nor a document
// can start with it.
const compressedPrefix = 0

// compress returns the compressed data after compressedPrefix.
func compress(data []byte) ([]byte, error) {
	out := bytes.NewBuffer([]byte{compressedPrefix})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress reverses compress. Data without compressedPrefix is returned unchanged.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedPrefix {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	out, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err == nil && len(out) > maxDecompressedBytes {
		err = fmt.Errorf("decompressed data is larger than %d bytes", maxDecompressedBytes)
	}
	return out, err
}
