package forward

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadEvent checks that the events of a stream, joined, are a prefix of its bytes,
// so that no bytes are lost, added or changed.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
	f.Add([]byte("id:\r\n\r\n\n\ndata"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		var whole []byte
		for {
			e, err := readEvent(r, func(int) error { return nil })
			if err != nil {
				break
			}
			whole = append(whole, e.raw...)
		}
		if !bytes.HasPrefix(data, whole) {
			t.Fatalf("%q read as %q", data, whole)
		}
	})
}
