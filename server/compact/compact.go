// Package compact encodes messages between VMs that are too frequent for JSON. It
// encodes structs as MessagePack arrays without field names. Both sides must have the same
// fields in the same order; a struct with another number of fields is not decoded.
package compact

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
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

// ErrLength is returned for data whose stated lengths exceed its size.
var ErrLength = errors.New("a stated length exceeds the size of the data")

// Unmarshal decodes data that Marshal encoded and stores the result in value, which
// must be a pointer.
func Unmarshal(data []byte, value any) error {
	if err := checkLengths(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, value)
}

// checkLengths returns ErrLength if data states a list, a text or a byte string that is
// longer than the rest of data. The library allocates lists of any stated length.
func checkLengths(data []byte) error {
	for len(data) > 0 {
		code := data[0]
		data = data[1:]
		lengthBytes, valueBytes, elements := layout(code)
		if lengthBytes > len(data) {
			return ErrLength
		}
		for _, b := range data[:lengthBytes] {
			if valueBytes < 0 {
				elements = elements<<8 | uint64(b)
			} else {
				valueBytes = valueBytes<<8 | int(b)
			}
		}
		data = data[lengthBytes:]
		if valueBytes > len(data) || elements > uint64(len(data)) {
			return ErrLength
		}
		if valueBytes > 0 {
			data = data[valueBytes:]
		}
	}
	return nil
}

// layout returns what follows a MessagePack code: the number of bytes that state a length,
// and, if the length is part of the code or fixed, the bytes of the value or the number of
// its elements. valueBytes is negative for lists and maps.
func layout(code byte) (lengthBytes, valueBytes int, elements uint64) {
	switch {
	case msgpcode.IsFixedArray(code):
		return 0, -1, uint64(code & msgpcode.FixedArrayMask)
	case msgpcode.IsFixedMap(code):
		return 0, -1, uint64(code & msgpcode.FixedMapMask)
	case msgpcode.IsFixedString(code):
		return 0, int(code & msgpcode.FixedStrMask), 0
	}
	switch code {
	case msgpcode.Array16, msgpcode.Map16:
		return 2, -1, 0
	case msgpcode.Array32, msgpcode.Map32:
		return 4, -1, 0
	case msgpcode.Bin8, msgpcode.Str8:
		return 1, 0, 0
	case msgpcode.Bin16, msgpcode.Str16:
		return 2, 0, 0
	case msgpcode.Bin32, msgpcode.Str32:
		return 4, 0, 0
	case msgpcode.Uint8, msgpcode.Int8:
		return 0, 1, 0
	case msgpcode.Uint16, msgpcode.Int16:
		return 0, 2, 0
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 0, 4, 0
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 0, 8, 0
	}
	return 0, 0, 0
}
