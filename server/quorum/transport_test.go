package quorum

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/raft"
)

// TestEnvelopeKeepsFieldsAndIsShort guards against an encoding that loses a field of a
// message, and against an encoding with field names, which costs traffic between data
// centres.
func TestEnvelopeKeepsFieldsAndIsShort(t *testing.T) {
	from, to := ReplicaID{Name: "10.1.0.32", Storage: "9e958f66-6b28-4f58-af31-982482489c3c"}, ReplicaID{Name: "10.2.0.46", Storage: "c044e22e-5c01-4389-bd2b-d03d40a8d65d"}
	full := raft.Message{
		Kind: raft.MessageAppend, From: from, To: to, Term: 3, Index: 70, LogTerm: 2, Previous: 5, Commit: 69, Round: 9, Offset: 4, Rejected: true,
		Entries: []raft.Entry{{Index: 71, Term: 3, Kind: 1, Data: []byte("data")}},
		Chunk:   &raft.SnapshotChunk{Offset: 1, Total: 2, Data: []byte("chunk")},
	}
	for _, m := range []raft.Message{full, {Kind: raft.MessageHeartbeat, From: from, To: to, Term: 3, Index: 70, Commit: 69, Round: 9}} {
		sent := envelope{m, "10.1.0.32:7640"}
		text, err := json.Marshal(sent)
		require.NoError(t, err)
		var received envelope
		require.NoError(t, json.Unmarshal(text, &received))
		assert.Equal(t, sent, received)
		if m.Chunk == nil {
			assert.Less(t, len(text), 200)
		}
	}
	var e envelope
	assert.Error(t, json.Unmarshal([]byte(`"AAAA"`), &e))
	assert.Error(t, json.Unmarshal([]byte(`{}`), &e))
}

// FuzzEnvelope guards against a malformed message from a faulty or unknown sender that
// makes the replica panic.
func FuzzEnvelope(f *testing.F) {
	good, err := json.Marshal(envelope{raft.Message{Kind: raft.MessageAppend, Entries: []raft.Entry{{Index: 1, Data: []byte("x")}}}, "a:1"})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`"kgE="`))
	f.Add([]byte(`null`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var e envelope
		_ = json.Unmarshal(text, &e)
	})
}
