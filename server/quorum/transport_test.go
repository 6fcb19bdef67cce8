package quorum

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/raft"
)

// Guards against a message that loses a field on its way, and against messages
// that carry the names of their fields between data centres.
func TestPacketsAreCompleteAndShort(t *testing.T) {
	from, to := ReplicaID{Name: "10.1.0.32", Storage: "9e958f66-6b28-4f58-af31-982482489c3c"}, ReplicaID{Name: "10.2.0.46", Storage: "c044e22e-5c01-4389-bd2b-d03d40a8d65d"}
	full := raft.Message{
		Kind: raft.MessageAppend, From: from, To: to, Term: 3, Index: 70, LogTerm: 2, Previous: 5, Commit: 69, Round: 9, Offset: 4, Rejected: true,
		Entries: []raft.Entry{{Index: 71, Term: 3, Kind: 1, Data: []byte("data")}},
		Chunk:   &raft.SnapshotChunk{Offset: 1, Total: 2, Data: []byte("chunk")},
	}
	for _, m := range []raft.Message{full, {Kind: raft.MessageHeartbeat, From: from, To: to, Term: 3, Index: 70, Commit: 69, Round: 9}} {
		sent := packet{m, "10.1.0.32:7640"}
		text, err := json.Marshal(sent)
		require.NoError(t, err)
		var received packet
		require.NoError(t, json.Unmarshal(text, &received))
		assert.Equal(t, sent, received)
		if m.Chunk == nil {
			assert.Less(t, len(text), 200)
		}
	}
	var p packet
	assert.Error(t, json.Unmarshal([]byte(`"AAAA"`), &p))
	assert.Error(t, json.Unmarshal([]byte(`{}`), &p))
}

// Guards against a message of a broken or foreign sender that stops a replica.
func FuzzPacket(f *testing.F) {
	good, err := json.Marshal(packet{raft.Message{Kind: raft.MessageAppend, Entries: []raft.Entry{{Index: 1, Data: []byte("x")}}}, "a:1"})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`"kgE="`))
	f.Add([]byte(`null`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var p packet
		_ = json.Unmarshal(text, &p)
	})
}
