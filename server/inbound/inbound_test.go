package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/progress"
)

const (
	// testQuota has room for one body of 6 MiB, the longest of a control VM.
	testQuota = 36 << 20
	// maxHeaderBytes is the limit of the configuration in the tests.
	maxHeaderBytes = 16384
	// endTime is long, because it passes only if a test fails.
	endTime = 20 * time.Second
)

// startGuarded starts a server whose handler reads the body, and returns the guard and its address.
func startGuarded(t *testing.T, descriptors uint64) (*Guard, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{
		Descriptors: descriptors, MemoryLimit: 120 << 20, MemoryQuota: testQuota, Log: logrus.NewEntry(log), Metrics: gometrics.NewRegistry(),
		Limits: func() routing.Limits { return routing.Limits{MaxHeaderBytes: maxHeaderBytes} },
	})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/unread":
			return
		case "/reset":
			resetInBody(t, w)
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if errors.Is(err, ErrMemory) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, n)
	})}
	g.Configure(s, true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(g.HTTPListener("test", 100, l, false)) }()
	t.Cleanup(func() { s.Close() })
	return g, l.Addr().String()
}

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(endTime)))
	return c, bufio.NewReader(c)
}

// status sends text and returns the status of the next response; 0 if the connection is closed.
func status(t *testing.T, c net.Conn, r *bufio.Reader, text string) int {
	t.Helper()
	// The server may close the connection before it has read all.
	_, _ = io.WriteString(c, text)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	assert.NoError(t, err)
	return response.StatusCode
}

const requestLine = "POST / HTTP/1.1\r\nHost: h\r\n"

// TestHeads guards against heads of unlimited size, and against a limit that a caller within those of
// the configuration reaches.
func TestHeads(t *testing.T) {
	for _, test := range []struct {
		name, fields string
		want         []int
	}{
		{"one field of legal size", "X-Long: " + strings.Repeat("a", maxHeaderBytes-100) + "\r\n", []int{200}},
		{"as many fields as are legal", strings.Repeat("a: \r\n", maxHeaderBytes/minFieldBytes-10), []int{200}},
		// The response is lost if the connection is reset while the caller still sends.
		{"more fields", strings.Repeat("a: \r\n", 2*maxHeaderBytes/minFieldBytes), []int{431, 0}},
		{"a longer head", "X-Long: " + strings.Repeat("a", 3*maxHeaderBytes) + "\r\n", []int{431, 0}},
	} {
		g, address := startGuarded(t, 1000)
		c, r := dial(t, address)
		assert.Equal(t, 200, status(t, c, r, requestLine+"Content-Length: 4\r\n\r\nbody"), "an earlier request on the connection")
		assert.Contains(t, test.want, status(t, c, r, requestLine+test.fields+"\r\n"), test.name)
		require.Eventually(t, func() bool { return g.heads.Load() == 0 }, endTime, time.Millisecond, "%s: the bytes of the head are released", test.name)
	}
}

// TestPipelined guards against requests that are miscounted when they arrive in one piece: bodies
// of lines, and heads that the server has read ahead.
func TestPipelined(t *testing.T) {
	_, address := startGuarded(t, 1000)
	c, r := dial(t, address)
	body := strings.Repeat("\n", 5000)
	one := requestLine + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	assert.Equal(t, 200, status(t, c, r, strings.Repeat(one, 20)))
	for range 19 {
		assert.Equal(t, 200, status(t, c, r, ""))
	}
	unread := "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	assert.Equal(t, 200, status(t, c, r, unread+unread))
	assert.Equal(t, 200, status(t, c, r, ""), "a body that the handler has not read does not end the connection")
}

// TestBodies guards against bodies that together exceed the memory of a process whose handlers have
// no quota, and against bytes that stay reserved.
func TestBodies(t *testing.T) {
	g, address := startGuarded(t, 1000)
	const size = 6 << 20
	head := requestLine + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	for range 4 {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, head+strings.Repeat("b", size-1))
	}
	c, r := dial(t, address)
	assert.Equal(t, 200, status(t, c, r, requestLine+"Content-Length: 4\r\n\r\nbody"), "a short body needs no memory")
	assert.Equal(t, 503, status(t, c, r, head+strings.Repeat("b", size)))
	assert.NotZero(t, gometrics.GetOrRegisterCounter("inbound_refused;address=test;reason=body_memory", g.options.Metrics).Count())
}

// TestConnections guards against one caller whose connections keep others out, and against
// connections that stay counted.
func TestConnections(t *testing.T) {
	_, address := startGuarded(t, 16)
	for range 40 {
		dial(t, address)
	}
	other := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.2")}}
	require.Eventually(t, func() bool {
		c, err := other.Dial("tcp", address)
		if err != nil {
			return false
		}
		defer c.Close()
		return status(t, c, bufio.NewReader(c), requestLine+"Content-Length: 4\r\n\r\nbody") == 200
	}, endTime, time.Millisecond)
}

// TestTimeouts guards against time bounds that callers within the configuration's limits reach.
func TestTimeouts(t *testing.T) {
	for _, limits := range []routing.Limits{{}, {HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}, {HeaderTimeoutMS: 60000, IdleTimeoutMS: 120000}} {
		g, _ := startGuarded(t, 1000)
		g.options.Limits = func() routing.Limits { return limits }
		assert.Greater(t, g.headTimeout(), time.Duration(max(limits.HeaderTimeoutMS, 3000))*time.Millisecond)
		assert.Greater(t, g.idleTimeout(), time.Duration(max(limits.IdleTimeoutMS, 15000))*time.Millisecond)
	}
}

// TestHandlerTime guards against a deadline of the server that ends a request while its handler
// runs: after the body has been read, reads only notice a caller that disconnects.
func TestHandlerTime(t *testing.T) {
	for _, body := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n"} {
		g := New(Options{Descriptors: 1000, MemoryQuota: testQuota, Log: logrus.NewEntry(logrus.New()), Metrics: gometrics.NewRegistry()})
		deadlines := make(chan time.Time, 1)
		s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			c := r.Context().Value(connKey{}).(*conn)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.inBody {
				c.limit = time.Now()
			}
			deadlines <- c.limit
		})}
		g.Configure(s, false)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = s.Serve(g.HTTPListener("test", 100, l, false)) }()
		t.Cleanup(func() { s.Close() })
		c, r := dial(t, l.Addr().String())
		assert.Equal(t, 200, status(t, c, r, requestLine+body))
		assert.Zero(t, <-deadlines, body)
	}
}

// resetInBody begins a response and resets its connection.
func resetInBody(t *testing.T, w http.ResponseWriter) {
	fmt.Fprint(w, "part")
	controller := http.NewResponseController(w)
	assert.NoError(t, controller.Flush())
	conn, _, err := controller.Hijack()
	if assert.NoError(t, err) {
		assert.NoError(t, progress.Reset(conn))
	}
}

// TestResetPassesTheLayers guards against a response to a caller of HTTP/1.0 that is to be reset,
// and ends like a complete one because the connection has layers above TCP.
func TestResetPassesTheLayers(t *testing.T) {
	_, address := startGuarded(t, 1000)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET /reset HTTP/1.0\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = io.ReadAll(r)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
