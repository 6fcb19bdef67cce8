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

// startServer starts a server with test handlers and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(logrus.NewEntry(log))
	s.Handle("echo", func(_ context.Context, p json.RawMessage) (any, error) { return p, nil })
	s.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, Errorf("teapot", "handler error") })
	s.Handle("panic", func(context.Context, json.RawMessage) (any, error) { panic("handler panic") })
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

// TestCallResults guards against errors that lose their codes and against a process that
// ends because a handler panics.
func TestCallResults(t *testing.T) {
	address := startServer(t)
	pool := NewPool(time.Second)
	defer pool.Close()
	for _, c := range []struct{ method, code string }{
		{"echo", ""}, {"fail", "teapot"}, {"panic", "internal"}, {"absent", CodeMethodNotFound}, {"echo", ""},
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

// TestLongCallOutlivesSilenceTimeout guards against closing a working connection because
// a call takes longer than SilenceTimeout.
func TestLongCallOutlivesSilenceTimeout(t *testing.T) {
	address := startServer(t)
	pool := NewPool(time.Second)
	defer pool.Close()
	var got string
	require.NoError(t, pool.Call(t.Context(), address, "slow", nil, &got))
	require.Equal(t, "done", got)
}

// TestUnreachableMeansNotSent guards against reporting an unknown outcome for a request
// that was not sent.
func TestUnreachableMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	err = NewPool(time.Second).Call(t.Context(), address, "echo", nil, nil)
	require.ErrorIs(t, err, ErrUnreachable)
	require.NotErrorIs(t, err, ErrConnectionLost)
}

// TestFailedWriteHasUnknownOutcome guards against reporting a request as not sent although
// a part of it was: the peer may have executed it.
func TestFailedWriteHasUnknownOutcome(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	started := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.ReadFull(c, make([]byte, 64<<10))
		close(started)
		<-t.Context().Done()
	}()
	pool := NewPool(time.Second)
	defer pool.Close()
	go func() {
		<-started
		pool.Reset(l.Addr().String())
	}()
	err = pool.Call(t.Context(), l.Addr().String(), "echo", make([]byte, 16<<20), nil)
	require.ErrorIs(t, err, ErrConnectionLost)
	require.NotErrorIs(t, err, ErrUnreachable)
}

// TestSilentConnectionIsReplaced guards against calls that never end because their
// connection stopped delivering data. The call must fail with an unknown outcome within
// twice the silence timeout, and the next call must dial again.
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

// TestBusyConnectionSendsNoPings guards against pings on connections that carry calls
// often: every VM keeps such a connection to each control VM.
func TestBusyConnectionSendsNoPings(t *testing.T) {
	address := startServer(t)
	pool := NewPool(time.Second)
	defer pool.Close()
	require.NoError(t, pool.Call(t.Context(), address, "echo", 1, nil))
	before := pool.Traffic().Sent.Load()
	require.NoError(t, pool.Call(t.Context(), address, "echo", 1, nil))
	perCall := pool.Traffic().Sent.Load() - before
	const calls = 20
	for range calls {
		go func() { _ = pool.Call(t.Context(), address, "slow", nil, nil) }()
		time.Sleep(PingInterval / 5)
		require.NoError(t, pool.Call(t.Context(), address, "echo", 1, nil))
	}
	sent := pool.Traffic().Sent.Load() - before - perCall
	require.Less(t, sent, 2*calls*(perCall+4), "only the calls are sent")
}

// TestIdleConnectionIsClosed guards against keeping unused connections open, which would
// cost pings, and against closing a connection as idle while a call is in progress.
func TestIdleConnectionIsClosed(t *testing.T) {
	address := startServer(t)
	pool := NewPool(time.Second)
	defer pool.Close()
	require.NoError(t, pool.Call(t.Context(), address, "echo", 1, nil))
	pe, err := pool.peer(address)
	require.NoError(t, err)
	conn := pe.conn
	pe.lastCallEnd = time.Now().Add(-IdleTimeout)
	pe.calls = 1
	require.False(t, pe.closeIdle(conn))
	pe.calls = 0
	require.True(t, pe.closeIdle(conn))
	<-conn.DisconnectNotify()
	require.NoError(t, pool.Call(t.Context(), address, "echo", 1, nil))
}

// proxy copies data in both directions between c and a new connection to address.
func proxy(c net.Conn, address string) {
	defer c.Close()
	upstream, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() { _, _ = io.Copy(upstream, c) }()
	_, _ = io.Copy(c, upstream)
}
