package forward

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/relay"
)

// TestContinuedStreamKeepsToItsTargets guards against a stream that runs at more targets than
// max_attempts: it broke off at a target, and the second send to that target did not run.
func TestContinuedStreamKeepsToItsTargets(t *testing.T) {
	broken := streamHeader + chunk(eventText(1)) + "<cut>"
	leaving := "HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(eventText(1)) + "<cut>"
	full := responseText("503 Busy", "r", "Not-Run: 1\r\n", "")
	wrong := responseText("421 Misdirected", "r", "Not-Run: 1\r\n", "")
	rest := streamHeader + chunk(eventText(2)) + "0\r\n\r\n"
	for name, c := range map[string]struct {
		responses []string
		refused   bool // the second connection to the target is refused
		denied    bool // the ledger does not grant the target again
	}{
		"full":          {responses: []string{broken, full, full, full, full, full, full, full, full}},
		"unreachable":   {responses: []string{broken}, refused: true},
		"wrong target":  {responses: []string{broken, wrong}},
		"leaving":       {responses: []string{leaving}},
		"broken":        {responses: []string{broken, "<cut>", "<cut>"}},
		"not granted":   {responses: []string{broken}, denied: true},
		"full, broken":  {responses: []string{broken, full, "<cut>", "<cut>"}},
		"broken, wrong": {responses: []string{broken, "<cut>", wrong}},
	} {
		for path, allowed := range map[string]int{"/stream/x": 1, "/retried/x": 2} {
			t.Run(name+path, func(t *testing.T) {
				l := &testLedger{refuseResumes: c.denied}
				if c.refused {
					l.resumeAddress = "127.0.0.1:1"
				}
				var targets []*fakeTarget
				for i := range 3 {
					responses := c.responses
					if i == 2 {
						responses = []string{rest}
					}
					targets = append(targets, startFakeTarget(t, responses...))
					l.targets = append(l.targets, targets[i].address)
				}
				_, _, err := post(t, startEntry(t, l, true), path)
				assert.Error(t, err, "the stream is incomplete")
				for i, target := range targets {
					if i < allowed {
						assert.NotEmpty(t, target.requests(), "target %d", i)
					} else {
						assert.Empty(t, target.requests(), "target %d", i)
					}
				}
			})
		}
	}
}

// TestStreamGoesOnAtAFullTarget guards against a stream that ends because its target, where
// alone it may go on, is full for a moment.
func TestStreamGoesOnAtAFullTarget(t *testing.T) {
	full := responseText("503 Busy", "r", "Not-Run: 1\r\n", "")
	target := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>", full, full, streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	other := startFakeTarget(t)
	l := &testLedger{targets: []string{target.address, other.address}}
	status, body, err := post(t, startEntry(t, l, true), "/stream/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventText(1)+eventText(2), body)
	assert.Empty(t, other.requests())
	assert.Equal(t, "not_run,not_run,ok", l.results(), "the ledger pauses a target that is full")
}

// TestRequestThatRanNowhereIsPlacedElsewhere guards against a limit on targets that counts
// those that have certainly not run the request.
func TestRequestThatRanNowhereIsPlacedElsewhere(t *testing.T) {
	full := responseText("503 Busy", "r", "Not-Run: 1\r\n", "")
	wrong := responseText("421 Misdirected", "r", "Not-Run: 1\r\n", "")
	l := &testLedger{targets: []string{startFakeTarget(t, full).address, "127.0.0.1:1", startFakeTarget(t, wrong).address, startFakeTarget(t, streamHeader+chunk(eventText(1))+"0\r\n\r\n").address}}
	status, body, err := post(t, startEntry(t, l, true), "/stream/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventText(1), body)
	assert.Equal(t, "not_run,unreachable,wrong_target,ok", l.results())
}

// TestRelayedRunsCount guards against a request that another entry passed on after as many
// targets as allowed may have run it, and that is sent to one more.
func TestRelayedRunsCount(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		allowed int
	}{
		"stream":         {"/stream/x", 1},
		"idempotent":     {"/again/x", 3},
		"non-idempotent": {"/once/x", 1},
	} {
		for _, runs := range []int{c.allowed - 1, c.allowed} {
			t.Run(name, func(t *testing.T) {
				target := startFakeTarget(t, responseText("200 OK", "r", "", ""))
				l := &testLedger{targets: []string{target.address}}
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				serveRelays(t, listener, startEntry(t, l, true).Config.Handler.(*Entry), func(relay.Offer) error { return nil }, func(net.Conn) {})
				status := relayedStatus(t, listener.Addr().String(), runs, c.path, "k")
				if runs < c.allowed {
					assert.Equal(t, http.StatusOK, status)
					assert.Len(t, target.requests(), 1)
				} else {
					assert.Equal(t, http.StatusBadGateway, status)
					assert.Empty(t, target.requests())
				}
			})
		}
	}
}

// TestOfferStatesRuns guards against a request that is passed on without the number of targets
// that may have run it.
func TestOfferStatesRuns(t *testing.T) {
	full := responseText("503 Busy", "r", "Not-Run: 1\r\n", "")
	l := &testLedger{targets: []string{startFakeTarget(t, "<cut>").address, startFakeTarget(t, full).address}, finalRefusal: dispatch.PathLost}
	server := startEntry(t, l, true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	offered := make(chan relay.Offer, maxOffers)
	serveRelays(t, listener, startEntry(t, &testLedger{}, true).Config.Handler.(*Entry), func(o relay.Offer) error {
		offered <- o
		return nil
	}, func(net.Conn) {})
	server.Config.Handler.(*Entry).options.Peers = func(context.Context) ([]string, error) { return []string{listener.Addr().String()}, nil }
	status, _, err := post(t, server, "/again/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Equal(t, 1, (<-offered).Runs)
}
