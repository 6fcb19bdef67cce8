package tcpend

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// uploadBytes exceeds what the kernel buffers of a connection.
const uploadBytes = 8 << 20

// connect returns a connection to a peer that calls serve.
func connect(t *testing.T, serve func(peer *net.TCPConn)) *Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	go func() {
		peer, err := l.Accept()
		if err == nil {
			serve(peer.(*net.TCPConn))
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return Wrap(c).(*Conn)
}

// answer reads the start of an upload and sends a part of an answer.
func answer(peer *net.TCPConn) {
	_, _ = peer.Read(make([]byte, 1))
	_, _ = peer.Write([]byte("part"))
}

// reset ends a connection as a process does that closes it with bytes left unread.
func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
}

// TestResetIsNoEnd guards against a reset that passes for the end of the answer, because a write
// in progress has received it.
func TestResetIsNoEnd(t *testing.T) {
	writes := map[string]func(*Conn) error{
		"one buffer": func(c *Conn) error { _, err := c.Write(make([]byte, uploadBytes)); return err },
		"buffers":    func(c *Conn) error { return WriteBuffers(c, net.Buffers{make([]byte, 10), make([]byte, uploadBytes)}) },
		"reader":     func(c *Conn) error { _, err := io.Copy(c, io.LimitReader(zeros{}, uploadBytes)); return err },
	}
	for name, write := range writes {
		t.Run(name, func(t *testing.T) {
			toWrite := 0
			for range 50 {
				c := connect(t, func(peer *net.TCPConn) { answer(peer); reset(peer) })
				written := make(chan error, 1)
				go func() { written <- write(c) }()
				_, err := io.ReadAll(c)
				require.ErrorIs(t, err, syscall.ECONNRESET)
				if err := <-written; assert.Error(t, err) && isLoss(err) {
					toWrite++
				}
			}
			t.Logf("the kernel reported %d of 50 resets to the write", toWrite)
		})
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestCloseIsAnEnd guards against a whole answer that is taken for broken, or held back, because the
// peer has answered before it has read the request, and against one whose connection is reset only
// after it has ended.
func TestCloseIsAnEnd(t *testing.T) {
	cases := map[string]func(peer *net.TCPConn){
		"the peer does not read on": func(peer *net.TCPConn) { answer(peer); _ = peer.CloseWrite() },
		"the peer reads on": func(peer *net.TCPConn) {
			answer(peer)
			_ = peer.CloseWrite()
			_, _ = io.Copy(io.Discard, peer)
		},
		"the peer resets the connection later": func(peer *net.TCPConn) {
			answer(peer)
			_ = peer.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			reset(peer)
		},
	}
	for name, serve := range cases {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				c := connect(t, serve)
				go func() { _, _ = c.Write(make([]byte, uploadBytes)) }()
				// The end is read late, when the reset has arrived as well.
				time.Sleep(20 * time.Millisecond)
				data, err := io.ReadAll(c)
				require.NoError(t, err)
				assert.Equal(t, "part", string(data))
			}
		})
	}
}

// TestResetWithoutWrite guards against a reset that is lost where nothing is being written.
func TestResetWithoutWrite(t *testing.T) {
	c := connect(t, func(peer *net.TCPConn) { answer(peer); reset(peer) })
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadAll(c)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
