package shardhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/program"
)

func call(id, key string) program.BeginCall {
	return program.BeginCall{
		Program: program.Ref{Organisation: "org", ID: id}, Key: key, Fingerprint: 7, NonIdempotent: true,
		ResendWindow: time.Minute, WaitLimit: time.Second, CallTimeout: time.Minute, EstimatedTokens: 10,
	}
}

func begin(t testing.TB, h *Host, c program.BeginCall) program.BeginResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	r, err := h.Begin(ctx, c)
	require.NoError(t, err)
	return r
}

// Guards against calls that work only at the owner, and against responses that
// are lost or run again when the owner fails.
func TestCallThroughEveryEntryAndFailover(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.settled(3)
	for _, id := range []string{"a", "b", "c"} {
		h := c.nodes[id].host
		r := begin(t, h, call("p-"+id, "k"))
		require.NotNil(t, r.Ticket, "%+v", r.Refusal)
		require.NoError(t, h.Finish(t.Context(), program.FinishCall{
			Ticket: *r.Ticket, Outcome: program.Completed, TokensUsed: 5, Target: "t1", HistoryDelta: []byte(id),
			Response: &program.StoredResponse{Status: 200, Body: []byte(id)},
		}))
	}
	c.stop("a")
	c.remove("a")
	for _, id := range []string{"a", "b", "c"} {
		r := begin(t, c.nodes["b"].host, call("p-"+id, "k"))
		require.NotNil(t, r.Replay, "%+v", r.Refusal)
		require.Equal(t, id, string(r.Replay.Body))
		history, err := c.nodes["c"].host.History(t.Context(), program.Ref{Organisation: "org", ID: "p-" + id})
		require.NoError(t, err)
		require.Equal(t, id, string(history))
	}
}
