package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/relay"
	"hemlockvale.dev/server/rpc"
)

// serveRelays serves the requests that other entries offer to e, if accept takes them, until
// the test ends. It calls observe for each connection.
func serveRelays(t *testing.T, listener net.Listener, e *Entry, accept func(relay.Offer) error, observe func(net.Conn)) {
	t.Helper()
	serveOffers(t, listener, e, accept, observe)
}

// serveOffers serves the requests that entries offer to a handler, if accept takes them, until the
// test ends. It calls observe for each connection.
func serveOffers(t *testing.T, listener net.Listener, handler http.Handler, accept func(relay.Offer) error, observe func(net.Conn)) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	relays := relay.NewServer(handler, accept, logrus.NewEntry(log))
	server := rpc.NewServer(logrus.NewEntry(log))
	server.HandleConn(relay.Preface, func(c net.Conn, r *bufio.Reader) {
		observe(c)
		relays.HandleConn(c, r)
	})
	go func() { _ = server.Serve(listener) }()
	go func() { _ = relays.Serve() }()
	t.Cleanup(func() {
		server.Close()
		// The context of the test has ended by now.
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NoError(t, relays.Stop(ctx))
	})
}

// TestRelayedRunIsNotDenied guards against a "not run" status for a request that another
// entry passed on after a target may have run it, whatever this entry finds against it.
func TestRelayedRunIsNotDenied(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		stopping  bool
		status    int // of a request that no target has run
	}{
		"planned stop":            {"/once/x", "k", true, http.StatusServiceUnavailable},
		"unknown route":           {"/none/x", "k", false, http.StatusNotFound},
		"unknown key":             {"/once/x", "other", false, http.StatusUnauthorized},
		"unavailable history":     {"/chat/x", "k", false, http.StatusServiceUnavailable},
		"all targets are refused": {"/once/x", "k", false, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			l := &testLedger{targets: []string{"127.0.0.1:1", "127.0.0.1:1"}}
			server := startHistoryEntry(t, l, &testHistories{records: make(map[history.Turn]string)})
			if c.stopping {
				server = startStoppingEntry(t, l, time.Minute, time.Second)
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			// The stop begins after the entry has accepted the offer.
			accept := func(relay.Offer) error { return nil }
			serveRelays(t, listener, server.Config.Handler.(*Entry), accept, func(net.Conn) {})
			address := listener.Addr().String()
			assert.Equal(t, c.status, relayedStatus(t, address, 0, c.path, c.key), "not run before")
			assert.Equal(t, http.StatusBadGateway, relayedStatus(t, address, 1, c.path, c.key), "may have run before")
		})
	}
}

// relayedStatus relays a request that a number of targets may have run and returns the status
// of the response.
func relayedStatus(t *testing.T, address string, runs int, path, key string) int {
	t.Helper()
	conn, err := relay.Dial(t.Context(), address, relay.Offer{Request: "r", Attempt: runs, Runs: runs})
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r\r\nKey: "+key+"\r\nPrevious: before\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// TestRelayedResponseWithoutFraming guards against a relayed response that is taken for complete
// because the process of the other entry ended between two events, or inside a body.
func TestRelayedResponseWithoutFraming(t *testing.T) {
	for _, c := range []struct{ path, response string }{
		{"/stream/x", eventsHead + eventText(1)},
		{"/once/x", opaqueHead + "text"},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		unframed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if assert.NoError(t, err) {
				_, _ = io.WriteString(conn, c.response)
				conn.Close()
			}
		})
		serveOffers(t, listener, unframed, func(relay.Offer) error { return nil }, func(net.Conn) {})
		l := &testLedger{targets: slices.Repeat([]string{"127.0.0.1:1"}, maxPlacements)}
		options := testOptions(l, true, newTestHistories(), &testView{})
		options.Peers = func(context.Context) ([]string, error) { return []string{listener.Addr().String()}, nil }
		server := startServer(t, New(options))
		got := callWith(t, server, "1.1", c.path)
		assert.False(t, got.complete && got.status == http.StatusOK, "%s: %+v", c.path, got)
	}
}
