// Package compact encodes messages between VMs that are too frequent for JSON:
// structs become MessagePack arrays without field names. Fields are told apart
// by their order, so new ones are added at the end.
package compact

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a value.
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

// Unmarshal decodes what Marshal has encoded.
func Unmarshal(data []byte, value any) error { return msgpack.Unmarshal(data, value) }
