package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	tokensPerEvent = 11
	eventsPerTurn  = 7
	heartbeatEvery = 1200 * time.Millisecond
	// queued is the number of requests that wait at a worker beyond its slots.
	queued = 4
	// healthPath is that of the manifest.
	healthPath = "/health"
)

// run is one request that a worker has begun to work on.
type run struct {
	worker   string
	previous string
	at       time.Time
}

// runs holds what all workers have run, by request id.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(id string, x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], x)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// worker is a stand-in for a worker of a service.
type worker struct {
	d       *deployment
	rec     *recorder
	runs    *runs
	id      string
	service string
	address string
	zone    string
	slots   int
	// work is the time of a request at a plain service, and the time between two events at an engine.
	work   time.Duration
	engine bool

	mu       sync.Mutex
	sequence int64
	born     int64
	busy     int
	waiting  int
	free     chan struct{}
	state    string
	server   *http.Server
	stop     chan struct{}
}

// start listens and begins to send heartbeats.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.born, w.state, w.stop, w.free = time.Now().UnixMilli(), "ready", make(chan struct{}), make(chan struct{}, w.slots)
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// beat sends heartbeats until end.
func (w *worker) beat() {
	for {
		w.report(w.announcement())
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// end closes the listener and all channels, as the exit of the process does.
func (w *worker) end() {
	close(w.stop)
	w.server.Close()
}

// announcement returns the body of the next heartbeat.
func (w *worker) announcement() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	beat := map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state, "cold_left_ms": 0, "sequence": w.sequence, "born": w.born}
	if w.engine {
		beat["stage"], beat["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	body, _ := json.Marshal(beat)
	return body
}

// report sends a heartbeat to one control node after the other until one acknowledges it.
func (w *worker) report(body []byte) bool { return w.call("heartbeat", body) }

// deregister says that the worker is gone.
func (w *worker) deregister() bool {
	body, _ := json.Marshal(map[string]any{"born": w.born})
	return w.call("deregister", body)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

func (w *worker) call(what string, body []byte) bool {
	cores := w.d.class("core")
	first := rand.IntN(len(cores))
	for i := range cores {
		m := cores[(first+i)%len(cores)]
		response, err := controlClient.Post(fmt.Sprintf("http://%s:%d/api/instances/%s/%s", m.ip, controlPort, w.id, what), "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// enter waits for a slot. It returns false if the worker is full, or if the time of the request passes
// while it waits.
func (w *worker) enter(ctx context.Context) bool {
	w.mu.Lock()
	if w.busy+w.waiting >= w.slots+queued {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	entered := false
	select {
	case w.free <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	if entered {
		w.busy++
	}
	return entered
}

func (w *worker) leave() {
	w.mu.Lock()
	w.busy--
	w.mu.Unlock()
	<-w.free
}

// load returns the share of slots in use.
func (w *worker) load() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.busy) / float64(w.slots)
}

func notRun(rw http.ResponseWriter, id string, status int) {
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Not-Run", "1")
	rw.WriteHeader(status)
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == healthPath {
		rw.Header().Set("X-Instance", w.id)
		return
	}
	if id == "" {
		notRun(rw, id, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.rec.log("worker %s: 421 for %s, which expects %s", w.id, id, expected)
		notRun(rw, id, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline"))
	if err != nil {
		deadline = 30_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	if !w.enter(ctx) {
		notRun(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	w.runs.add(id, run{w.id, r.Header.Get("X-Previous-Turn"), time.Now()})
	w.rec.log("worker %s: runs %s", w.id, id)
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Server-Stamp", "s."+w.id+"."+id)
	if !w.engine {
		select {
		case <-time.After(w.work):
		case <-ctx.Done():
			rw.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		fmt.Fprintf(rw, "done %s", id)
		w.rec.log("worker %s: has answered %s", w.id, id)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(rw)
	for n := last + 1; n <= eventsPerTurn; n++ {
		select {
		case <-time.After(w.work):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", n, id, n)
		_ = flush.Flush()
	}
}
