// Package progress closes connections whose peer has stopped reading. A write deadline alone
// would also close the connection of a peer that reads slowly, because the kernel reports space
// for more bytes only once much of its buffer is free.
package progress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// checksPerTimeout is the number of checks for progress within the timeout of a connection. A
// peer that stops reading is noticed two intervals late at most.
const checksPerTimeout = 5

// ErrStalled is returned by Write once the peer has read nothing for the timeout.
var ErrStalled = errors.New("peer has stopped reading")

// Listener accepts connections that are closed when their peer stops reading.
type Listener struct {
	net.Listener
	// Timeout is the time without progress after which a connection is closed.
	Timeout time.Duration
	// SendBuffer is the size of the send buffer of the kernel, which bounds the bytes that are
	// in transit to a peer; 0 for the default of the system.
	SendBuffer int
	// OnStall is called once for each connection that is closed; it may be nil.
	OnStall func()
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok && l.SendBuffer > 0 {
		if err := tcp.SetWriteBuffer(l.SendBuffer); err != nil {
			// The connection has failed already; its first read reports that.
			return c, nil
		}
	}
	return NewConn(c, l.Timeout, l.OnStall), nil
}

// Conn is a connection whose writes end with ErrStalled, and close it, once the peer has read
// nothing for the timeout. Write must not be called concurrently, and the write deadline must
// not be set by others.
type Conn struct {
	net.Conn
	timeout time.Duration
	onStall func()
}

// NewConn returns a connection that watches the progress of writes to c. onStall may be nil.
func NewConn(c net.Conn, timeout time.Duration, onStall func()) *Conn {
	return &Conn{Conn: c, timeout: timeout, onStall: onStall}
}

// Write writes p. It waits for as long as the peer reads.
func (c *Conn) Write(p []byte) (int, error) {
	written, unacked := 0, -1
	for idleChecks := 0; ; {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout / checksPerTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// Bytes that the peer has acknowledged count as well as those that the kernel took.
		left := c.unacknowledged()
		if n > 0 || left != unacked {
			idleChecks, unacked = 0, left
			continue
		}
		// Checks are counted instead of the time, so that a process that was suspended does not
		// count the time of its suspension as time without progress.
		if idleChecks++; idleChecks < checksPerTimeout {
			continue
		}
		if c.onStall != nil {
			c.onStall()
		}
		return written, errors.Join(fmt.Errorf("%w for %v", ErrStalled, c.timeout), Reset(c))
	}
}

// CloseWrite ends the writing side, so that a peer that still sends can read the last response.
// net/http uses it if it is there.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Reset closes a connection and drops the bytes that the kernel still holds for the peer, which
// sees an error instead of an ordinary end. Layers above TCP are passed if they have NetConn.
func Reset(c net.Conn) error {
	lowest := c
	for {
		layer, ok := lowest.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		lowest = layer.NetConn()
	}
	if tcp, ok := lowest.(*net.TCPConn); ok {
		// An error means that the connection has failed already.
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}

// unacknowledged returns the bytes that were written and that the peer has not acknowledged; 0
// if that is not known.
func (c *Conn) unacknowledged() int {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// A failure is that of the connection, and the next write reports it.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}
