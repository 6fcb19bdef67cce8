package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/integrity"
	"hemlockvale.dev/server/sockopt"
	"hemlockvale.dev/server/tcpend"
)

const (
	// dialTimeout bounds a connection attempt to a target. No part of the request is
	// sent before the connection is established.
	dialTimeout = 350 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the longest body that is written together with the header.
	// Longer bodies are written in a goroutine while the response is read, because a
	// target may respond before it reads them.
	maxInlineBodyBytes = 2 << 10
	// maxResponsesRead bounds the responses that are read from a connection in search
	// of the response to one request.
	maxResponsesRead = 4
	// maxHeadBytes bounds the status line and the headers of one response. They are reserved
	// in steps of headStepBytes.
	maxHeadBytes  = 64 << 10
	headStepBytes = 4 << 10
	// maxDiscardBytes and discardTimeout bound the rest of a response that is read only to
	// keep its connection.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 100 * time.Millisecond
	// bodyWriteTimeout is how long a completed exchange waits for the rest of the
	// request body to be written before the connection is closed instead of kept.
	bodyWriteTimeout = 200 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection.
	tcpUserTimeout = 3 * time.Second
)

var (
	// errNotSent is returned if no byte of the request was sent.
	errNotSent = errors.New("request was not sent")
	// errHeadTooLarge is returned for a response whose head exceeds maxHeadBytes.
	errHeadTooLarge = errors.New("head of the response is too large")
	// errNoID is returned for a response without an id on a connection that has carried
	// others.
	errNoID = errors.New("response on a kept connection carries no request id")
	// errDiscardTooLarge is returned for a response that is closed instead of read to its
	// end.
	errDiscardTooLarge = errors.New("discarded response is too large")
)

// headLimiter bounds the bytes that are read from a connection while limited is set.
// net/http reads heads of any length.
type headLimiter struct {
	source  io.Reader
	limited bool
	// left is the number of bytes that may be read, and more the number that may be added to
	// it, in steps that are reserved.
	left, more int
	reserve    func(n int) error
}

// Read returns errHeadTooLarge once the limit is reached.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		if l.more <= 0 {
			return 0, errHeadTooLarge
		}
		step := min(l.more, headStepBytes)
		if err := l.reserve(step); err != nil {
			return 0, err
		}
		l.left, l.more = step, l.more-step
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// conn is a connection to one incarnation of a target.
type conn struct {
	net.Conn
	// address is the address of the target in the catalog.
	address string
	reader  *bufio.Reader
	// limiter is the source of reader.
	limiter *headLimiter
	// openedAt is when the connection was established, on the boot clock.
	openedAt time.Duration
	// idleUntil is the time after which an idle connection is not reused.
	idleUntil time.Time
	// writeDone is closed when the request body has been written or has failed with
	// writeErr; it is nil if the body was written together with the header.
	writeDone chan struct{}
	writeErr  error
	// served is the number of responses that were read, and refused holds the ids of the
	// requests that the target refused on this connection.
	served  int
	refused []string
}

// maxRefusals bounds the refusals on one connection.
const maxRefusals = 8

// usableFor reports whether a request may be sent on the connection. A target may write an
// earlier refusal once more, which would pass for the response to the same request.
func (c *conn) usableFor(requestID string) bool {
	return len(c.refused) < maxRefusals && !slices.Contains(c.refused, requestID)
}

// connectTCP connects to a target.
func connectTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.All(sockopt.UserTimeout(tcpUserTimeout), sockopt.ReceiveBuffer(targetReceiveBufferBytes))}
	return tcpend.Wrapping(dialer.DialContext)(ctx, "tcp", address)
}

// newConn returns a connection on which requests can be sent.
func newConn(raw net.Conn) *conn {
	limiter := &headLimiter{source: raw}
	return &conn{Conn: raw, openedAt: bootclock.Now(), reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter}
}

// awaitWritten waits up to bodyWriteTimeout for the request body to be written and
// reports whether it was.
func (c *conn) awaitWritten() bool {
	if c.writeDone == nil {
		return true
	}
	timer := time.NewTimer(bodyWriteTimeout)
	defer timer.Stop()
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	case <-timer.C:
		return false
	}
}

// isUsable reports whether a request may be sent on an idle connection.
func (c *conn) isUsable() bool { return time.Now().Before(c.idleUntil) && c.isIdle() }

// isIdle reports whether a connection is open and has no unread bytes.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// targetRequest is a request as it is sent to a target.
type targetRequest struct {
	id     string
	method string
	uri    string
	host   string
	header http.Header
	// body is the body in parts, which are sent one after the other.
	body net.Buffers
}

// send writes the request. Unless the error wraps errNotSent, a request that failed
// may have reached the target.
func (c *conn) send(r *targetRequest) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.uri, r.host)
	bodyBytes := size(r.body)
	if bodyBytes > 0 || r.method == http.MethodPost || r.method == http.MethodPut || r.method == http.MethodPatch {
		r.header.Set("Content-Length", strconv.Itoa(bodyBytes))
	}
	if err := r.header.Write(&head); err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	head.WriteString("\r\n")
	c.writeDone, c.writeErr = nil, nil
	if bodyBytes <= maxInlineBodyBytes {
		for _, part := range r.body {
			head.Write(part)
		}
		_, err := c.Write(head.Bytes())
		return err
	}
	done := make(chan struct{})
	c.writeDone = done
	go func() {
		defer close(done)
		c.writeErr = tcpend.WriteBuffers(c.Conn, append(net.Buffers{head.Bytes()}, r.body...))
	}()
	return nil
}

// receive reads the response to the request. It discards informational responses and
// responses that carry the id of another request. A response without an id is taken for that
// to this request only if it is the first one on the connection: it may be a second copy of
// an earlier one. A response with an invalid status ends the connection: what follows it can't be
// told from its body. Heads of more than headStepBytes are reserved.
func (c *conn) receive(r *targetRequest, codec HeaderCodec, reserve func(n int) error) (*http.Response, ResponseInfo, error) {
	c.limiter.reserve = reserve
	// A connection that is kept must not keep the request.
	defer func() { c.limiter.reserve = nil }()
	request := &http.Request{Method: r.method}
	for range maxResponsesRead {
		response, err := c.readHead(request)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		interim, err := integrity.CheckStatus(response)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		if interim {
			continue
		}
		info := codec.DecodeResponse(response.StatusCode, response.Header)
		isFirst := c.served == 0
		c.served++
		switch {
		case info.ID == r.id || info.ID == "" && isFirst:
			if info.NotRun {
				c.refused = append(c.refused, r.id)
			}
			return response, info, nil
		case info.ID == "":
			return nil, ResponseInfo{}, errNoID
		}
		if err := c.discard(response.Body); err != nil {
			return nil, ResponseInfo{}, err
		}
	}
	return nil, ResponseInfo{}, errors.New("received only responses to other requests")
}

// readHead reads the status line and the headers of the next response.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.limiter.limited, c.limiter.left, c.limiter.more = true, headStepBytes, maxHeadBytes-headStepBytes
	defer func() { c.limiter.limited = false }()
	return http.ReadResponse(c.reader, request)
}

// discard reads a body to its end, so that the connection can be kept. It fails if the
// body is long or arrives slowly.
func (c *conn) discard(body io.Reader) error {
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	if err == nil && n == maxDiscardBytes {
		err = errDiscardTooLarge
	}
	return errors.Join(err, c.SetReadDeadline(time.Time{}))
}
