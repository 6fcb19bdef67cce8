package integrity

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readHead returns the response to a request that begins with the given lines.
func readHead(t *testing.T, method string, lines ...string) *http.Response {
	t.Helper()
	text := strings.Join(lines, "\r\n") + "\r\n\r\n"
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
	require.NoError(t, err)
	return r
}

// TestFraming guards against a framing that a response does not have: one that ends with its
// connection must not pass for one that states its end.
func TestFraming(t *testing.T) {
	for _, c := range []struct {
		method string
		lines  []string
		want   Framing
	}{
		{"GET", []string{"HTTP/1.1 200 OK"}, Connection},
		{"GET", []string{"HTTP/1.1 200 OK", "Connection: keep-alive"}, Connection},
		{"GET", []string{"HTTP/1.0 200 OK"}, Connection},
		{"GET", []string{"HTTP/1.1 200 OK", "Content-Length: 3"}, Length},
		{"GET", []string{"HTTP/1.1 200 OK", "Content-Length: 0"}, NoBody},
		{"GET", []string{"HTTP/1.1 200 OK", "Transfer-Encoding: chunked"}, Chunks},
		{"GET", []string{"HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Content-Length: 3"}, Chunks},
		{"GET", []string{"HTTP/1.1 204 Nothing"}, NoBody},
		{"GET", []string{"HTTP/1.1 304 Same", "Content-Length: 3"}, NoBody},
		{"HEAD", []string{"HTTP/1.1 200 OK", "Content-Length: 3"}, NoBody},
		{"HEAD", []string{"HTTP/1.1 200 OK", "Transfer-Encoding: chunked"}, NoBody},
		{"HEAD", []string{"HTTP/1.1 200 OK"}, NoBody},
	} {
		assert.Equal(t, c.want, FramingOf(readHead(t, c.method, c.lines...)), "%s %v", c.method, c.lines)
	}
}

// TestEveryCutShows guards against a body that passes for whole although it was cut at some
// byte, and against a whole body that does not, however its bytes arrive.
func TestEveryCutShows(t *testing.T) {
	for _, c := range []struct {
		mediaType string
		// whole are the starts of text that are whole bodies by themselves.
		text  string
		whole []string
	}{
		{"text/event-stream", "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n", []string{"id: 1\ndata: x\n\n", "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n"}},
		{"Text/Event-Stream; charset=utf-8", ": hello\n\ndata: x\n\n", []string{": hello\n\ndata: x\n\n"}},
		{"application/json", `{"a\"}]": ["b\\", {}]}` + "\n", []string{`{"a\"}]": ["b\\", {}]}`, `{"a\"}]": ["b\\", {}]}` + "\n"}},
		{"application/problem+json", `["]"]`, []string{`["]"]`}},
	} {
		r := readHead(t, "GET", "HTTP/1.1 200 OK", "Content-Type: "+c.mediaType)
		for cut := 0; cut <= len(c.text); cut++ {
			start := c.text[:cut]
			for split := 0; split <= cut; split++ {
				err := Check(r, net.Buffers{[]byte(start[:split]), []byte(start[split:])})
				isWhole := false
				for _, w := range c.whole {
					isWhole = isWhole || start == w
				}
				assert.Equal(t, isWhole, err == nil, "%q and %q", start[:split], start[split:])
			}
		}
	}
}
