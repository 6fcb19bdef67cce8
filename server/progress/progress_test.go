package progress

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTimeout is the timeout of the connections.
const testTimeout = 300 * time.Millisecond

// connect returns a connection that watches its progress, and its peer.
func connect(t *testing.T, onStall func()) (net.Conn, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Listener{Listener: inner, Timeout: testTimeout, SendBuffer: 64 << 10, OnStall: onStall}
	t.Cleanup(func() { l.Close() })
	peer, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	require.NoError(t, peer.(*net.TCPConn).SetReadBuffer(32<<10))
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, peer
}

// TestStalledPeerIsClosed guards against a peer that never reads and so holds the bytes that
// are to be written, and the goroutine, for good.
func TestStalledPeerIsClosed(t *testing.T) {
	stalled := make(chan struct{}, 1)
	c, peer := connect(t, func() { stalled <- struct{}{} })
	_, err := c.Write(make([]byte, 16<<20))
	assert.ErrorIs(t, err, ErrStalled)
	<-stalled
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = io.Copy(io.Discard, peer)
	assert.Error(t, err, "the peer sees an incomplete response")
}

// TestSlowPeerIsServed guards against a connection that is closed although its peer reads: all
// of the bytes take much longer than the timeout.
func TestSlowPeerIsServed(t *testing.T) {
	c, peer := connect(t, func() { t.Error("the peer reads") })
	const total = 1 << 20
	received := make(chan int64, 1)
	go func() {
		n := int64(0)
		block := make([]byte, 32<<10)
		for {
			time.Sleep(testTimeout / checksPerTimeout / 2)
			read, err := peer.Read(block)
			n += int64(read)
			if err != nil {
				received <- n
				return
			}
		}
	}()
	n, err := c.Write(make([]byte, total))
	require.NoError(t, err)
	assert.Equal(t, total, n)
	require.NoError(t, c.Close())
	assert.EqualValues(t, total, <-received)
}
