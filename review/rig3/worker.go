package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the pages.
const heartbeatInterval = 1200 * time.Millisecond

// worker is a stand-in for a worker. It runs in this process and announces itself at control.
type worker struct {
	d        *deployment
	id       string
	service  string
	address  string
	zone     string
	slots    int
	born     int64
	run      func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)
	server   *http.Server
	stop     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	sequence int64
	state    string
}

// startWorker starts worker number n of a service. run is called for each request that is meant for
// this worker, after its body has been read.
func startWorker(d *deployment, n int, service string, slots int, run func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)) (*worker, error) {
	w := &worker{
		d: d, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, address: fmt.Sprintf("%s.9.%d:8080", d.prefix, n), zone: "zone-" + string(rune('a'+n%3)),
		slots: slots, born: time.Now().UnixMilli(), run: run, stop: make(chan struct{}), state: "ready",
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.announce()
	return w, nil
}

// end closes the worker without an announcement.
func (w *worker) end() {
	w.once.Do(func() {
		close(w.stop)
		w.server.Close()
	})
}

// announce sends a heartbeat in each interval.
func (w *worker) announce() {
	for {
		w.beat()
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat sends one heartbeat to one control machine after the other, until one acknowledges it.
func (w *worker) beat() bool {
	w.mu.Lock()
	w.sequence++
	body := asJSON(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state, "cold_left_ms": 0,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	return w.call("heartbeat", body)
}

func (w *worker) call(name, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	controls := w.d.of("control")
	for _, i := range rand.Perm(len(controls)) {
		response, err := client.Post(fmt.Sprintf("http://%s:%d/api/instances/%s/%s", controls[i].ip, controlPort, w.id, name), "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// ServeHTTP answers health probes and reports, refuses what is meant for another worker, and runs
// the rest.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("X-Instance", w.id)
		return
	case "/api/report":
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 178182, "handles": 0})
		return
	}
	rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", w.id, r.Header.Get("X-Request-Id")))
	w.run(w, rw, r, body)
}
