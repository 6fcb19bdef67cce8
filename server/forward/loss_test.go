package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/quarantine"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// reportedLosses returns the losses that were reported so far.
func (l *testLedger) reportedLosses() []ledgerhost.LossReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ledgerhost.LossReport(nil), l.losses...)
}

// silentHead is the head of a response that its target does not end.
const silentHead = "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestLostResponsesAreReported guards against a target that ends without a report, and
// against reports about targets that responded.
func TestLostResponsesAreReported(t *testing.T) {
	cases := []struct {
		name, path, response string
		// callerTime is how long the caller waits; 0 means until the response.
		callerTime time.Duration
		lost       bool
		kind       quarantine.LossKind
	}{
		{name: "closed without a response", path: "/once/x", response: "<cut>", lost: true, kind: quarantine.Disconnected},
		{name: "closed inside the response", path: "/once/x", response: "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf<cut>", lost: true, kind: quarantine.Disconnected},
		{name: "closed inside a stream", path: "/stream/x", response: streamHeader + chunk(eventText(1)) + "<cut>", lost: true, kind: quarantine.Disconnected},
		{name: "silent until the caller left", path: "/once/x", response: "HTTP/1.1 100 Continue\r\n\r\n", callerTime: 50 * time.Millisecond, lost: true},
		{name: "silent for a while until the caller left", path: "/once/x", response: "HTTP/1.1 100 Continue\r\n\r\n", callerTime: silenceLimit + 50*time.Millisecond, lost: true, kind: quarantine.Silence},
		{name: "silent for a while inside a stream", path: "/stream/x", response: silentHead + chunk(eventText(1)), callerTime: silenceLimit + 50*time.Millisecond, lost: true, kind: quarantine.Silence},
		{name: "the caller left inside the response", path: "/stream/x", response: silentHead + chunk(eventText(1)), callerTime: 50 * time.Millisecond},
		{name: "complete", path: "/once/x", response: responseText("200 OK", "r", "", "fine")},
		{name: "failed", path: "/once/x", response: responseText("500 Oops", "r", "", "oops")},
		{name: "not run", path: "/once/x", response: responseText("503 Busy", "r", "Not-Run: 1\r\n", "")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := startFakeTarget(t, c.response)
			l := &testLedger{targets: []string{target.address}, refuseResumes: true}
			server := startEntry(t, l, true)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.callerTime > 0 {
				time.AfterFunc(c.callerTime, cancel)
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+c.path, strings.NewReader("body"))
			require.NoError(t, err)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", "k")
			if response, err := http.DefaultClient.Do(request); err == nil {
				buffer := make([]byte, 1<<10)
				for err == nil {
					_, err = response.Body.Read(buffer)
				}
				response.Body.Close()
			}
			l.firstReport(t)
			losses := l.reportedLosses()
			if !c.lost {
				assert.Empty(t, losses)
				return
			}
			require.Len(t, losses, 1)
			assert.Equal(t, "o", losses[0].Organisation)
			assert.NotZero(t, losses[0].Fingerprint)
			assert.Equal(t, target.address, losses[0].Address)
			assert.Equal(t, "t-"+target.address, losses[0].Target)
			assert.Equal(t, c.kind, losses[0].Kind)
		})
	}
}

// TestRequestsOfEqualContentShareAFingerprint guards against a request that is not
// recognised when its caller sends it again.
func TestRequestsOfEqualContentShareAFingerprint(t *testing.T) {
	l := &testLedger{targets: []string{startFakeTarget(t, "<cut>").address, startFakeTarget(t, "<cut>").address}}
	server := startEntry(t, l, true)
	for _, id := range []string{"first", "second"} {
		_, _, err := post(t, server, "/once/x", "Id", id)
		require.NoError(t, err)
	}
	losses := l.reportedLosses()
	require.Len(t, losses, 2)
	assert.Equal(t, losses[0].Content, losses[1].Content)
	assert.NotEqual(t, losses[0].Target, losses[1].Target)
}

// TestIsolatedEntryReportsLostResponses guards against a request that ends all targets of a
// small deployment unnoticed, because its entry takes the losses for those of its links.
func TestIsolatedEntryReportsLostResponses(t *testing.T) {
	const waitingRequests = 3
	s := startSite(t, 1, time.Minute)
	var wg sync.WaitGroup
	for n := range waitingRequests {
		wg.Go(func() { s.send(t, 0, "once", fmt.Sprint("waiting ", n)) })
	}
	require.Eventually(t, func() bool {
		s.targets.mu.Lock()
		defer s.targets.mu.Unlock()
		return len(s.targets.runs) == waitingRequests
	}, time.Second, time.Millisecond)
	s.networks[0].set(silentCut)
	wg.Wait()
	assert.True(t, s.entries[0].paths.isolated())
	assert.Equal(t, waitingRequests, s.ledger.lostResponses())
}
