package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["settle"] = runSettle }

const (
	// Each turn has turnEvents events of eventTokens tokens; one turn generates mostTokens at
	// most.
	turnEvents  = 7
	eventTokens = 11
	mostTokens  = 286
	turnGap     = 40 * time.Millisecond
	thinkTime   = 60 * time.Millisecond
	// After lastQuickTurn, the tools of the programs take slowThinkTime.
	lastQuickTurn = 28
	slowThinkTime = 1200 * time.Millisecond
	// Each program has programTurns turns. Its budget holds them all, and one more at its most.
	programTurns  = 34
	programBudget = programTurns*turnEvents*eventTokens + mostTokens
	programCount  = 30
	// freezeTime is how long the machine that leads the stores stands still.
	freezeTime = 3200 * time.Millisecond
	// settleTime is settle_ms of the site.
	settleTime = 1000 * time.Millisecond
)

// runSettle freezes the leader of the stores while programs run. DENIED is checked: a turn gets a
// 402 only if the budget doesn't hold it.
func runSettle(r *run) (bool, error) {
	routes := []map[string]any{{"name": "r-ispuxsr", "path_prefix": orderPrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "service": "huvo11a", "max_attempts": 1, "sticky": true, "resumable": true, "gap_aim_ms": 150, "retention_s": 60.0}}
	services := []map[string]any{{"name": "huvo11a", "health_path": "/health", "max_conns": 378, "engine": engine(12)}}
	c, err := startCluster(r, size{controls: 3, stores: 3, entries: 3, entryMemoryMB: 120, storeMemoryMB: 144}, manifest(7, routes, services))
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return false, err
	}
	for n := 1; n <= 4; n++ {
		g := c.newWorker(n, "huvo11a", "v1", 12, func(g *worker, w http.ResponseWriter, q *http.Request) {
			r.record.log("run   %s at %s", q.Header.Get("X-Request-Id"), g.id)
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= turnEvents; n++ {
				select {
				case <-time.After(turnGap):
				case <-q.Context().Done():
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
				_ = http.NewResponseController(w).Flush()
			}
		})
		if err := g.start(0); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	leader := c.leader(roleStore)
	if leader == nil {
		return false, fmt.Errorf("no store leads")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var turns, whole, ended, denied, due atomic.Int64
	var wg sync.WaitGroup
	for n := range programCount {
		k := c.newClient()
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			if k.runProgram(ctx, fmt.Sprintf("3fa8%04x", n), &turns, &whole, &denied, &due) {
				ended.Add(1)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.record.log("%s, which leads the stores, freezes", leader.name)
		leader.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		leader.signal(syscall.SIGCONT)
		r.record.log("%s wakes", leader.name)
	}
	wg.Wait()
	allowed := 5 + turns.Load()/500
	r.record.log("%d turns, %d whole, %d programs ended, %d turns denied although the budget held them, %d denied with reason", turns.Load(), whole.Load(), ended.Load(), denied.Load(), due.Load())
	fmt.Printf("%d turns, %d whole, %d of %d programs ended; %d turns denied (402) although the budget held them (the rule allows %d)\n", turns.Load(), whole.Load(), ended.Load(), programCount, denied.Load(), allowed)
	if whole.Load() == 0 {
		return false, fmt.Errorf("no turn was whole")
	}
	return denied.Load() <= allowed, nil
}

// runProgram runs the turns of a program one after the other, and reports whether all ended.
func (k *client) runProgram(ctx context.Context, id string, turns, whole, denied, due *atomic.Int64) bool {
	// most counts turns at their most that have not ended whole, actual the others.
	actual, most := 0, 0
	var ends []time.Time
	for turn := 1; turn <= programTurns; {
		request := newID()
		turns.Add(1)
		callCtx, cancel := context.WithTimeout(ctx, streamBudget)
		response, err := k.do(callCtx, http.MethodPost, orderPrefix+"4b", request, streamBudget, "prompt",
			"X-Program", id, "X-Session", id, "X-Program-Deadline", "60000", "X-Token-Budget", fmt.Sprint(programBudget), "X-Token-Usage", fmt.Sprintf("1840,%d", mostTokens))
		if err != nil {
			cancel()
			most += mostTokens
			if ctx.Err() != nil {
				return false
			}
			continue
		}
		events, status := 0, response.StatusCode
		if status == http.StatusOK {
			err = readEvents(response.Body, func(event) { events++ })
		}
		response.Body.Close()
		cancel()
		k.c.r.record.log("answer %s program %s turn %d status %d, %d events (%v)", request, id, turn, status, events, err)
		switch {
		case status == http.StatusOK && err == nil && events == turnEvents:
			whole.Add(1)
			actual += events * eventTokens
			ends = append(ends, time.Now())
			turn++
		case status == http.StatusPaymentRequired:
			// Turns that ended within settle_ms count at their most.
			unsettled := 0
			for _, end := range ends {
				if time.Since(end) < settleTime {
					unsettled += mostTokens - turnEvents*eventTokens
				}
			}
			held := actual+most+unsettled+mostTokens <= programBudget
			k.c.r.record.log("denied %s program %s turn %d: %d tokens handed over, %d for turns that were not whole, %d not settled yet, budget %d, held %v", request, id, turn, actual, most, unsettled, programBudget, held)
			if held {
				denied.Add(1)
			} else {
				due.Add(1)
			}
			return false
		case status == http.StatusOK:
			most += mostTokens
		}
		if turn > lastQuickTurn {
			time.Sleep(slowThinkTime)
		} else {
			time.Sleep(thinkTime)
		}
	}
	return true
}
