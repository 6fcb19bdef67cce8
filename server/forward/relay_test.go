package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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
	relays := relay.NewServer(e, accept, e.options.Log)
	server := rpc.NewServer(e.options.Log)
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
