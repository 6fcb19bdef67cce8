package rpc

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

func startServer(t *testing.T) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(logrus.NewEntry(log))
	s.Handle("echo", func(_ context.Context, p json.RawMessage) (any, error) { return p, nil })
	s.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, Errorf("teapot", "short and stout") })
	s.Handle("panic", func(context.Context, json.RawMessage) (any, error) { panic("handler fault") })
	s.Handle("slow", func(context.Context, json.RawMessage) (any, error) {
		time.Sleep(SilenceTimeout + PingInterval)
		return "done", nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against errors that lose their code, and handlers whose panic ends the process.
func TestCallResults(t *testing.T) {
	address := startServer(t)
	pool := NewPool(time.Second)
	defer pool.Close()
	for _, c := range []struct{ method, code string }{
		{"echo", ""}, {"fail", "teapot"}, {"panic", "internal"}, {"absent", "internal"}, {"echo", ""},
	} {
		var got map[string]int
		err := pool.Call(t.Context(), address, c.method, map[string]int{"n": 7}, &got)
		if c.code == "" {
			require.NoError(t, err)
			require.Equal(t, 7, got["n"])
			continue
		}
		require.Equal(t, c.code, CodeOf(err), "%s: %v", c.method, err)
	}
}

// Guards against a long call being taken for a dead connection.
func TestLongCallOutlivesSilenceTimeout(t *testing.T) {
	address := startServer(t)
	pool := NewPool(time.Second)
	defer pool.Close()
	var got string
	require.NoError(t, pool.Call(t.Context(), address, "slow", nil, &got))
	require.Equal(t, "done", got)
}

// Guards against a request that was never sent being reported as unknown.
func TestUnreachableMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	err = NewPool(time.Second).Call(t.Context(), address, "echo", nil, nil)
	require.ErrorIs(t, err, ErrUnreachable)
	require.NotErrorIs(t, err, ErrConnectionLost)
}

// Guards against a connection that went silent holding its callers for good:
// the call ends as unknown within the silence timeout and the next one dials anew.
func TestSilentConnectionIsReplaced(t *testing.T) {
	address := startServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		silent, err := l.Accept()
		if err != nil {
			return
		}
		defer silent.Close()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go proxy(c, address)
		}
	}()
	pool := NewPool(time.Second)
	defer pool.Close()
	start := time.Now()
	err = pool.Call(t.Context(), l.Addr().String(), "echo", 1, nil)
	require.ErrorIs(t, err, ErrConnectionLost)
	require.Less(t, time.Since(start), 2*SilenceTimeout)
	require.NoError(t, pool.Call(t.Context(), l.Addr().String(), "echo", 1, nil))
}

// Guards against connections that nobody uses but that cost pings for good, and
// against a call that is cut because its connection carried no other.
func TestIdleConnectionIsClosed(t *testing.T) {
	address := startServer(t)
	pool := NewPool(time.Second)
	defer pool.Close()
	require.NoError(t, pool.Call(t.Context(), address, "echo", 1, nil))
	pe, err := pool.peer(address)
	require.NoError(t, err)
	conn := pe.conn
	pe.lastCall = time.Now().Add(-IdleTimeout)
	pe.calls = 1
	require.False(t, pe.closeIdle(conn))
	pe.calls = 0
	require.True(t, pe.closeIdle(conn))
	<-conn.DisconnectNotify()
	require.NoError(t, pool.Call(t.Context(), address, "echo", 1, nil))
}

func proxy(c net.Conn, address string) {
	defer c.Close()
	up, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer up.Close()
	go func() { _, _ = io.Copy(up, c) }()
	_, _ = io.Copy(c, up)
}
