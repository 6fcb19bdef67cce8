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

// newCall returns a call of the program id with the given idempotency key.
func newCall(id, key string) program.BeginCall {
	return program.BeginCall{
		Program: program.Ref{Organisation: "org", ID: id}, Key: key, Fingerprint: 7, NonIdempotent: true,
		ResendWindow: time.Minute, WaitLimit: time.Second, CallTimeout: time.Minute, EstimatedTokens: 10,
	}
}

// begin begins a call with a timeout of 8 s.
func begin(t testing.TB, h *Host, c program.BeginCall) program.BeginResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	r, err := h.Begin(ctx, c)
	require.NoError(t, err)
	return r
}

// runCall begins and finishes a call with the text as its response and history.
func runCall(t testing.TB, h *Host, c program.BeginCall, text string) {
	t.Helper()
	r := begin(t, h, c)
	require.NotNil(t, r.Ticket, "%+v", r.Refusal)
	require.NoError(t, h.Finish(context.Background(), program.FinishCall{
		Ticket: *r.Ticket, Outcome: program.Completed, TokensUsed: 5, Target: "t1", HistoryDelta: []byte(text),
		Response: &program.StoredResponse{Status: 200, Body: []byte(text)},
	}))
}

// TestCallThroughEveryEntryAndFailover checks that a call succeeds through every
// VM, not only through the owner of its shard, and that after the failure of an
// owner its calls are answered from the stored responses and not executed again.
func TestCallThroughEveryEntryAndFailover(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.waitReplicated(3)
	for _, id := range []string{"a", "b", "c"} {
		runCall(t, c.nodes[id].host, newCall("p-"+id, "k"), id)
	}
	c.stop("a")
	c.remove("a")
	for _, id := range []string{"a", "b", "c"} {
		r := begin(t, c.nodes["b"].host, newCall("p-"+id, "k"))
		require.NotNil(t, r.Replay, "%+v", r.Refusal)
		require.Equal(t, id, string(r.Replay.Body))
		history, err := c.nodes["c"].host.History(t.Context(), program.Ref{Organisation: "org", ID: "p-" + id})
		require.NoError(t, err)
		require.Equal(t, id, string(history))
	}
}

// TestHandoverUnderLoad checks that a planned stop neither refuses nor loses a call.
func TestHandoverUnderLoad(t *testing.T) {
	c := newCluster(t, 8, "a", "b", "c")
	c.waitReplicated(3)
	running := begin(t, c.nodes["c"].host, newCall("long", "k"))
	require.NotNil(t, running.Ticket)
	entry := c.nodes["b"].host
	var stop atomic.Bool
	done := make(chan int)
	go func() {
		n := 0
		for ; !stop.Load(); n++ {
			runCall(t, entry, newCall(fmt.Sprint("p", n%16), fmt.Sprint(n)), "turn")
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

// TestHandoverWithoutReplicaServesOn checks that an owner keeps serving a shard if
// no other replica can take it over.
func TestHandoverWithoutReplicaServesOn(t *testing.T) {
	c := newCluster(t, 1, "a")
	c.waitReplicated(1)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, c.nodes["a"].host.Handover(ctx), context.DeadlineExceeded)
	runCall(t, c.nodes["a"].host, newCall("p", "k"), "turn")
}

// TestIsolatedEntryRefuses checks that an owner that control no longer reaches
// stops serving when its lease expires, and that its refusal of a later call
// truthfully says that the call was not executed. Another VM must be able to
// continue the owner's programs.
func TestIsolatedEntryRefuses(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.waitReplicated(3)
	runCall(t, c.nodes["b"].host, newCall("p", "k"), "turn")
	c.mu.Lock()
	c.nodes["a"].paused = true
	c.mu.Unlock()
	isolated := time.Now()
	require.Eventually(t, func() bool { return !c.nodes["a"].host.Owns(0) }, 3*time.Second, 10*time.Millisecond)
	require.Greater(t, time.Since(isolated), time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r, err := c.nodes["a"].host.Begin(ctx, newCall("p", "k2"))
	require.NoError(t, err)
	require.Equal(t, &program.Refusal{
		Code: program.CodeShardUnavailable, Executed: program.ExecutedNo, Detail: r.Refusal.Detail,
	}, r.Refusal)
	c.remove("a")
	require.NotNil(t, begin(t, c.nodes["b"].host, newCall("p", "k")).Replay)
	runCall(t, c.nodes["b"].host, newCall("p", "k2"), "turn")
}

// TestProgramLifecycleThroughOtherEntries sends requests through any VM, not only
// the owner of the shard. It checks that engine memory is released exactly once
// although the first attempt fails, and that all VMs see the same quarantine. While
// a call is not settled, a second call of its program and a resent request must be
// refused.
func TestProgramLifecycleThroughOtherEntries(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.waitReplicated(3)
	ctx := t.Context()
	ref := program.Ref{Organisation: "org", ID: "p"}
	runCall(t, c.nodes["b"].host, newCall("p", "k"), "turn")
	for _, node := range c.nodes {
		node.mu.Lock()
		node.failures = 1
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

	open := begin(t, c.nodes["a"].host, newCall("q", "k"))
	require.NotNil(t, open.Ticket)
	busy := begin(t, c.nodes["b"].host, newCall("q", "k2"))
	require.Equal(t, program.CodeProgramBusy, busy.Refusal.Code)
	retry := begin(t, c.nodes["b"].host, newCall("q", "k"))
	require.Equal(t, [2]string{program.CodeCallInProgress, program.ExecutedUnknown}, [2]string{retry.Refusal.Code, retry.Refusal.Executed})
	require.Equal(t, 1, released())
}

// TestAbandonedCallDoesNotBlockProgram checks that a queued call whose sender has
// stopped waiting does not prevent later calls of the program.
func TestAbandonedCallDoesNotBlockProgram(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.waitReplicated(3)
	open := begin(t, c.nodes["a"].host, newCall("p", "k"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, err := c.nodes["b"].host.Begin(ctx, newCall("p", "k2"))
	require.NoError(t, err)
	require.Equal(t, program.CodeShardUnavailable, r.Refusal.Code)
	require.NoError(t, c.nodes["a"].host.Finish(t.Context(), program.FinishCall{Ticket: *open.Ticket, Outcome: program.NotRun}))
	runCall(t, c.nodes["c"].host, newCall("p", "k3"), "turn")
}

// BenchmarkBeginFinish measures a call at a local owner with two other replicas
// over loopback.
func BenchmarkBeginFinish(b *testing.B) {
	for _, parallel := range []int{1, 64} {
		b.Run(fmt.Sprint("callers=", parallel), func(b *testing.B) {
			c := newCluster(b, 1, "a", "b", "c")
			c.waitReplicated(3)
			var n atomic.Int64
			b.SetParallelism(parallel)
			b.ReportAllocs()
			b.ResetTimer()
			runOne := func() {
				id := n.Add(1)
				beginCall := newCall(fmt.Sprint("p", id%1024), "")
				beginCall.ResendWindow, beginCall.Runner = 0, fleet.VMRef{}
				runCall(b, c.nodes["a"].host, beginCall, "turn")
			}
			if parallel == 1 {
				for b.Loop() {
					runOne()
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					runOne()
				}
			})
		})
	}
}
