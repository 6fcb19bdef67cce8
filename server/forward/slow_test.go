package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// slowEventInterval is the time between two parts of a slow but sound response.
	slowEventInterval = 450 * time.Millisecond
	// trickleInterval is the time between two bytes of a response that never ends.
	trickleInterval = 50 * time.Millisecond
	// shortRouteTimeout is the timeout of the short routes, and endMargin the time within
	// which a request must end after it.
	shortRouteTimeout = 2 * time.Second
	endMargin         = 500 * time.Millisecond
)

// startSlowTarget starts a target that sends the parts of its response at the given
// interval, and then the last part over and over if repeat is set.
func startSlowTarget(t *testing.T, interval time.Duration, repeat bool, parts ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		for i := 0; repeat || i < len(parts); i++ {
			if _, err := io.WriteString(c, parts[min(i, len(parts)-1)]); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// TestSlowStreamIsNotCut guards against a stream that is cut because its events are far
// apart, although it ends in time.
func TestSlowStreamIsNotCut(t *testing.T) {
	target := startSlowTarget(t, slowEventInterval, false, streamHeader, chunk(eventText(1)), chunk(eventText(2)), chunk(eventText(3))+"0\r\n\r\n")
	status, body, err := post(t, startEntry(t, &testLedger{targets: []string{target}}, true), "/stream/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventText(1)+eventText(2)+eventText(3), body)
}

// TestTricklingResponseEnds guards against a response that a stalled target keeps open
// without end by a byte now and then.
func TestTricklingResponseEnds(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		parts []string
	}{
		"comments of a stream": {"/stream/x", []string{streamHeader, chunk(":\n\n")}},
		"line of a stream":     {"/stream/x", []string{streamHeader, chunk("d")}},
		"body":                 {"/once/x", []string{"HTTP/1.1 200 OK\r\nId: r\r\nSignature: s\r\n\r\n", "x"}},
		"head":                 {"/once/x", []string{"HTTP/1.1 200 OK\r\nId: r\r\nX: ", "x"}},
		"status line":          {"/once/x", []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startSlowTarget(t, trickleInterval, true, c.parts...)
			start := time.Now()
			status, _, err := post(t, startEntry(t, &testLedger{targets: []string{target}}, true), c.path)
			assert.Less(t, time.Since(start), shortRouteTimeout+endMargin)
			if err == nil {
				assert.GreaterOrEqual(t, status, http.StatusInternalServerError)
				assert.NotEqual(t, http.StatusServiceUnavailable, status, "the target may have run the request")
			}
		})
	}
}
