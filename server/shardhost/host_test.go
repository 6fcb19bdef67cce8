package shardhost

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
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

// complete runs a call whose response and history are the text.
func complete(t testing.TB, h *Host, c program.BeginCall, text string) {
	t.Helper()
	r := begin(t, h, c)
	require.NotNil(t, r.Ticket, "%+v", r.Refusal)
	require.NoError(t, h.Finish(context.Background(), program.FinishCall{
		Ticket: *r.Ticket, Outcome: program.Completed, TokensUsed: 5, Target: "t1", HistoryDelta: []byte(text),
		Response: &program.StoredResponse{Status: 200, Body: []byte(text)},
	}))
}

// Guards against calls that work only at the owner, and against responses that
// are lost or run again when the owner fails.
func TestCallThroughEveryEntryAndFailover(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.settled(3)
	for _, id := range []string{"a", "b", "c"} {
		complete(t, c.nodes[id].host, call("p-"+id, "k"), id)
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

// Guards against a planned stop that refuses or loses a call.
func TestHandoverUnderLoad(t *testing.T) {
	c := newCluster(t, 8, "a", "b", "c")
	c.settled(3)
	running := begin(t, c.nodes["c"].host, call("long", "k"))
	require.NotNil(t, running.Ticket)
	entry := c.nodes["b"].host
	var stop atomic.Bool
	done := make(chan int)
	go func() {
		n := 0
		for ; !stop.Load(); n++ {
			complete(t, entry, call(fmt.Sprint("p", n%16), fmt.Sprint(n)), "turn")
		}
		done <- n
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, c.nodes["a"].host.Handover(ctx))
	for s := range 8 {
		require.False(t, c.nodes["a"].host.Owns(s))
	}
	c.stop("a")
	c.remove("a")
	time.Sleep(100 * time.Millisecond)
	stop.Store(true)
	require.Positive(t, <-done)
	require.NoError(t, c.nodes["c"].host.Finish(t.Context(), program.FinishCall{Ticket: *running.Ticket, Outcome: program.Completed}))
}

// Guards against a handover that gives up its shards although no replica can take them.
func TestHandoverWithoutReplicaServesOn(t *testing.T) {
	c := newCluster(t, 1, "a")
	c.settled(1)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, c.nodes["a"].host.Handover(ctx), context.DeadlineExceeded)
	complete(t, c.nodes["a"].host, call("p", "k"), "turn")
}

// Guards against an isolated entry that serves past its lease, or whose refusal
// is not true; and against programs that stop with it.
func TestIsolatedEntryRefuses(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.settled(3)
	complete(t, c.nodes["b"].host, call("p", "k"), "turn")
	c.mu.Lock()
	c.nodes["a"].paused = true
	c.mu.Unlock()
	isolated := time.Now()
	require.Eventually(t, func() bool { return !c.nodes["a"].host.Owns(0) }, 3*time.Second, 10*time.Millisecond)
	require.Greater(t, time.Since(isolated), time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r, err := c.nodes["a"].host.Begin(ctx, call("p", "k2"))
	require.NoError(t, err)
	require.Equal(t, &program.Refusal{
		Code: program.CodeShardUnavailable, Executed: program.ExecutedNo, Detail: r.Refusal.Detail,
	}, r.Refusal)
	c.remove("a")
	require.NotNil(t, begin(t, c.nodes["b"].host, call("p", "k")).Replay)
	complete(t, c.nodes["b"].host, call("p", "k2"), "turn")
}

// Guards against engine memory that is kept after a refused release or released
// twice, quarantine that
// only one entry sees, and callers that hang on a call that nobody settles.
func TestProgramLifeThroughOtherEntries(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.settled(3)
	ctx := t.Context()
	ref := program.Ref{Organisation: "org", ID: "p"}
	complete(t, c.nodes["b"].host, call("p", "k"), "turn")
	for _, node := range c.nodes {
		node.mu.Lock()
		node.refusals = 1
		node.mu.Unlock()
	}
	require.NoError(t, c.nodes["c"].host.End(ctx, ref))
	released := func() (n int) {
		for _, node := range c.nodes {
			node.mu.Lock()
			n += len(node.released)
			node.mu.Unlock()
		}
		return n
	}
	require.Eventually(t, func() bool { return released() == 1 }, 3*time.Second, 5*time.Millisecond)

	for i, want := range []bool{false, true} {
		require.NoError(t, c.nodes["a"].host.ReportCrash(ctx, "org", 5, fmt.Sprint("t", i)))
		got, err := c.nodes["b"].host.Quarantined(ctx, "org", 5)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.NoError(t, c.nodes["c"].host.ClearQuarantine(ctx, "org", 5))
	got, err := c.nodes["a"].host.Quarantined(ctx, "org", 5)
	require.NoError(t, err)
	require.False(t, got)

	open := begin(t, c.nodes["a"].host, call("q", "k"))
	require.NotNil(t, open.Ticket)
	busy := begin(t, c.nodes["b"].host, call("q", "k2"))
	require.Equal(t, program.CodeProgramBusy, busy.Refusal.Code)
	retry := begin(t, c.nodes["b"].host, call("q", "k"))
	require.Equal(t, [2]string{program.CodeCallInProgress, program.ExecutedUnknown}, [2]string{retry.Refusal.Code, retry.Refusal.Executed})
	require.Equal(t, 1, released())
}

// Guards against a call that its sender gave up but that keeps the program's turn.
func TestAbandonedCallReturnsTheTurn(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.settled(3)
	open := begin(t, c.nodes["a"].host, call("p", "k"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, err := c.nodes["b"].host.Begin(ctx, call("p", "k2"))
	require.NoError(t, err)
	require.Equal(t, program.CodeShardUnavailable, r.Refusal.Code)
	require.NoError(t, c.nodes["a"].host.Finish(t.Context(), program.FinishCall{Ticket: *open.Ticket, Outcome: program.NotRun}))
	complete(t, c.nodes["c"].host, call("p", "k3"), "turn")
}

// Measures a call at a local owner with two replicas over loopback.
func BenchmarkBeginFinish(b *testing.B) {
	for _, parallel := range []int{1, 64} {
		b.Run(fmt.Sprint("callers=", parallel), func(b *testing.B) {
			c := newCluster(b, 1, "a", "b", "c")
			c.settled(3)
			var n atomic.Int64
			b.SetParallelism(parallel)
			b.ReportAllocs()
			b.ResetTimer()
			work := func() {
				id := n.Add(1)
				k := call(fmt.Sprint("p", id%1024), "")
				k.ResendWindow, k.Runner = 0, fleet.VMRef{}
				complete(b, c.nodes["a"].host, k, "turn")
			}
			if parallel == 1 {
				for b.Loop() {
					work()
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					work()
				}
			})
		})
	}
}
