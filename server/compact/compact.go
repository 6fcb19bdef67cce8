// Package compact encodes messages between VMs that are too frequent for JSON. It
// encodes structs as MessagePack arrays without field names. Fields are identified by
// their position, so new fields must be added at the end of a struct.
package compact

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal returns the compact encoding of a value.
func Marshal(value any) ([]byte, error) {
	var out bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&out)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(value)
	return out.Bytes(), err
}

// Unmarshal decodes data that Marshal encoded and stores the result in value, which
// must be a pointer.
func Unmarshal(data []byte, value any) error { return msgpack.Unmarshal(data, value) }
