package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["order"] = runOrder }

const (
	orderPrefix = "/lohu930/"
	// streamEvents and eventGap describe a stream of 1.2 s.
	streamEvents = 12
	eventGap     = 100 * time.Millisecond
	streamBudget = 3 * time.Second
	// orderClients is the number of clients that read streams, one after the other.
	orderClients = 16
	// orderRetries is how often a client takes a stream up, within its time budget.
	orderRetries = 3
	// downTime is how long a worker is down while it starts again.
	downTime = 400 * time.Millisecond
	// pingLate is how late the first ping of a worker that started again arrives: half of
	// heartbeat_ms.
	pingLate = 600 * time.Millisecond
	// maxMixed is the number of streams with events of two versions that the rule allows.
	maxMixed = 2
)

// streamHandler generates the events of a stream after Last-Event-Id. Each names the version.
func streamHandler(g *worker, w http.ResponseWriter, r *http.Request) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g.mu.Lock()
	version := g.version
	g.mu.Unlock()
	g.c.r.record.log("run   %s at %s version %s after event %d", r.Header.Get("X-Request-Id"), g.id, version, first)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
		_ = http.NewResponseController(w).Flush()
	}
}

// readStream reads one stream and takes it up when it breaks off. It returns the versions of
// its events.
func (k *client) readStream(ctx context.Context) map[string]int {
	versions := make(map[string]int)
	deadline := time.Now().Add(streamBudget)
	first, last := "", ""
	for attempt := 0; attempt <= orderRetries && time.Until(deadline) > 0 && ctx.Err() == nil; attempt++ {
		id := newID()
		var headers []string
		if first != "" {
			headers = []string{"Last-Event-Id", last, "Resumes", first}
		}
		attemptCtx, cancel := context.WithDeadline(ctx, deadline)
		response, err := k.do(attemptCtx, http.MethodPost, orderPrefix+"2f", id, time.Until(deadline), "prompt", headers...)
		if err != nil {
			cancel()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if response.StatusCode != http.StatusOK {
			after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			k.c.r.record.log("refuse %s status %d retry after %.3f", id, response.StatusCode, after)
			response.Body.Close()
			cancel()
			time.Sleep(min(time.Duration(after*float64(time.Second)), time.Until(deadline)/3))
			continue
		}
		err = readEvents(response.Body, func(e event) {
			if first == "" {
				first = id
			}
			last = e.id
			versions[e.data]++
		})
		response.Body.Close()
		cancel()
		k.c.r.record.log("answer %s resumes %q last event %s versions %v: %v", id, first, last, versions, err)
		if err == nil {
			return versions
		}
		time.Sleep(100 * time.Millisecond)
	}
	return versions
}

// runOrder restarts the workers of a service in place, one after the other, with a new software
// version under their old ids. ORDER is checked.
func runOrder(r *run) (bool, error) {
	routes := []map[string]any{{"name": "r-ispuxsr", "path_prefix": orderPrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "service": "huvo11a", "max_attempts": 1, "sticky": true, "resumable": true, "gap_aim_ms": 150, "retention_s": 60.0}}
	services := []map[string]any{{"name": "huvo11a", "health_path": "/health", "max_conns": 378, "engine": engine(12)}}
	c, err := startCluster(r, size{controls: 3, stores: 3, entries: 3, entryMemoryMB: 120, storeMemoryMB: 144}, manifest(7, routes, services))
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return false, err
	}
	var workers []*worker
	for n := 1; n <= 2; n++ {
		g := c.newWorker(n, "huvo11a", "v1", 12, streamHandler)
		if err := g.start(0); err != nil {
			return false, err
		}
		workers = append(workers, g)
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	streams, mixed, complete := 0, 0, 0
	var wg sync.WaitGroup
	for range orderClients {
		k := c.newClient()
		wg.Go(func() {
			for ctx.Err() == nil {
				versions := k.readStream(ctx)
				total := 0
				for _, n := range versions {
					total += n
				}
				mu.Lock()
				streams++
				if len(versions) > 1 {
					mixed++
				}
				if total == streamEvents {
					complete++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		for _, g := range workers {
			g.crash()
			time.Sleep(downTime)
			g.mu.Lock()
			g.version = "v2"
			g.mu.Unlock()
			if err := g.start(pingLate); err != nil {
				return false, err
			}
			time.Sleep(8 * time.Second)
		}
	} else {
		time.Sleep(16 * time.Second)
	}
	cancel()
	wg.Wait()
	r.record.log("%d streams, %d complete, %d with events of two versions", streams, complete, mixed)
	fmt.Printf("%d streams, %d complete, %d with events of two versions (the rule allows %d)\n", streams, complete, mixed, maxMixed)
	if complete == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return mixed <= maxMixed, nil
}
