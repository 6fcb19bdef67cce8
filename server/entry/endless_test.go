package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEndlessStreams guards against an engine that sends without end and fills the memory of the
// entry until the time limit of the call.
func TestEndlessStreams(t *testing.T) {
	// maxSentBytes is the limit of a response and what the kernel may hold of it.
	const maxSentBytes = maxResponseBytes + 16<<20
	chunk := `data: {"id":"c","choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 32<<10) + `"}}]}` + "\n\n"
	finish := `data: {"id":"c","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	for name, c := range map[string]struct{ start, repeat string }{
		"event without an end":  {"", strings.Repeat("data: xxxxxxxxxxxxxxxx\n", 1000)},
		"chunks":                {"", chunk},
		"chunks after the last": {finish, chunk},
	} {
		for _, body := range []string{chatBody, streamBody} {
			t.Run(name+" "+body, func(t *testing.T) {
				var sent atomic.Int64
				f := newFixture(t)
				f.targets.list = []fakeTarget{startScript(t, func(conn *net.TCPConn, r *bufio.Reader) {
					readRequest(r)
					_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+c.start)
					for err == nil {
						var n int
						n, err = io.WriteString(conn, c.repeat)
						sent.Add(int64(n))
					}
				})}
				response := f.sendAuthorized(http.MethodPost, chatPath, body)
				text := readAll(t, response.Body)
				assert.NotContains(t, text, doneMarker, "complete")
				assert.Less(t, sent.Load(), int64(maxSentBytes))
			})
		}
	}
}
