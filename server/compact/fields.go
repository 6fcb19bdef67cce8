package compact

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// InsertField returns an encoded struct with one more field, which is nil, at the given
// index. It converts a message of a release without the field.
func InsertField(data []byte, index int) ([]byte, error) {
	fields, err := splitFields(data)
	if err != nil {
		return nil, err
	}
	if index > len(fields) {
		return nil, fmt.Errorf("index %d exceeds the %d fields", index, len(fields))
	}
	with := append([]msgpack.RawMessage{}, fields[:index]...)
	with = append(with, msgpack.RawMessage{msgpcode.Nil})
	return joinFields(append(with, fields[index:]...))
}

// RemoveField returns an encoded struct without the field at the given index. It converts a
// message for a release without the field.
func RemoveField(data []byte, index int) ([]byte, error) {
	fields, err := splitFields(data)
	if err != nil {
		return nil, err
	}
	if index >= len(fields) {
		return nil, fmt.Errorf("index %d exceeds the %d fields", index, len(fields))
	}
	return joinFields(append(fields[:index:index], fields[index+1:]...))
}

// splitFields returns the encoded fields of an encoded struct.
func splitFields(data []byte) ([]msgpack.RawMessage, error) {
	var fields []msgpack.RawMessage
	err := Unmarshal(data, &fields)
	return fields, err
}

// joinFields returns the encoded struct with the given encoded fields.
func joinFields(fields []msgpack.RawMessage) ([]byte, error) {
	var out bytes.Buffer
	if err := msgpack.NewEncoder(&out).EncodeArrayLen(len(fields)); err != nil {
		return nil, err
	}
	for _, f := range fields {
		if len(f) == 0 {
			// The library decodes nil to an empty message.
			f = msgpack.RawMessage{msgpcode.Nil}
		}
		out.Write(f)
	}
	return out.Bytes(), nil
}
