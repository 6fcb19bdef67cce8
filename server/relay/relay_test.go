package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/server/rpc"
)

// startServer serves offers at the result, an RPC address.
func startServer(t *testing.T, handler http.Handler, accept func(Offer) error) string {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	relays, server := NewServer(handler, accept, log), rpc.NewServer(log)
	server.HandleConn(Preface, relays.HandleConn)
	go func() { _ = relays.Serve() }()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		// The context of the test has ended by now.
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NoError(t, relays.Stop(ctx))
	})
	return listener.Addr().String()
}

// TestOfferArrives guards against an offer that loses a field, and against a connection that
// is used for a second request.
func TestOfferArrives(t *testing.T) {
	sent := Offer{Request: "r", From: "a:1", Version: 7, Elapsed: time.Second, Attempt: 2, Runs: 1}
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%+v", *OfferFrom(r.Context()))
	}), func(Offer) error { return nil })
	conn, err := Dial(t.Context(), address, sent)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, fmt.Sprintf("%+v", sent), string(body))
	assert.True(t, response.Close)
}

// TestDeclinedOfferIsNotSent guards against a request that may have run although the other
// entry declined it or can't be reached.
func TestDeclinedOfferIsNotSent(t *testing.T) {
	address := startServer(t, http.NotFoundHandler(), func(Offer) error { return errors.New("no") })
	_, err := Dial(t.Context(), address, Offer{})
	assert.ErrorIs(t, err, ErrDeclined)
	_, err = Dial(t.Context(), "127.0.0.1:1", Offer{})
	assert.Error(t, err)
	assert.Nil(t, OfferFrom(t.Context()))
}

// TestSilentPeerIsGivenUp guards against a request that waits for an entry which accepts
// connections but does not respond.
func TestSilentPeerIsGivenUp(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	start := time.Now()
	_, err = Dial(t.Context(), silent.Addr().String(), Offer{})
	assert.Error(t, err)
	assert.Less(t, time.Since(start), 2*offerTimeout)
}
