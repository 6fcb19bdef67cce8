package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// events is the number of events of a turn.
const events = 4

// streamTurn is the run of a turn at a worker of this case.
func streamTurn(ran *runs) func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
	return func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
		id := r.Header.Get("X-Request-Id")
		ran.add(id, string(body))
		w.d.rec.line("worker %s runs %s, %d bytes", w.id, id, len(body))
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= events; n++ {
			time.Sleep(5 * time.Millisecond)
			fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", n, id, n)
			_ = http.NewResponseController(rw).Flush()
		}
	}
}

// runs holds the bodies that workers have run, by request id.
type runs struct {
	mu     sync.Mutex
	bodies map[string][]string
}

func (r *runs) add(id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bodies == nil {
		r.bodies = make(map[string][]string)
	}
	r.bodies[id] = append(r.bodies[id], body)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[id]
}

// chain is a program whose first turn was answered whole.
type chain struct {
	program, turn string
	// history is what a worker must get before the next input.
	history string
	// reached is set once a continuing turn has run, and tries counts the attempts.
	reached bool
	tries   int
	last    string
}

// caseRetire retires a store machine that freezes meanwhile, removes it once the retirement is
// done, and takes the disk of another store machine.
func caseRetire(rec *recorder, root string, trouble bool) int {
	d, err := newDeployment(rec, root, 3, 3, 2)
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	defer d.close()
	// The spare store machine is added after the deployment has formed.
	spare := d.add("store", 2, 4, false)
	for _, m := range d.machines {
		if m == spare {
			continue
		}
		if err := m.start(); err != nil {
			rec.say("cannot run: %v", err)
			return 2
		}
	}
	op := newOperator(d)
	if err := op.put(manifest(7, true, false), 15*time.Second); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	ran := &runs{}
	for n := range 3 {
		w, err := startWorker(d, n+1, "huvo11a", 12, streamTurn(ran))
		if err != nil {
			rec.say("cannot run: %v", err)
			return 2
		}
		defer w.end()
	}
	fronts := d.of("entry")
	pick := func() *machine { return fronts[rand.Intn(len(fronts))] }
	first := func(program string) (*chain, answer) {
		input := "input of " + program + "\n" + strings.Repeat("x", 4000) + "\n"
		a := attempt(rec, pick(), http.MethodPost, turnPrefix+"2f", turnHeader(program, ""), []byte(input), 3*time.Second)
		if a.status != http.StatusOK || !a.whole || !a.signed || strings.Count(a.body, "data:") != events {
			return nil, a
		}
		history := input
		for n := 1; n <= events; n++ {
			history += fmt.Sprintf("%s/%d\n", a.id, n)
		}
		return &chain{program: program, turn: a.id, history: history}, a
	}
	// Wait until turns are served.
	served := false
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && !served; time.Sleep(200 * time.Millisecond) {
		c, _ := first("warm-up")
		served = c != nil
	}
	if !served {
		rec.say("cannot run: no turn is served after the start")
		return 2
	}
	if err := spare.start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	time.Sleep(6 * time.Second)
	// Programs begin, and their first turns end whole.
	var chains []*chain
	for n := range 400 {
		if c, _ := first(fmt.Sprintf("p%04d", n)); c != nil {
			chains = append(chains, c)
		}
	}
	rec.say("%d first turns were answered whole", len(chains))
	time.Sleep(2 * time.Second)
	// The operator has the spare store machine emptied.
	status, text, err := op.call(http.MethodPost, "/api/retire/"+spare.name+"/start", []byte(`{"deadline_s":10}`), 4*time.Second)
	if err != nil || status != http.StatusOK {
		rec.say("cannot run: retirement: %d %s %v", status, text, err)
		return 2
	}
	if trouble {
		// It freezes while it is emptied.
		spare.freeze()
	}
	started := time.Now()
	state := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && state != "done"; time.Sleep(100 * time.Millisecond) {
		if state, err = op.retireState(spare.name); err != nil {
			rec.say("the state of the retirement: %v", err)
		}
	}
	if state != "done" {
		rec.say("cannot run: the retirement is not done")
		return 2
	}
	rec.say("the retirement of %s is done after %d ms; the machine is removed", spare.name, time.Since(started).Milliseconds())
	// A machine that is removed is dark: it does not even reset its channels.
	spare.freeze()
	// Another store machine loses its disk.
	victim := d.of("store")[1]
	victim.kill()
	if err := victim.wipe(); err != nil {
		return 2
	}
	time.Sleep(time.Second)
	if err := victim.start(); err != nil {
		return 2
	}
	back := time.Now()
	rec.say("%s has lost its disk and is back", victim.name)
	// The programs go on, and new ones begin, until recover_s has elapsed.
	const recoverTime = 15 * time.Second
	var mu sync.Mutex
	newTurns, newServed := 0, 0
	stop := make(chan struct{})
	var newcomers sync.WaitGroup
	newcomers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			late := time.Since(back) >= recoverTime-4*time.Second
			c, _ := first(fmt.Sprintf("n%04d", n))
			mu.Lock()
			if late {
				newTurns++
				if c != nil {
					newServed++
				}
			}
			mu.Unlock()
		}
	})
	wrong := 0
	var continuing sync.WaitGroup
	slots := make(chan struct{}, 8)
	for time.Since(back) < recoverTime {
		round := time.Now()
		for _, c := range chains {
			if c.reached || time.Since(back) >= recoverTime {
				continue
			}
			slots <- struct{}{}
			continuing.Go(func() {
				defer func() { <-slots }()
				input := "next input of " + c.program + "\n"
				a := attempt(rec, pick(), http.MethodPost, turnPrefix+"2f", turnHeader(c.program, c.turn), []byte(input), 3*time.Second)
				c.tries++
				c.last = fmt.Sprintf("%d %.30q", a.status, a.body)
				for _, body := range ran.of(a.id) {
					c.reached = true
					if body != c.history+input {
						mu.Lock()
						wrong++
						mu.Unlock()
					}
				}
			})
		}
		continuing.Wait()
		if left := 500*time.Millisecond - time.Since(round); left > 0 {
			time.Sleep(left)
		}
	}
	close(stop)
	newcomers.Wait()
	lost := 0
	for _, c := range chains {
		if !c.reached {
			lost++
			rec.line("the turn %s of program %s was answered whole; none of %d continuing turns has reached a worker; the last got %s", c.turn, c.program, c.tries, c.last)
		}
	}
	rec.say("%d of %d turns that were answered whole can't be continued; %d of %d other turns were served in the last 4 s; wrong bodies: %d", lost, len(chains), newServed, newTurns, wrong)
	if newTurns == 0 || newServed*5 < newTurns*4 {
		rec.say("cannot run: other turns are not served either")
		return 2
	}
	if lost > 0 || wrong > 0 {
		rec.say("BROKEN: LOST")
		return 1
	}
	rec.say("held")
	return 0
}
