package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/server/relay"
)

const (
	// reactionTime is the time after which callers of an isolated entry must be served.
	reactionTime = 3 * time.Second
	// firstTries is the number of requests that are counted then, and minServed the share of
	// them that must be served.
	firstTries = 60
	minServed  = 2.0 / 3
	// isolationCallers is the number of callers that send requests concurrently.
	isolationCallers = 6
)

// TestCallersOfAnIsolatedEntryAreServed guards against callers whose requests fail because
// their entry has lost its links to all targets, and against an entry that goes on without
// its links when they are back.
func TestCallersOfAnIsolatedEntryAreServed(t *testing.T) {
	for name, mode := range map[string]cutMode{"silent": silentCut, "reset": resetCut, "refusing": refusingCut} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 4, 5*time.Millisecond)
			require.Equal(t, firstTries, s.serveMany(t, 0, firstTries, "before "))
			s.networks[0].set(mode)
			s.networks[1].set(mode)
			cutAt := time.Now()
			for time.Since(cutAt) < reactionTime {
				s.serveMany(t, 0, isolationCallers, fmt.Sprint("early ", time.Now().UnixNano(), " "))
			}
			served := s.serveMany(t, 0, firstTries, "late ")
			t.Logf("served %d of %d", served, firstTries)
			assert.Greater(t, float64(served), minServed*firstTries)
			assert.Equal(t, firstTries, s.serveMany(t, 2, firstTries, "others "), "callers of sound entries")
			if mode != refusingCut {
				assert.True(t, s.isolated[0].Load(), "others are told")
			}
			s.networks[0].set(notCut)
			require.Eventually(t, func() bool { return !s.isolated[0].Load() && !s.entries[0].paths.isolated() }, 5*time.Second, 10*time.Millisecond)
			before := s.entries[0].offers.Load()
			assert.Equal(t, firstTries, s.serveMany(t, 0, firstTries, "after "))
			assert.Equal(t, before, s.entries[0].offers.Load(), "requests are not relayed any more")
		})
	}
}

// TestFirstRequestAfterACut guards against an entry without traffic whose first callers
// after a cut wait until their time is over.
func TestFirstRequestAfterACut(t *testing.T) {
	s := startSite(t, 2, 0)
	s.networks[0].set(silentCut)
	for i, kind := range []string{"again", "stream", "once", "once"} {
		start := time.Now()
		_, served := s.send(t, 0, kind, fmt.Sprint("first ", i))
		assert.True(t, served, kind)
		assert.Less(t, time.Since(start), 1500*time.Millisecond)
	}
}

// TestIsolatedEntriesDoNotRelayInCircles guards against requests that isolated entries pass
// to each other, and against refusals that come late or are untrue.
func TestIsolatedEntriesDoNotRelayInCircles(t *testing.T) {
	s := startSite(t, 3, 0)
	for n := range s.networks {
		s.networks[n].set(resetCut)
		s.serveMany(t, n, 2*isolationCallers, fmt.Sprint("early ", n, " "))
	}
	start := time.Now()
	assert.Zero(t, s.serveMany(t, 0, isolationCallers, "late "))
	assert.Less(t, time.Since(start), time.Second, "refused at once")
	for n := range s.networks {
		assert.True(t, s.entries[n].paths.isolated())
		assert.ErrorIs(t, s.entries[n].AcceptRelay(relay.Offer{}), errNoLinks)
	}
}

// TestRequestOfAnEntryThatCannotConnectIsPassedOn guards against a request that is refused after
// its entry could connect to none of the granted targets, because responses on kept
// connections hide that the entry has no way to the others.
func TestRequestOfAnEntryThatCannotConnectIsPassedOn(t *testing.T) {
	s := startSiteWith(t, 2, 2*maxPlacements, 0)
	s.networks[0].set(refusingCut)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			s.entries[0].paths.heard("t0")
			time.Sleep(time.Millisecond)
		}
	}()
	for i, kind := range requestKinds {
		_, served := s.send(t, 0, kind, fmt.Sprint("first ", i))
		assert.True(t, served, kind)
	}
}

// TestLostRelayIsNotRepeated guards against a request that runs twice, or is refused as not
// run, because the entry that took it is lost.
func TestLostRelayIsNotRepeated(t *testing.T) {
	s := startSite(t, 2, 300*time.Millisecond)
	s.networks[0].set(resetCut)
	for _, kind := range requestKinds {
		id := "lost " + kind
		time.AfterFunc(150*time.Millisecond, s.cutRelays)
		status, served := s.send(t, 0, kind, id)
		assert.False(t, served, kind)
		assert.NotEqual(t, http.StatusServiceUnavailable, status, kind)
		s.targets.mu.Lock()
		assert.Equal(t, 1, s.targets.runs[id], kind)
		s.targets.mu.Unlock()
	}
}

// TestCallerLeavesARelayedRequest guards against targets that go on to work for a caller
// that has left the entry which relayed its request.
func TestCallerLeavesARelayedRequest(t *testing.T) {
	s := startSite(t, 2, 5*time.Second)
	s.networks[0].set(resetCut)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.servers[0].URL+"/again/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set("Id", "left")
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool {
		s.targets.mu.Lock()
		defer s.targets.mu.Unlock()
		return s.targets.runs["left"] > 0
	}, 2*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return s.targets.left.Load() > 0 }, 500*time.Millisecond, time.Millisecond)
}

// TestOlderEntryDeclines guards against a request that is decided by a configuration older
// than that of the entry which the caller asked.
func TestOlderEntryDeclines(t *testing.T) {
	s := startSite(t, 1, 0)
	assert.NoError(t, s.entries[0].AcceptRelay(relay.Offer{Version: 1}))
	assert.ErrorIs(t, s.entries[0].AcceptRelay(relay.Offer{Version: 2}), errNotReady)
}

// TestSlowTargetsAreNoCut guards against connections that are opened to targets which only
// take their time, and against requests that are given up there.
func TestSlowTargetsAreNoCut(t *testing.T) {
	s := startSite(t, 2, 1200*time.Millisecond)
	assert.Equal(t, isolationCallers, s.serveMany(t, 0, isolationCallers, "slow "))
	assert.LessOrEqual(t, s.entries[0].pool.opened.Load(), int64(3*isolationCallers))
	assert.Zero(t, s.entries[0].offers.Load())
	assert.Zero(t, s.ledger.lostResponses())
}
