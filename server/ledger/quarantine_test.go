package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/compact"
)

// crashFingerprint identifies the request that ends targets.
const crashFingerprint = 1<<63 + 7

// lossOf reports that a target at an address ended while it ran the request.
func lossOf(n int, address string) LossReport {
	return LossReport{Request: fmt.Sprint("lost ", n), Loss: quarantine.Loss{
		Content:     quarantine.Content{Organisation: "o", Fingerprint: crashFingerprint},
		Incarnation: catalog.Incarnation{Target: fmt.Sprint("t", n), StartedUnixMS: 1}, Address: address, Ran: time.Millisecond, Kind: quarantine.Disconnected,
	}}
}

// crashingRequest is an admission request with the content that ends targets.
func crashingRequest(id string) AdmitRequest {
	r := AdmitRequest{}
	r.ID, r.Service, r.Organisation, r.Fingerprint, r.TimeLeft = id, "s", "o", crashFingerprint, time.Second
	return r
}

// awaitRefusal sends the request until it is refused or granted, as want says.
func awaitRefusal(t *testing.T, c *Client, want dispatch.Refusal) {
	t.Helper()
	n := 0
	require.Eventually(t, func() bool {
		n++
		id := fmt.Sprint("try ", want, n)
		response, err := c.Admit(t.Context(), crashingRequest(id))
		if response.Target != "" {
			c.Done(DoneReport{ID: id, Target: response.Target, Result: dispatch.Abandoned})
		}
		return err == nil && response.Refusal == want
	}, 5*time.Second, 10*time.Millisecond)
}

// TestQuarantineOutlivesTheLeader guards against a leader that forgets which request has
// ended targets when it restarts, and against a crash that is lost with the leader before it
// is known.
func TestQuarantineOutlivesTheLeader(t *testing.T) {
	dir := t.TempDir()
	s := startStore(t, dir)
	s.awaitLeader(t)
	var address atomic.Value
	address.Store(s.address)
	addresses := func() []string { return []string{address.Load().(string)} }
	losing, other := startClient(t, addresses), startClient(t, addresses)
	// The catalog lists targets t0, t1 and t2, whose processes have ended.
	s.setTargets("t0", "t1", "t2")
	_, err := losing.Admit(t.Context(), crashingRequest("first"))
	require.NoError(t, err)
	for n := range quarantine.Threshold - 1 {
		losing.ReportLoss(lossOf(n, "127.0.0.1:1"))
		time.Sleep(20 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return s.ended(t) == quarantine.Threshold-1 }, 5*time.Second, 10*time.Millisecond)
	s.stop()
	losing.ReportLoss(lossOf(quarantine.Threshold-1, "127.0.0.1:1"))
	time.Sleep(leaseDuration)

	s = startStore(t, dir)
	s.awaitLeader(t)
	s.setTargets("t0", "t1", "t2")
	address.Store(s.address)
	// The entry that lost the response has no further request for the new leader.
	awaitRefusal(t, other, Quarantined)

	content, err := json.Marshal(quarantine.Content{Organisation: "o", Fingerprint: crashFingerprint})
	require.NoError(t, err)
	_, err = s.host.handleClearQuarantine(t.Context(), content)
	require.NoError(t, err)
	awaitRefusal(t, other, "")
}

// ended returns the number of targets that the request has ended, as operators see it. It
// waits while the lease of the store VM has lapsed.
func (s *testStore) ended(t *testing.T) int {
	t.Helper()
	var response any
	err := errors.New("not asked")
	for deadline := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		response, err = s.host.handleQuarantine(context.Background(), nil)
	}
	if !assert.NoError(t, err) {
		return -1
	}
	for _, suspect := range response.(QuarantineResponse).Suspects {
		if suspect.Fingerprint == crashFingerprint && suspect.FingerprintText == "8000000000000007" {
			return suspect.Ended
		}
	}
	return 0
}

// TestTargetsThatListenHaveNotEnded guards against a request that is held back because
// entries lost their connections to sound targets, one alone or several together.
func TestTargetsThatListenHaveNotEnded(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	s.setTargets("t0", "t1", "t2", "t3")
	_, err := c.Admit(t.Context(), crashingRequest("first"))
	require.NoError(t, err)
	for n := range quarantine.Threshold + 1 {
		// The address of the store VM itself stands for that of a target.
		c.ReportLoss(lossOf(n, s.address))
		c.Done(DoneReport{ID: "other", Target: fmt.Sprint("t", n), Result: dispatch.Unreachable})
		time.Sleep(20 * time.Millisecond)
		s.host.mu.Lock()
		s.host.done("another entry", DoneReport{ID: "third", Target: fmt.Sprint("t", n), Result: dispatch.Unreachable})
		s.host.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	assert.Zero(t, s.ended(t))
	awaitRefusal(t, c, "")
}

// TestLossReportsKeepTheirFields guards against an encoding that loses a field.
func TestLossReportsKeepTheirFields(t *testing.T) {
	sent := []LossReport{lossOf(1, "a:1")}
	sent[0].Age, sent[0].Reporter = time.Second, "b"
	data, err := compact.Marshal(sent)
	require.NoError(t, err)
	var got []LossReport
	require.NoError(t, compact.Unmarshal(data, &got))
	assert.Equal(t, sent, got)

	known := knownLosses{}
	for n := range 2 * maxKnownLosses {
		known.add(lossOf(n, ""))
	}
	assert.Len(t, slices.Concat(known.messages()...), maxKnownLosses)
	known.list[0].reportedAt = time.Now().Add(-2 * quarantine.LossRetention)
	assert.Len(t, slices.Concat(known.messages()...), maxKnownLosses-1)
}

// TestQueuedRequestIsHeldBack guards against a grant for a request that has ended enough
// targets while it was queued, and against a slot that is not released then.
func TestQueuedRequestIsHeldBack(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	c := startClient(t, func() []string { return []string{s.address} })
	s.setTargets("t0", "t1", "t2")
	view := *s.view.Load()
	for i := range view.Targets[1:] {
		// The request waits for the only target of its service.
		view.Targets[1+i].Service = "other"
	}
	s.view.Store(&view)
	s.host.Update(&view)
	// A target with one slot holds two requests.
	for _, id := range []string{"running", "next at the target"} {
		running := crashingRequest(id)
		running.Fingerprint = 1
		response, err := c.Admit(t.Context(), running)
		require.NoError(t, err)
		require.Equal(t, "t", response.Target)
	}
	outcome := make(chan dispatch.Refusal, 1)
	go func() {
		r := crashingRequest("queued")
		r.TimeLeft = 5 * time.Second
		response, err := c.Admit(t.Context(), r)
		assert.NoError(t, err)
		outcome <- response.Refusal
	}()
	require.Eventually(t, func() bool {
		s.host.mu.Lock()
		defer s.host.mu.Unlock()
		return s.host.dispatcher.Load("s").Waiting == 1
	}, time.Second, time.Millisecond)
	for n := range quarantine.Threshold {
		c.ReportLoss(lossOf(n, "127.0.0.1:1"))
		time.Sleep(20 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return s.ended(t) == quarantine.Threshold }, 5*time.Second, 10*time.Millisecond)
	c.Done(DoneReport{ID: "running", Target: "t", Result: dispatch.Completed})
	assert.Equal(t, Quarantined, <-outcome)
	next := crashingRequest("next")
	next.Fingerprint = 1
	response, err := c.Admit(t.Context(), next)
	require.NoError(t, err)
	assert.Equal(t, "t", response.Target)
}

// failingProposer fails the first proposals.
type failingProposer struct {
	proposer
	failures int
}

func (p *failingProposer) Propose(ctx context.Context, data []byte) (any, error) {
	if p.failures > 0 {
		p.failures--
		return nil, context.DeadlineExceeded
	}
	return p.proposer.Propose(ctx, data)
}

// TestCrashIsProposedAgain guards against a crash that is not counted because the quorum did
// not confirm it at once.
func TestCrashIsProposedAgain(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	s.host.mu.Lock()
	s.host.batcher.quorum = &failingProposer{s.host.batcher.quorum, 3}
	l := lossOf(0, "")
	s.host.recordCrashes([]quarantine.Crash{{Content: l.Content, Incarnation: l.Incarnation, FromUnixMS: 1, ToUnixMS: 2}})
	s.host.mu.Unlock()
	require.Eventually(t, func() bool { return s.ended(t) == 1 }, 5*time.Second, 10*time.Millisecond)
}
