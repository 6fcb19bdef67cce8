// Package graceful stops an HTTP server without cutting off requests that it has read.
//
// http.Server.Shutdown closes connections that it counts as idle. A connection still
// counts as idle while the head of its next request is being read, so a request can be
// handled although its connection is closed and the response is lost. Conns instead ends
// idle connections by their read deadline: a request that has arrived is read and
// answered, and a connection without one is closed.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// scanInterval is the time between two searches for idle connections.
	scanInterval = 20 * time.Millisecond
	// firstRequestTimeout is how long a new connection may stay without a request while the
	// server stops.
	firstRequestTimeout = time.Second
)

// Conns tracks the connections of one server. It is safe for concurrent use.
type Conns struct {
	server *http.Server

	mu       sync.Mutex
	stopping bool
	conns    map[net.Conn]*connInfo
}

// connInfo is the state of one connection.
type connInfo struct {
	state http.ConnState
	since time.Time
	// early is set if the connection was opened before the stop began.
	early bool
}

// Track makes s report its connections to the result. It must be called before s serves,
// and replaces its handler and its connection hook.
func Track(s *http.Server) *Conns {
	c := &Conns{server: s, conns: make(map[net.Conn]*connInfo)}
	s.Handler = c.handler(s.Handler)
	s.ConnState = c.update
	return c
}

// handler tells callers to close their connection after each response of a server that
// stops.
func (c *Conns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		stopping := c.stopping
		c.mu.Unlock()
		if stopping {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// update records a change of a connection's state.
func (c *Conns) update(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info := c.conns[conn]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(c.conns, conn)
		return
	case info == nil:
		info = &connInfo{early: !c.stopping}
		c.conns[conn] = info
	}
	info.state, info.since = state, time.Now()
	if state == http.StateActive && c.stopping {
		// The request was read at the moment at which endIdle set the deadline. An error
		// means that the connection is closed, which the server notices itself.
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// Stop ends the idle connections of the server, waits for its requests, and shuts it down.
// It returns an error if requests are still in progress when ctx ends.
func (c *Conns) Stop(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	scanCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	earlyClosed := make(chan struct{})
	go c.endIdleUntil(scanCtx, earlyClosed)
	select {
	case <-earlyClosed:
	case <-ctx.Done():
	}
	// Connections that were opened later end with their first response, so none of them
	// becomes idle.
	return c.server.Shutdown(ctx)
}

// endIdleUntil ends idle connections until ctx ends. It closes earlyClosed once no
// connection is left that was opened before the stop began.
func (c *Conns) endIdleUntil(ctx context.Context, earlyClosed chan<- struct{}) {
	reported := false
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		if c.endIdle(time.Now()) == 0 && !reported {
			reported = true
			close(earlyClosed)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endIdle lets the reads of idle connections fail that wait for a request, and returns the
// number of connections that were opened before the stop began.
func (c *Conns) endIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	early := 0
	for conn, info := range c.conns {
		if info.early {
			early++
		}
		if info.state == http.StateIdle || info.state == http.StateNew && now.Sub(info.since) > firstRequestTimeout {
			// An error means that the connection is closed.
			_ = conn.SetReadDeadline(now)
		}
	}
	return early
}
