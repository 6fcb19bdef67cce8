package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

var (
	openMu sync.Mutex
	open   []*deployment
)

// engines is the number of workers of the model service, with 12 slots each.
const engines = 12

// plainWork is the time of a request at a plain service: the mean of pallet-transfer on the sheet.
const plainWork = 104 * time.Millisecond

// endAll ends the processes of all deployments.
func endAll() {
	openMu.Lock()
	defer openMu.Unlock()
	for _, d := range open {
		d.close()
	}
	open = nil
}

// world is a running deployment with its stand-ins.
type world struct {
	*deployment
	clients *clients
	runs    *runs
	workers []*worker
}

// startWorld starts the machines, the workers and the first manifest, and waits until requests are
// served.
func startWorld(rec *recorder, counts map[string]int, history bool) (*world, error) {
	d, err := newDeployment(rec, 1, counts, []string{"be-central-a", "be-central-b", "be-central-c"})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	openMu.Lock()
	open = append(open, d)
	openMu.Unlock()
	w := &world{deployment: d, clients: &clients{d: d, rec: rec}, runs: &runs{byID: make(map[string][]run)}}
	if err := d.startAll(); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	if err := d.operate(manifest(1, history)); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	for n := range engines {
		w.addWorker(fmt.Sprintf("i-m%d", n+1), "models", 12, 20*time.Millisecond, true)
	}
	for n := range 3 {
		w.addWorker(fmt.Sprintf("i-l%d", n+1), "ledger", 6, plainWork, false)
	}
	for _, x := range w.workers {
		if err := x.start(); err != nil {
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
		go x.beat()
	}
	served := 0
	for until := time.Now().Add(20 * time.Second); served < 5; time.Sleep(300 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("%w: no request is served after the start", errSetup)
		}
		a := w.clients.send(http.MethodPost, "/book/x", "{}", 2*time.Second, nil)
		b := w.turn("warm-up", "", 30*time.Second)
		if a.status == http.StatusOK && b.complete() {
			served++
		} else {
			served = 0
		}
	}
	rec.log("setup: requests are served")
	return w, nil
}

// addWorker adds a worker that has not been started.
func (w *world) addWorker(id, service string, slots int, work time.Duration, engine bool) *worker {
	x := &worker{d: w.deployment, rec: w.rec, runs: w.runs, id: id, service: service, slots: slots, work: work, engine: engine, zone: []string{"be-central-a", "be-central-b", "be-central-c"}[len(w.workers)%3], address: fmt.Sprintf("%s.9.%d:0", w.prefix, 1+len(w.workers)%200)}
	w.workers = append(w.workers, x)
	return x
}

// turn makes one attempt of a turn that continues from another one.
func (w *world) turn(program, previous string, left time.Duration) answer {
	return w.turnWithBody(program, previous, "input of "+program+"\n", left)
}

// turnWithBody is turn with another body.
func (w *world) turnWithBody(program, previous, body string, left time.Duration) answer {
	return w.clients.send(http.MethodPost, "/chat/x", body, 3*time.Second, turnHeaders(program, previous, left))
}

// turnHeaders returns the headers of a turn.
func turnHeaders(program, previous string, left time.Duration) map[string]string {
	headers := map[string]string{
		"X-Program": program, "X-Session": program[:min(len(program), 16)], "X-Program-Deadline": fmt.Sprint(left.Milliseconds()), "X-Token-Budget": "1000000",
		"X-Token-Usage": "922,77", "X-Model": "m", "X-Prompt-Prefix": "5c1e07a2:512,91bd3f06:410",
	}
	if previous != "" {
		headers["X-Previous-Turn"] = previous
	}
	return headers
}

// complete reports whether the answer is a stream with its last event and its end.
func (a answer) complete() bool {
	return a.status == http.StatusOK && a.whole && len(a.body) > 0 && lastEvent(a.body) == eventsPerTurn
}
