package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/history"
)

// TestCapturedStateDoesNotChange guards against a snapshot that contains a part of the commands
// that are applied while it is encoded.
func TestCapturedStateDoesNotChange(t *testing.T) {
	program := Program{"o", "p"}
	turn := func(id string) history.Keep {
		return history.Keep{Turn: history.Turn{Organisation: "o", ID: id}, Holders: []string{"s0"}, RetentionSeconds: 60}
	}
	s := New()
	s.Apply(Command{UnixSeconds: 100, Reserves: []Reserve{{Program: program, Request: "r1", Budget: 100, Tokens: 10}}, Keeps: []history.Keep{turn("t1")}})
	want, err := s.Snapshot()
	require.NoError(t, err)
	encode := s.Capture()
	s.Apply(Command{
		UnixSeconds: 101, Reserves: []Reserve{{Program: program, Request: "r2", Budget: 100, Tokens: 10}}, Settles: []Settle{{program, "r1", 5}},
		Keeps: []history.Keep{{Turn: turn("t1").Turn, Holders: []string{"s1"}, Copied: true}, turn("t2")},
	})
	have, err := encode()
	require.NoError(t, err)
	assert.JSONEq(t, string(want), string(have))
}
