package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
)

// renewUntilLeading renews the lease of a store until it admits requests.
func (s *testStore) renewUntilLeading(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.host.renewLease(s.ctx)
		s.host.mu.Lock()
		defer s.host.mu.Unlock()
		return s.host.canAdmit()
	}, 20*time.Second, time.Millisecond)
}

// occupying are requests that take all that the store's target may hold.
var occupying = []string{"occupying 1", "occupying 2"}

// occupy sends the occupying requests with the given time left.
func occupy(t *testing.T, c *Client, left time.Duration) {
	t.Helper()
	for _, id := range occupying {
		r := turnRequest(id, 1000, 10)
		r.TimeLeft = left
		response, err := c.Admit(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, "t", response.Target)
	}
}

// admitAsync sends an admission request and returns a channel with the response.
func admitAsync(ctx context.Context, c *Client, r AdmitRequest) <-chan AdmitResponse {
	responses := make(chan AdmitResponse, 1)
	go func() {
		response, _ := c.Admit(ctx, r)
		responses <- response
	}()
	return responses
}

// awaitWaiting waits until n requests wait for a target.
func (s *testStore) awaitWaiting(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return s.waiting() == n }, time.Second, time.Millisecond)
}

// waiting returns the number of requests that wait for a target.
func (s *testStore) waiting() int {
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	return s.host.dispatcher.Load("s").Waiting
}

// TestLeaderWithoutLeaseGrantsNothing guards against a leader that was frozen or cut off and
// grants requests from its queue while its successor grants them too.
func TestLeaderWithoutLeaseGrantsNothing(t *testing.T) {
	for name, wake := range map[string]func(*testStore, *Client){
		"tick": func(s *testStore, _ *Client) {
			time.Sleep(700 * time.Millisecond)
			s.host.tick()
		},
		"catalog": func(s *testStore, _ *Client) { s.setTargets("u") },
		"done": func(s *testStore, _ *Client) {
			s.host.mu.Lock()
			defer s.host.mu.Unlock()
			s.host.done("entry", DoneReport{ID: occupying[0], Target: "t", Result: dispatch.Completed})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := openStore(t, t.TempDir())
			go s.host.batcher.run(s.ctx)
			go s.host.runDecider(s.ctx)
			s.renewUntilLeading(t)
			c := startClient(t, func() []string { return []string{s.address} })
			occupy(t, c, 50*time.Millisecond)
			s.renewUntilLeading(t)
			waiting := turnRequest("waiting", 1000, 10)
			waiting.TimeLeft = 5 * time.Second
			response := admitAsync(t.Context(), c, waiting)
			s.awaitWaiting(t, 1)
			time.Sleep(leaseDuration)
			wake(s, c)
			assert.Equal(t, 1, s.waiting(), "decided without a lease")
			s.renewUntilLeading(t)
			s.host.tick()
			assert.NotEmpty(t, (<-response).Target)
		})
	}
}

// TestLeaderWithoutLeaseKeepsItsEntries guards against entries that lose their connection and
// repeat all of their requests because the lease of the leader was renewed late.
func TestLeaderWithoutLeaseKeepsItsEntries(t *testing.T) {
	s := openStore(t, t.TempDir())
	go s.host.batcher.run(s.ctx)
	go s.host.runDecider(s.ctx)
	s.renewUntilLeading(t)
	c := startClient(t, func() []string { return []string{s.address} })
	occupy(t, c, 5*time.Second)
	l := c.connect(t.Context())
	time.Sleep(leaseDuration)
	c.Done(DoneReport{ID: occupying[0], Target: "t", Result: dispatch.Completed})
	require.Eventually(t, func() bool {
		s.host.mu.Lock()
		defer s.host.mu.Unlock()
		return s.host.dispatcher.Load("s").Running == 1
	}, time.Second, time.Millisecond, "a done report needs no lease")
	next := turnRequest("next", 1000, 10)
	next.TimeLeft = 5 * time.Second
	response := admitAsync(t.Context(), c, next)
	select {
	case r := <-response:
		t.Fatalf("decided without a lease: %+v", r)
	case <-time.After(2 * pingInterval):
	}
	s.renewUntilLeading(t)
	assert.Equal(t, "t", (<-response).Target)
	assert.Same(t, l, c.connect(t.Context()), "the connection is kept")
}

// TestLapsedLeaseRefusesNothing guards against requests that are refused as if the leader were
// overloaded, because they had to wait for its lease.
func TestLapsedLeaseRefusesNothing(t *testing.T) {
	s := openStore(t, t.TempDir())
	go s.host.batcher.run(s.ctx)
	go s.host.runDecider(s.ctx)
	s.renewUntilLeading(t)
	c := startClient(t, func() []string { return []string{s.address} })
	require.NotNil(t, c.connect(t.Context()))
	time.Sleep(leaseDuration)
	r := turnRequest("starts", 1000, 10)
	r.Program, r.TimeLeft = "p", 5*time.Second
	response := admitAsync(t.Context(), c, r)
	for range 30 {
		s.host.tick()
		time.Sleep(tickInterval)
	}
	require.Greater(t, s.host.inbox.delay(bootclock.Now()), maxStartDelay)
	s.renewUntilLeading(t)
	assert.Equal(t, "t", (<-response).Target)
	assert.Zero(t, s.host.refusedShare)
}
