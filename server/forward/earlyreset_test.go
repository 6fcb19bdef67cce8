package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// uploadBytes exceeds what the kernel buffers of a connection to a target.
const uploadBytes = 3 << 20

// startEarlyTarget starts a target that responds as soon as a request begins to arrive, and then
// ends each connection with end.
func startEarlyTarget(t *testing.T, response string, end func(*net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 1))
				_, _ = io.WriteString(c, response)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a long request and returns the response, of which complete is set if nothing
// shows that it was broken off.
func upload(t *testing.T, server *httptest.Server, path string) callerView {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+path, bytes.NewReader(make([]byte, uploadBytes)))
	require.NoError(t, err)
	request.Header.Set("Id", "r")
	request.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerView{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerView{response.StatusCode, string(body), err == nil}
}

// TestResetDuringUploadLooksIncomplete guards against a part of a response that reaches the caller
// as a complete one, because its target has reset the connection while the request was being written,
// and the write was what received the reset.
func TestResetDuringUploadLooksIncomplete(t *testing.T) {
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	cases := []struct{ name, path, response string }{
		{"body", "/once/x", opaqueHead + "part"},
		{"body that may be requested again", "/again/x", opaqueHead + "part"},
		{"JSON that may be whole", "/once/x", jsonHead + "{}"},
		{"error", "/once/x", strings.Replace(opaqueHead, "200 OK", "404 Not Found", 1) + "part"},
		{"stream between two events", "/stream/x", eventsHead + eventText(1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for range 5 {
				address := startEarlyTarget(t, c.response, reset)
				l := &testLedger{targets: []string{address}, refuseResumes: true}
				got := upload(t, startEntry(t, l, true), c.path)
				if got.complete {
					assert.Equal(t, http.StatusBadGateway, got.status, "complete, with the body %q", got.body)
				}
			}
		})
	}
}

// TestEarlyResponseIsPassedOnAtOnce guards against a whole response that is held back, or taken for
// broken, because its target does not read the rest of the request.
func TestEarlyResponseIsPassedOnAtOnce(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	ends := map[string]func(*net.TCPConn){
		"the target closes its side": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			<-release
		},
		"the target reads on slowly": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			for buffer := make([]byte, 1<<10); ; time.Sleep(time.Millisecond) {
				if _, err := c.Read(buffer); err != nil {
					return
				}
			}
		},
		"the target resets the connection afterwards": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			for _, c := range []struct{ path, response, body string }{
				{"/once/x", opaqueHead + "whole", "whole"},
				{"/stream/x", eventsHead + eventText(1), eventText(1)},
				{"/once/x", responseText("200 OK", "r", "", "with a length"), "with a length"},
			} {
				address := startEarlyTarget(t, c.response, end)
				got := upload(t, startEntry(t, &testLedger{targets: []string{address}}, true), c.path)
				assert.Equal(t, callerView{http.StatusOK, c.body, true}, got)
			}
		})
	}
}
