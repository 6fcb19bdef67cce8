package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["endless"] = runEndless }

const (
	// endlessTime is how long one of the workers answers with bytes without end.
	endlessTime = 20 * time.Second
	oncePrefix  = "/lohu930/"
	// endlessClients is the number of clients that send requests, one after the other.
	endlessClients = 24
	// onceClients is the number of further clients that send requests which take longer
	// and may run once.
	onceClients = 12
	onceTime    = 60 * time.Millisecond
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 5 * time.Millisecond
	// linkBytesPerSecond is link_mbps of a front machine.
	linkBytesPerSecond = 700_000_000 / 8
	// maxLost is the number of lost requests that the rule allows.
	maxLost = 3
)

// residentMB returns the memory that a process uses.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb / 1024
		}
	}
	return 0
}

// sharedLink paces the bytes that all workers together send to one machine.
type sharedLink struct {
	mu   sync.Mutex
	free time.Time
}

func (l *sharedLink) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / linkBytesPerSecond)
	at := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// runEndless lets one of three workers of a plain service answer with a body without end. The
// platform kills a process that uses more memory than its machine has. LOST is checked.
func runEndless(r *run) (bool, error) {
	routes := []map[string]any{{"name": "r-7i427ey", "path_prefix": drainPrefix, "kind": "idempotent", "timeout_ms": 1200, "target_latency_ms": 80, "priority": 1, "service": "wuno96b", "max_attempts": 2},
		{"name": "r-ispuxsr", "path_prefix": oncePrefix, "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": "wuno96b", "max_attempts": 1}}
	services := []map[string]any{{"name": "wuno96b", "health_path": "/health", "max_conns": 244}}
	const memoryMB = 120
	c, err := startCluster(r, size{controls: 3, stores: 3, entries: 2, entryMemoryMB: memoryMB, storeMemoryMB: 144}, manifest(7, routes, services))
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return false, err
	}
	var endless atomic.Bool
	var ran sync.Map
	links := map[string]*sharedLink{}
	var linksMu sync.Mutex
	block := []byte(strings.Repeat("x", 32<<10))
	for n := 1; n <= 3; n++ {
		g := c.newWorker(n, "wuno96b", "v1", 6, func(g *worker, w http.ResponseWriter, q *http.Request) {
			r.record.log("run   %s at %s", q.Header.Get("X-Request-Id"), g.id)
			ran.Store(q.Header.Get("X-Request-Id"), g.id)
			if strings.HasPrefix(q.URL.Path, oncePrefix) {
				time.Sleep(onceTime)
			}
			time.Sleep(10 * time.Millisecond)
			if g.id != "i-0001" || !endless.Load() {
				fmt.Fprint(w, "stock of "+q.Header.Get("X-Request-Id"))
				return
			}
			linksMu.Lock()
			host, _, _ := strings.Cut(q.RemoteAddr, ":")
			if links[host] == nil {
				links[host] = &sharedLink{}
			}
			link := links[host]
			linksMu.Unlock()
			for {
				if os.Getenv("PACE") != "0" {
					link.wait(len(block))
				}
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		})
		if err := g.start(0); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ends atomic.Int64
	peak := make([]int64, 2)
	for i, v := range c.withRole(roleEntry) {
		go func() {
			for ctx.Err() == nil {
				pid := v.pid()
				mb := residentMB(pid)
				peak[i] = max(peak[i], mb)
				if mb > memoryMB {
					r.record.log("platform: %s uses %d MB of %d and is killed", v.name, mb, memoryMB)
					ends.Add(1)
					v.signal(syscall.SIGKILL)
					for v.pid() == pid && ctx.Err() == nil {
						time.Sleep(memoryInterval)
					}
				}
				time.Sleep(memoryInterval)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	var served, lost atomic.Int64
	var wg sync.WaitGroup
	for n := range endlessClients + onceClients {
		k := c.newClient()
		path := drainPrefix
		if n >= endlessClients {
			path = oncePrefix
		}
		wg.Go(func() {
			var ch *channel
			for ctx.Err() == nil {
				if ch == nil {
					if ch = k.open(zones[0]); ch == nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				id, kept := newID(), ch.answered > 0
				status, body, err := ch.get(path+"2f", id, 1200*time.Millisecond)
				if err == nil && status == http.StatusOK && body == "stock of "+id {
					served.Add(1)
				}
				if err != nil {
					worker, _ := ran.Load(id)
					r.record.log("answer %s on a channel with %d answers before, run at %v: %v", id, ch.answered, worker, err)
					if kept && worker != nil && worker != "i-0001" && !errors.Is(err, os.ErrDeadlineExceeded) {
						lost.Add(1)
					}
					ch.conn.Close()
					ch = nil
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	endless.Store(r.trouble)
	time.Sleep(endlessTime)
	endless.Store(false)
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	r.record.log("%d served, %d channels closed, %d ends for memory, peaks %v MB", served.Load(), lost.Load(), ends.Load(), peak)
	fmt.Printf("%d served, %d kept channels closed without an answer while a sound worker had the request, %d ends for memory, peaks %v MB\n", served.Load(), lost.Load(), ends.Load(), peak)
	if served.Load() == 0 {
		return false, errors.New("nothing was served")
	}
	return lost.Load() <= maxLost, nil
}
