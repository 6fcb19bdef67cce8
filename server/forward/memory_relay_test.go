package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/memquota"
	"hemlockvale.dev/server/relay"
)

// TestRelaysAreReserved guards against relayed requests and responses that are buffered without a
// reservation, or that use the memory of this entry's own callers, and against bytes that stay
// reserved at one of the two entries.
func TestRelaysAreReserved(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	target := startFakeTarget(t, responseText("200 OK", "r", "", long), streamHeader+chunk("data: "+long+"\n\n")+"0\r\n\r\n")
	serving, _ := startMemoryEntry(t, &testLedger{targets: []string{target.address, target.address}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accept := func(relay.Offer) error { return nil }
	serveRelays(t, listener, serving, accept, func(net.Conn) {})
	options := testOptions(&testLedger{finalRefusal: dispatch.PathLost}, true, newTestHistories(), &testView{})
	options.MemoryQuota = testQuota
	options.Peers = func(context.Context) ([]string, error) { return []string{listener.Addr().String()}, nil }
	offering := New(options)
	server := startServer(t, offering)
	for _, path := range []string{"/once/x", "/stream/x"} {
		status, body, err := postBody(server.URL+path, long)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		assert.Contains(t, body, long)
	}
	requireNothingHeld(t, offering)
	requireNothingHeld(t, serving)
	for _, e := range []*Entry{offering, serving} {
		assert.Greater(t, e.memory.read((*memquota.Quota).Peak), int64(2*len(long)), "body and response")
	}
	// Without memory for relays, the entry that serves rejects the body as not sent.
	holding := &memquota.Holding{Class: memquota.Relays}
	serving.memory.mu.Lock()
	for n := int64(64 << 10); n > 0; n /= 2 {
		for serving.memory.quota.Grow(holding, n) == memquota.Granted {
			continue
		}
	}
	serving.memory.mu.Unlock()
	own := &memquota.Holding{Class: memquota.RequestBodies}
	assert.NoError(t, serving.memory.reserve(t.Context(), own, 64<<10), "callers have their own reserve")
	status, body, err := postBody(server.URL+"/once/x", long)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, reasonMemory+"\n", body)
	serving.memory.releaseAll(holding, own)
	requireNothingHeld(t, serving)
	requireNothingHeld(t, offering)
}

// postBody sends a request with the id r and the key k.
func postBody(url, body string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Id", "r")
	request.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}
