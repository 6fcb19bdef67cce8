package forward

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hemlockvale.dev/server/tcpend"
)

// cutMode is the way in which a VM has lost its links to targets.
type cutMode int32

const (
	// notCut means that the links are sound.
	notCut cutMode = iota
	// silentCut means that nothing arrives any more.
	silentCut
	// resetCut means that connections are reset and new ones are refused.
	resetCut
	// refusingCut means that connections live on while new ones are refused.
	refusingCut
)

// network makes the connections of one VM to targets.
type network struct {
	mode atomic.Int32
	// ended is closed and replaced when the mode changes.
	mu    sync.Mutex
	ended chan struct{}
	conns map[*cutConn]struct{}
}

func newNetwork() *network {
	return &network{ended: make(chan struct{}), conns: make(map[*cutConn]struct{})}
}

// set changes the mode.
func (n *network) set(m cutMode) {
	n.mode.Store(int32(m))
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ended)
	n.ended = make(chan struct{})
	if m == resetCut {
		for c := range n.conns {
			c.Close()
		}
	}
}

// connect implements Options.Connect.
func (n *network) connect(ctx context.Context, address string) (net.Conn, error) {
	switch cutMode(n.mode.Load()) {
	case silentCut:
		timer := time.NewTimer(dialTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
		}
	case resetCut, refusingCut:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	raw, err := connectTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: raw.(*tcpend.Conn), network: n, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c, nil
}

// cutConn is a connection that falls silent when its network is cut. Bytes that were sent
// meanwhile are lost.
type cutConn struct {
	*tcpend.Conn
	network *network
	closed  chan struct{}
	once    sync.Once
}

func (c *cutConn) silent() bool { return cutMode(c.network.mode.Load()) == silentCut }

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent() && !errors.Is(err, net.ErrClosed) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
