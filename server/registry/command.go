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
	// plainCommand is the largest command in bytes that is not worth compressing.
	plainCommand = 1 << 10
	// maxCommand bounds an unpacked command in bytes.
	maxCommand = 64 << 20
)

// encodeCommand returns the form of a command in the log: JSON, compressed if
// it is long. A configuration and its document go to every replica, and repeat
// the same names hundreds of times.
func encodeCommand(c catalog.Command) ([]byte, error) {
	if c.PutConfiguration != nil {
		packed, err := compress(c.PutConfiguration.Document)
		if err != nil {
			return nil, err
		}
		put := *c.PutConfiguration
		put.Document = packed
		c.PutConfiguration = &put
	}
	data, err := json.Marshal(c)
	if err != nil || len(data) <= plainCommand {
		return data, err
	}
	return compress(data)
}

// decodeCommand reads a command from the log.
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

// compressedMark begins compressed data; neither JSON nor a document can begin with it.
const compressedMark = 0

func compress(data []byte) ([]byte, error) {
	out := bytes.NewBuffer([]byte{compressedMark})
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

// decompress also returns data that is not compressed.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMark {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	out, err := io.ReadAll(io.LimitReader(r, maxCommand+1))
	if err == nil && len(out) > maxCommand {
		err = fmt.Errorf("more than %d bytes", maxCommand)
	}
	return out, err
}
