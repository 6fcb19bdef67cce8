package inbound

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// conn is a connection of an HTTP server. Its reads follow the phases of a request: between two
// requests, in the head, in the body, and in the handler.
type conn struct {
	net.Conn
	listener *listener
	owner    string
	once     sync.Once

	mu sync.Mutex
	// fresh is set until the first byte has arrived.
	fresh bool
	// limit is the deadline for reads that others have set.
	limit time.Time
	// inBody is set while the body of a request is read.
	inBody bool
	// inHead is set while a head may be read. headBytes and lines are its size so far, and
	// lineBytes that of its last line.
	inHead                      bool
	headBytes, lines, lineBytes int64
	// held are the bytes that are reserved for the head.
	held int64
}

// SetReadDeadline sets the deadline for reads. Those of the http.Server for the head of a request
// and for the time between two requests are replaced.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left := time.Until(t); left > serverIdleTimeout/2 {
		forHead := left > (serverIdleTimeout+serverHeadTimeout)/2 && !c.fresh
		t = time.Now().Add(c.listener.guard.idleTimeout())
		if forHead {
			t = time.Now().Add(c.listener.guard.headTimeout())
		} else if !c.fresh {
			c.inHead, c.inBody = true, false
			c.headBytes, c.lines, c.lineBytes = 0, 0, 0
		}
	}
	c.limit = t
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection. It ends a head that exceeds a limit, after telling the caller.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.boundBodyRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.noteTimeout()
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if c.fresh {
		c.fresh = false
		c.limit = time.Now().Add(c.listener.guard.headTimeout())
		// An error means that the connection has failed; the next read reports it.
		_ = c.Conn.SetReadDeadline(c.limit)
	}
	status, reason := c.scanHead(p[:n])
	c.mu.Unlock()
	if status != 0 {
		c.listener.guard.note(c.listener.name, c.owner, reason)
		refuse(c.Conn, status)
		return 0, io.EOF
	}
	return n, err
}

// boundBodyRead sets the deadline of a read in a body.
func (c *conn) boundBodyRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inBody {
		return nil
	}
	deadline := time.Now().Add(stallTimeout)
	if !c.limit.IsZero() && c.limit.Before(deadline) {
		deadline = c.limit
	}
	return c.Conn.SetReadDeadline(deadline)
}

// noteTimeout counts a read that has ended at its deadline, except between two requests. net/http
// also uses deadlines in the past to end its own reads while a request is handled.
func (c *conn) noteTimeout() {
	c.mu.Lock()
	inBody, inHead := c.inBody, c.inHead && c.headBytes > 0
	c.mu.Unlock()
	switch {
	case inBody:
		c.listener.guard.note(c.listener.name, c.owner, "body_timeout")
	case inHead:
		c.listener.guard.note(c.listener.name, c.owner, "head_timeout")
	}
}

// scanHead counts the bytes and lines of a head. It returns the status with which the head is
// refused, and the reason; 0 if it is not. The rest of a head that begins in the buffer of
// net/http, which has 4 KiB, is counted only.
func (c *conn) scanHead(p []byte) (status int, reason string) {
	if !c.inHead {
		return 0, ""
	}
	c.headBytes += int64(len(p))
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.lineBytes += int64(len(p))
			break
		}
		c.lineBytes += int64(len(bytes.TrimSuffix(p[:end], []byte("\r"))))
		if c.lineBytes == 0 && c.lines > 0 {
			c.inHead = false
			break
		}
		c.lines, c.lineBytes = c.lines+1, 0
		p = p[end+1:]
	}
	g := c.listener.guard
	limit := g.headerBytes()
	switch {
	case c.headBytes > limit+headRoomBytes:
		return http.StatusRequestHeaderFieldsTooLarge, "head_bytes"
	case c.lines > limit/minFieldBytes+1:
		return http.StatusRequestHeaderFieldsTooLarge, "head_fields"
	case c.headBytes <= freeHeadBytes && c.lines <= freeHeadFields:
		return 0, ""
	}
	grown := c.headBytes + c.lines*fieldCost - c.held
	if grown <= 0 {
		return 0, ""
	}
	if !g.reserveHead(grown) {
		return http.StatusServiceUnavailable, "head_memory"
	}
	c.held += grown
	return 0, ""
}

// beginRequest begins the handling of a request, and returns its body; nil if it has none.
func (c *conn) beginRequest(r *http.Request) *body {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	if r.ContentLength == 0 {
		return nil
	}
	c.inBody = true
	c.limit = time.Now().Add(bodyTimeout)
	return &body{ReadCloser: r.Body, request: r, conn: c}
}

// endRequest ends the handling of a request. The rest of a body that was not read must arrive
// within discardTimeout, so that the connection can be used again.
func (c *conn) endRequest(b *body) {
	if b != nil {
		b.release()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		c.limit = time.Now().Add(discardTimeout)
	}
	c.releaseHead()
}

// releaseHead releases the bytes of the head.
func (c *conn) releaseHead() {
	c.listener.guard.heads.Add(-c.held)
	c.held = 0
}

// endBody ends the reads of a body. The server may read already, to notice a caller that
// disconnects; that read has no deadline.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inBody {
		return
	}
	c.inBody, c.limit = false, time.Time{}
	// An error means that the connection has failed; the next read reports it.
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// closed releases what the connection holds.
func (c *conn) closed() {
	c.mu.Lock()
	c.releaseHead()
	c.mu.Unlock()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Close(c.owner)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the writing side, so that a peer that still sends can read the last response.
// net/http uses it if it is there.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	request *http.Request
	conn    *conn
	// reserves is set if the bytes of the body are reserved. read is their number, and held what
	// is reserved.
	reserves   bool
	read, held int64
}

// Read reads from the body. It returns ErrMemory if there is no memory for further bytes.
func (b *body) Read(p []byte) (int, error) {
	if err := b.reserve(); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err != nil {
		if errors.Is(err, io.EOF) {
			b.conn.endBody()
		}
		return n, err
	}
	return n, nil
}

// reserve reserves the next step of the body.
func (b *body) reserve() error {
	if !b.reserves || b.read < freeBodyBytes {
		return nil
	}
	for b.held < (b.read+bodyStepBytes)*bodyCopies {
		l := b.conn.listener
		if err := acquire(b.request.Context(), l.guard.bodies, bodyStepBytes*bodyCopies); err != nil {
			l.guard.note(l.name, b.conn.owner, "body_memory")
			return err
		}
		b.held += bodyStepBytes * bodyCopies
	}
	return nil
}

// release releases the bytes that are reserved.
func (b *body) release() {
	if b.held > 0 {
		b.conn.listener.guard.bodies.Release(b.held)
		b.held = 0
	}
}
