package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["drain"] = runDrain }

const (
	drainPrefix = "/pule252/"
	// These are the bounds contact_ms and drain_ms of the site.
	contactTime = 3000 * time.Millisecond
	drainTime   = 2000 * time.Millisecond
	// cutTime is how long the counted machines are split into two halves.
	cutTime = 7 * time.Second
	// serveOn is how long a leaving worker serves on after its acknowledgement.
	serveOn = 6 * time.Second
	// drainRounds and drainBurst describe the requests after the pause: drainRounds times
	// drainBurst at once.
	drainRounds = 4
	drainBurst  = 12
)

// arrivals counts the requests that reach a worker.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

type arrival struct {
	worker, request string
	at              time.Time
}

// runDrain splits the machines with disks into two halves, the smaller half of the core with the
// leader of the stores. While they are split, a worker of a quiet service deregisters. DRAIN is
// checked.
func runDrain(r *run) (bool, error) {
	routes := []map[string]any{{"name": "r-7i427ey", "path_prefix": drainPrefix, "kind": "idempotent", "timeout_ms": 1200, "target_latency_ms": 80, "priority": 1, "service": "wuno96b", "max_attempts": 2}}
	services := []map[string]any{{"name": "wuno96b", "health_path": "/health", "max_conns": 244}}
	c, err := startCluster(r, size{controls: 3, stores: 3, entries: 3, entryMemoryMB: 206, storeMemoryMB: 284, proxied: true}, manifest(7, routes, services))
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return false, err
	}
	var seen arrivals
	var workers []*worker
	for n := 1; n <= 3; n++ {
		g := c.newWorker(n, "wuno96b", "v1", 6, func(g *worker, w http.ResponseWriter, q *http.Request) {
			seen.mu.Lock()
			seen.list = append(seen.list, arrival{g.id, q.Header.Get("X-Request-Id"), time.Now()})
			seen.mu.Unlock()
			r.record.log("run   %s at %s", q.Header.Get("X-Request-Id"), g.id)
			time.Sleep(10 * time.Millisecond)
			fmt.Fprint(w, "stock of "+q.Header.Get("X-Request-Id"))
		})
		if err := g.start(0); err != nil {
			return false, err
		}
		workers = append(workers, g)
	}
	time.Sleep(2 * time.Second)
	k := c.newClient()
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	served := 0
	burst := func() {
		var wg sync.WaitGroup
		for range drainBurst {
			wg.Go(func() {
				id := newID()
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				response, err := k.do(context.Background(), http.MethodGet, drainPrefix+"2f", id, 1200*time.Millisecond, "")
				if err != nil {
					r.record.log("answer %s: %v", id, err)
					return
				}
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				r.record.log("answer %s status %d (%v)", id, response.StatusCode, err)
				if err == nil && response.StatusCode == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	for range drainRounds {
		burst()
		time.Sleep(100 * time.Millisecond)
	}
	storeLeader, controlLeader := c.leader(roleStore), c.leader(roleControl)
	if storeLeader == nil || controlLeader == nil {
		return false, fmt.Errorf("no leader")
	}
	r.record.log("%s leads the stores, %s the core", storeLeader.name, controlLeader.name)
	halves := [2][]*vm{{storeLeader}, {controlLeader}}
	for _, v := range c.withRole(roleStore) {
		if v != storeLeader {
			half := 0
			if len(halves[0]) == 2 {
				half = 1
			}
			halves[half] = append(halves[half], v)
		}
	}
	for _, v := range c.withRole(roleControl) {
		if v != controlLeader {
			half := 0
			if len(halves[0]) == 3 {
				half = 1
			}
			halves[half] = append(halves[half], v)
		}
	}
	cutAt := time.Now()
	if r.trouble {
		cut.set(halves[0], halves[1])
		for i, half := range halves {
			for _, v := range half {
				r.record.log("cut: %s is in half %d", v.name, i+1)
			}
		}
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	leaving := workers[0]
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.sequence++
	body := map[string]any{"born": leaving.born, "sequence": leaving.sequence}
	leaving.mu.Unlock()
	by, err := c.post("/api/instances/"+leaving.id+"/deregister", body, halves[1][0], halves[1][2])
	if err != nil {
		return false, fmt.Errorf("the deregistration was not acknowledged: %w", err)
	}
	acked := time.Now()
	r.record.log("deregistration of %s acknowledged by %s, %.1f s after the cut", leaving.id, by, acked.Sub(cutAt).Seconds())
	time.Sleep(drainTime + 100*time.Millisecond)
	burstAt := time.Now()
	for range drainRounds {
		burst()
		time.Sleep(100 * time.Millisecond)
	}
	if r.trouble && time.Since(cutAt) > cutTime {
		return false, fmt.Errorf("the requests took longer than the cut")
	}
	time.Sleep(max(0, cutTime-time.Since(cutAt)))
	cut.set()
	r.record.log("cut ends")
	time.Sleep(max(0, serveOn-time.Since(acked)))
	leaving.crash()
	late := 0
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for _, a := range seen.list {
		if a.worker == leaving.id && sent[a.request].After(acked.Add(drainTime)) {
			late++
			r.record.log("request %s, sent %.3f s after the acknowledgement, reached %s", a.request, sent[a.request].Sub(acked).Seconds(), a.worker)
		}
	}
	fmt.Printf("%d requests served; %d reached the worker later than drain_ms after its acknowledgement (sent from %.1f s after it)\n", served, late, burstAt.Sub(acked).Seconds())
	if served < drainRounds*drainBurst {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return late == 0, nil
}
