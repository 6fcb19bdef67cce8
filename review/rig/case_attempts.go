package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["attempts"] = runAttempts }

const (
	// Each worker runs engineSlots requests at once and queues engineQueue more.
	engineSlots = 12
	engineQueue = 2
	// shortEvents and shortGap describe a stream of half a second.
	shortEvents = 8
	shortGap    = 60 * time.Millisecond
	// One in lostEach streams of a worker loses its answer, lostRounds times for lostTime, with
	// lostPause between.
	lostEach   = 20
	lostRounds = 3
	lostTime   = 4 * time.Second
	lostPause  = 2 * time.Second
	// attemptClients is the number of clients that read streams, one after the other.
	attemptClients = 40
	// maxOver is the number of requests on more workers than max_attempts that the rule allows.
	maxOver = 3
)

// slots are the places of one worker.
type slots struct {
	running chan struct{}
	held    atomic.Int64
}

// runAttempts loses answers of one of two busy workers by a reset of their channels. BUDGET
// (max_attempts) is checked.
func runAttempts(r *run) (bool, error) {
	routes := []map[string]any{{"name": "r-ispuxsr", "path_prefix": orderPrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "service": "huvo11a", "max_attempts": 1, "sticky": true, "resumable": true, "gap_aim_ms": 150, "retention_s": 60.0}}
	services := []map[string]any{{"name": "huvo11a", "health_path": "/health", "max_conns": 378, "engine": engine(engineSlots)}}
	c, err := startCluster(r, size{controls: 3, stores: 3, entries: 3, entryMemoryMB: 120, storeMemoryMB: 144}, manifest(7, routes, services))
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return false, err
	}
	var losing atomic.Bool
	var mu sync.Mutex
	ranAt := make(map[string]map[string]bool)
	resets, streams := 0, 0
	for n := 1; n <= 2; n++ {
		places := &slots{running: make(chan struct{}, engineSlots)}
		g := c.newWorker(n, "huvo11a", "v1", engineSlots, func(g *worker, w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("X-Request-Id")
			defer places.held.Add(-1)
			if places.held.Add(1) > engineSlots+engineQueue {
				r.record.log("full  %s at %s", id, g.id)
				g.full(w)
				return
			}
			select {
			case places.running <- struct{}{}:
			case <-q.Context().Done():
				return
			}
			defer func() { <-places.running }()
			mu.Lock()
			if ranAt[id] == nil {
				ranAt[id] = make(map[string]bool)
			}
			ranAt[id][g.id] = true
			first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			r.record.log("run   %s at %s after event %d", id, g.id, first)
			resetAt := 0
			if g.id == "i-0001" && losing.Load() && first == 0 {
				if streams++; streams%lostEach == 0 {
					resetAt = 2 + streams/lostEach%(shortEvents-3)
				}
			}
			mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			for n := first + 1; n <= shortEvents; n++ {
				time.Sleep(shortGap)
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil {
					r.record.log("drop  %s at %s: its channel has ended", id, g.id)
					return
				}
				if err := http.NewResponseController(w).Flush(); err != nil {
					r.record.log("drop  %s at %s: its channel has ended", id, g.id)
					return
				}
				if n == resetAt {
					r.record.log("reset %s: its channel to %s is reset after event %d", id, g.id, n)
					mu.Lock()
					resets++
					mu.Unlock()
					conn := q.Context().Value(connKey{}).(*net.TCPConn)
					_ = conn.SetLinger(0)
					conn.Close()
				}
			}
		})
		if err := g.start(0); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var complete atomic.Int64
	var wg sync.WaitGroup
	for range attemptClients {
		k := c.newClient()
		wg.Go(func() {
			for ctx.Err() == nil {
				id := newID()
				callCtx, cancelCall := context.WithTimeout(ctx, streamBudget)
				response, err := k.do(callCtx, http.MethodPost, orderPrefix+"2f", id, streamBudget, "prompt")
				if err != nil {
					cancelCall()
					continue
				}
				events := 0
				if response.StatusCode == http.StatusOK {
					if err := readEvents(response.Body, func(event) { events++ }); err == nil && events == shortEvents {
						complete.Add(1)
					}
				}
				response.Body.Close()
				cancelCall()
				r.record.log("answer %s status %d, %d events", id, response.StatusCode, events)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for range lostRounds {
		losing.Store(r.trouble)
		time.Sleep(lostTime)
		losing.Store(false)
		time.Sleep(lostPause)
	}
	cancel()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for id, at := range ranAt {
		if len(at) > 1 {
			over++
			r.record.log("request %s ran on %d workers, max_attempts is 1", id, len(at))
		}
	}
	r.record.log("%d streams complete, %d channels reset, %d requests on two workers", complete.Load(), resets, over)
	fmt.Printf("%d streams complete, %d channels reset, %d requests ran on two workers (the rule allows %d)\n", complete.Load(), resets, over, maxOver)
	if complete.Load() == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return over <= maxOver, nil
}
