package compact

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// message has a field of each kind that messages between VMs use.
type message struct {
	Text    string
	Data    []byte
	Number  int64
	Real    float64
	Flag    bool
	List    []part
	Strings []string
	Pointer *part
}

type part struct {
	Name string
	Size int64
}

func newMessage(n int) message {
	m := message{Text: strings.Repeat("t", n), Data: bytes.Repeat([]byte{0xff}, n), Number: int64(n) - 40000, Real: 1.5, Flag: n%2 == 0}
	for i := range n {
		m.List = append(m.List, part{strings.Repeat("p", i%40), int64(i) << (i % 60)})
		m.Strings = append(m.Strings, strings.Repeat("s", i%300))
	}
	if n > 0 {
		m.Pointer = &part{"last", -1}
	}
	return m
}

// TestRoundTrip guards against a check of lengths that rejects valid messages.
func TestRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 15, 16, 31, 32, 255, 256, 70000} {
		data, err := Marshal(newMessage(n))
		require.NoError(t, err)
		var decoded message
		require.NoError(t, Unmarshal(data, &decoded), n)
		assert.Equal(t, newMessage(n).List, decoded.List)
		assert.Equal(t, newMessage(n).Data, decoded.Data)
		assert.Equal(t, newMessage(n).Pointer, decoded.Pointer)
	}
}

// TestStatedLengths guards against a few bytes that make the process allocate gigabytes.
func TestStatedLengths(t *testing.T) {
	for _, data := range [][]byte{
		{0x98, 0xa0, 0xc4, 0, 0, 0xca, 0, 0, 0, 0, 0xc2, 0xdd, 0xff, 0xff, 0xff, 0xff},
		{0xdc, 0xff, 0xff}, {0xdb, 0xff, 0xff, 0xff, 0xff}, {0xc6, 0xff, 0xff, 0xff, 0xff, 0}, {0xdf, 0x7f, 0xff, 0xff, 0xff},
		{0xdd, 0xff}, {0x9f}, {0xcf, 1},
	} {
		require.ErrorIs(t, Unmarshal(data, &message{}), ErrLength, "%x", data)
	}
}
