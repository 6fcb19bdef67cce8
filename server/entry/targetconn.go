package entry

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// errConnSpent is the error of a write to a connection that must not be used again.
var errConnSpent = errors.New("the connection carried a refusal or a response to another request")

// These describe the start of a status line, "HTTP/1.1 200".
const (
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + 3
)

// targetConn is a pooled connection to a target. Once a target has refused a request, the
// connection is not used for another one: targets may write a refusal twice, and the copy
// would count as the response to the next request.
type targetConn struct {
	net.Conn

	mu sync.Mutex
	// head holds the first bytes of the current response, up to its status.
	head []byte
	// spent is set once no further request may use the connection, and ended once one was to.
	spent, ended bool
}

// begin is called before each request and reports whether the connection may be used for it.
// If not, the first write fails, upon which the transport sends the request on another one.
func (c *targetConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.ended = c.spent
	return !c.ended
}

// discard makes the connection unusable for further requests.
func (c *targetConn) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent = true
}

// Read reads from the connection and notices refusals.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.observe(p[:n])
	return n, err
}

// observe marks the connection as spent if the received bytes state a refusal.
func (c *targetConn) observe(received []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := statusEnd - len(c.head)
	if missing == 0 {
		return
	}
	c.head = append(c.head, received[:min(missing, len(received))]...)
	if len(c.head) < statusEnd {
		return
	}
	status, err := strconv.Atoi(string(c.head[statusStart:]))
	// After an informational status, another one follows that is not noticed.
	if err != nil || status < http.StatusOK || isRefusal(status) {
		c.spent = true
	}
}

// Write writes to the connection, unless a request was to use it that must not.
func (c *targetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended {
		return 0, errConnSpent
	}
	return c.Conn.Write(p)
}
