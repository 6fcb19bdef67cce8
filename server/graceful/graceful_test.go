package graceful

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	stopRounds  = 20
	stopCallers = 100
	// loadTime is how long callers send requests before and after the stop begins.
	loadTime = 80 * time.Millisecond
)

// stopUnderLoad stops a server to which callers send requests on connections that they
// keep, and returns the number of requests that were handled but not answered.
func stopUnderLoad(t *testing.T) int64 {
	t.Helper()
	var handled, answered atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handled.Add(1)
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})}
	conns := Track(s)
	go func() { _ = s.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range stopCallers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				response, err := client.Post("http://"+listener.Addr().String(), "", nil)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				if err == nil && string(body) == "ok" {
					answered.Add(1)
				}
			}
		})
	}
	time.Sleep(loadTime)
	stopCtx, stopped := context.WithTimeout(context.Background(), 5*time.Second)
	defer stopped()
	assert.NoError(t, conns.Stop(stopCtx))
	time.Sleep(loadTime)
	cancel()
	wg.Wait()
	return handled.Load() - answered.Load()
}

// TestStopCutsNoRequest guards against requests that are handled while the server closes
// their connections as idle, so that their answers are lost.
func TestStopCutsNoRequest(t *testing.T) {
	lost := int64(0)
	for range stopRounds {
		lost += stopUnderLoad(t)
	}
	assert.Zero(t, lost, "requests handled without an answer")
}

// TestStopEndsSilentConnections guards against a stop that waits until its end for callers
// which keep connections without sending anything.
func TestStopEndsSilentConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.NotFoundHandler()}
	conns := Track(s)
	go func() { _ = s.Serve(listener) }()
	silent, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer silent.Close()
	kept, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer kept.Close()
	_, err = io.WriteString(kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(loadTime)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	require.NoError(t, conns.Stop(ctx))
	assert.Less(t, time.Since(start), 2*firstRequestTimeout)
}

// TestStopAnswersTheRequestInProgress guards against a stop that cancels a request whose
// connection was idle a moment before.
func TestStopAnswersTheRequestInProgress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		select {
		case <-r.Context().Done():
		case <-time.After(3 * loadTime):
			_, _ = io.WriteString(w, "ok")
		}
	})}
	conns := Track(s)
	go func() { _ = s.Serve(listener) }()
	result := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			result <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		result <- string(body)
	}()
	<-started
	require.NoError(t, conns.Stop(context.Background()))
	assert.Equal(t, "ok", <-result)
}
