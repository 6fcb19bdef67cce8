package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the site.
const heartbeatInterval = 1200 * time.Millisecond

// connKey is the key of the channel in the context of a request.
type connKey struct{}

// worker is a stand-in for a worker of a service.
type worker struct {
	c       *cluster
	id      string
	service string
	address string
	zone    string
	slots   int
	handler func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	version  string
	state    string
	born     int64
	sequence int64
	server   *http.Server
	stop     chan struct{}
}

func (c *cluster) newWorker(n int, service, version string, slots int, handler func(*worker, http.ResponseWriter, *http.Request)) *worker {
	g := &worker{c: c, id: fmt.Sprintf("i-%04d", n), service: service, address: c.address(fmt.Sprintf("%s.4.%d", c.prefix, n), portWorker), zone: zones[n%len(zones)], slots: slots, version: version}
	g.handler = func(w http.ResponseWriter, r *http.Request) { handler(g, w, r) }
	return g
}

// start begins a new incarnation. The first ping arrives pingDelay after the start.
func (g *worker) start(pingDelay time.Duration) error {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	server, stop := &http.Server{Handler: http.HandlerFunc(g.serve), ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}, make(chan struct{})
	g.mu.Lock()
	g.state, g.born, g.sequence, g.server, g.stop = "ready", time.Now().UnixMilli(), 0, server, stop
	g.mu.Unlock()
	g.c.r.record.log("worker %s starts, version %s", g.id, g.version)
	go func() { _ = server.Serve(listener) }()
	go g.ping(stop, pingDelay)
	return nil
}

// crash ends the incarnation: its channels are closed and it sends nothing more.
func (g *worker) crash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.stop)
	g.server.Close()
	g.c.r.record.log("worker %s ends", g.id)
}

// ping sends a ping now and in each interval.
func (g *worker) ping(stop chan struct{}, delay time.Duration) {
	for first := true; ; first = false {
		select {
		case <-stop:
			return
		case <-time.After(delay):
		}
		delay = heartbeatInterval
		g.mu.Lock()
		g.sequence++
		leaving := g.state != "ready"
		body := map[string]any{
			"service": g.service, "address": g.address, "zone": g.zone, "version": g.version, "slots": g.slots, "state": g.state,
			"cold_left_ms": 0, "sequence": g.sequence, "born": g.born,
		}
		g.mu.Unlock()
		if leaving {
			continue
		}
		by, err := g.c.post("/api/instances/"+g.id+"/heartbeat", body)
		if first {
			g.c.r.record.log("first ping of %s acknowledged by %q (%v)", g.id, by, err)
		}
	}
}

// stamp sets the headers of each answer.
func (g *worker) stamp(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%d", g.id, g.born))
	g.mu.Lock()
	leaving := g.state != "ready"
	g.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

// serve rejects requests for other workers and passes the others to the handler.
func (g *worker) serve(w http.ResponseWriter, r *http.Request) {
	g.stamp(w, r)
	if r.Header.Get("X-Expect-Instance") != g.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g.handler(w, r)
}

// full rejects a request because the worker is full.
func (g *worker) full(w http.ResponseWriter) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
