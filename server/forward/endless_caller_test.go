package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEndlessRequests guards against a caller that sends a head or a body without end, at
// full speed or a byte now and then, and so holds memory and a connection for good.
func TestEndlessRequests(t *testing.T) {
	const head = "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r\r\nKey: k\r\n"
	for name, c := range map[string]struct {
		start, repeat string
		interval      time.Duration
		status        int
	}{
		"head":         {head + "X: ", strings.Repeat("x", 32<<10), 0, http.StatusRequestHeaderFieldsTooLarge},
		"body":         {head + "Transfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("x", 32<<10)), 0, http.StatusRequestEntityTooLarge},
		"stalled body": {head + "Transfer-Encoding: chunked\r\n\r\n", chunk("x"), trickleInterval, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &testLedger{}
			conn, err := net.Dial("tcp", strings.TrimPrefix(startEntry(t, l, true).URL, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			start := time.Now()
			go func() {
				_, err := io.WriteString(conn, c.start)
				for err == nil {
					time.Sleep(c.interval)
					_, err = io.WriteString(conn, c.repeat)
				}
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				assert.Equal(t, c.status, response.StatusCode)
			}
			assert.Less(t, time.Since(start), shortRouteTimeout+endMargin)
			assert.Empty(t, l.admitted())
		})
	}
}
