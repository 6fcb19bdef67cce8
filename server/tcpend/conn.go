// Package tcpend tells TCP connections that the peer has closed from those that it has reset.
//
// The kernel reports a reset once, to the call that comes first. While one goroutine writes a
// request and another one reads the response, that may be the write; the read then sees an ordinary
// end, which is the end of a response that states neither a length nor chunks.
package tcpend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeEndTimeout bounds the wait for writes on a connection that is gone. They fail at once.
const writeEndTimeout = time.Second

// errWriteEnd is returned for a connection that is gone without a known reason.
var errWriteEnd = errors.New("a write on the connection has not ended")

// Conn is a TCP connection whose Read returns the error with which the connection ended, also if a
// concurrent write has received it. It returns io.EOF only if the peer has closed its side. It is
// safe for concurrent use.
type Conn struct {
	*net.TCPConn

	mu sync.Mutex
	// writes is the number of writes in progress, and idle is closed when there is none any more;
	// nil if there is none.
	writes int
	idle   chan struct{}
	// lost is the error with which a write has learned that the connection is gone.
	lost error
}

// Wrap returns a connection that reports how it ended; a connection that is not TCP is returned
// unchanged.
func Wrap(c net.Conn) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: t}
	}
	return c
}

// Dialer is a function that connects to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Wrapping returns a dialer whose connections report how they ended.
func Wrapping(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.begin()
	n, err := c.TCPConn.Write(p)
	c.finish(err)
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	c.begin()
	n, err := c.TCPConn.ReadFrom(r)
	c.finish(err)
	return n, err
}

// WriteBuffers writes some buffers to a connection, with as few system calls as possible.
func WriteBuffers(conn net.Conn, b net.Buffers) error {
	c, ok := conn.(*Conn)
	if !ok {
		_, err := b.WriteTo(conn)
		return err
	}
	c.begin()
	_, err := b.WriteTo(c.TCPConn)
	c.finish(err)
	return err
}

func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes == 0 {
		c.idle = make(chan struct{})
	}
	c.writes++
}

func (c *Conn) finish(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	c.writes--
	if c.writes == 0 {
		close(c.idle)
		c.idle = nil
	}
}

// isLoss reports whether an error is the reason for which a connection is gone. EPIPE is not: the
// kernel returns it for a reset that follows the end of the peer's data, and for one that another call
// has received.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// end returns what the end of the peer's data means: io.EOF if the peer has closed its side, and
// else the error with which the connection ended.
func (c *Conn) end() error {
	if gone, err := c.isGone(); err == nil && !gone {
		// The peer may go on to read, so writes need not end soon.
		return io.EOF
	}
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if idle != nil {
		timer := time.NewTimer(writeEndTimeout)
		defer timer.Stop()
		select {
		case <-idle:
		case <-timer.C:
			return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, errWriteEnd)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return fmt.Errorf("read after a failed write: %w", c.lost)
	}
	return io.EOF
}

// isGone reports whether the connection is closed in both directions, as after a reset. It does
// not take an error from the connection.
func (c *Conn) isGone() (gone bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, err
	}
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd)}}
		_, pollErr = unix.Poll(polled, 0)
		gone = polled[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone, errors.Join(err, pollErr)
}
