package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// caseName retires a store machine and takes it away. Later a new store machine has its name; it
// is retired as well, and right after that another store machine loses its disk.
func caseName(rec *recorder, root string, trouble bool) int {
	d, err := newDeployment(rec, root, 5, 3, 2)
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	op := newOperator(d)
	if err := op.put(manifest(7, false, true), 15*time.Second); err != nil {
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
	first := d.add("store", 2, 4, false)
	if err := first.start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	time.Sleep(8 * time.Second)
	load := startLoad(rec, d.of("entry"))
	defer load.end()
	// retire has a machine emptied, and takes it away once the state is done.
	retire := func(m *machine) bool {
		begin := time.Now()
		status, text, err := op.call(http.MethodPost, "/api/retire/"+m.name+"/start", []byte(`{"deadline_s":10}`), 4*time.Second)
		if err != nil || status != http.StatusOK {
			rec.say("cannot run: retirement of %s: %d %s %v", m.name, status, text, err)
			return false
		}
		for state := ""; state != "done"; time.Sleep(50 * time.Millisecond) {
			if time.Since(begin) > 15*time.Second {
				rec.say("cannot run: the retirement of %s is not done", m.name)
				return false
			}
			if state, err = op.retireState(m.name); err != nil {
				rec.say("the state of the retirement: %v", err)
			}
		}
		rec.say("the retirement of %s at %s is done after %d ms; the machine is removed", m.name, m.ip, time.Since(begin).Milliseconds())
		m.kill()
		return true
	}
	time.Sleep(2 * time.Second)
	if !retire(first) {
		return 2
	}
	time.Sleep(2 * time.Second)
	// A store machine is replaced by an empty one at another address.
	replaced := d.of("store")[2]
	rec.say("%s is gone for good", replaced.name)
	replaced.kill()
	time.Sleep(time.Second)
	second := d.add("store", 2, 5, false)
	if trouble {
		second.name = first.name
	}
	rec.say("%s comes at %s", second.name, second.ip)
	if err := second.start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	time.Sleep(8 * time.Second)
	if err := d.add("store", 2, 6, false).start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	// All machines are in their places for longer than catch_up_s (4 s).
	time.Sleep(6 * time.Second)
	if !retire(second) {
		return 2
	}
	victim := d.of("store")[0]
	before := rec.now()
	n, of := load.served(before-2*time.Second, before)
	rec.say("%d of %d requests of the last 2 s were served; %s loses its disk", n, of, victim.name)
	victim.kill()
	if err := victim.wipe(); err != nil {
		return 2
	}
	time.Sleep(time.Second)
	if err := victim.start(); err != nil {
		return 2
	}
	return load.judgeRecovery(before, rec.now())
}

// load is traffic that goes on until end is called.
type load struct {
	rec  *recorder
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup
	mu   sync.Mutex
	all  []loadTry
}

// loadTry is one request.
type loadTry struct {
	at     time.Duration
	served bool
}

// startLoad has four clients send turns through the fronts, one after the other.
func startLoad(rec *recorder, fronts []*machine) *load {
	l := &load{rec: rec, stop: make(chan struct{})}
	for c := range 4 {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				t := loadTry{at: rec.now()}
				a := attempt(rec, fronts[rand.Intn(len(fronts))], http.MethodPost, turnPrefix+"2f", turnHeader(fmt.Sprintf("p%d-%d", c, n), ""), []byte("input"), 3*time.Second)
				t.served = a.status == http.StatusOK && a.whole
				l.mu.Lock()
				l.all = append(l.all, t)
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
}

// served returns how many of the requests that were sent in a time were served, and their number.
func (l *load) served(from, to time.Duration) (n, of int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.all {
		if t.at >= from && t.at < to {
			of++
			if t.served {
				n++
			}
		}
	}
	return n, of
}

// judgeRecovery waits for recover_s and 10 s more, and returns the exit status for the rule RECOVER.
// The final fault came at the time fault, and all machines were back at the time back.
func (l *load) judgeRecovery(fault, back time.Duration) int {
	const recoverTime = 12 * time.Second
	time.Sleep(recoverTime + 10*time.Second)
	l.end()
	n, of := l.served(back+recoverTime, back+recoverTime+10*time.Second)
	was, wasOf := l.served(0, fault)
	l.rec.say("all machines are back; of the requests sent later than 12 s after that, %d of %d were served; %d of %d were before", n, of, was, wasOf)
	if of == 0 || was*4 < wasOf {
		l.rec.say("cannot run: too few requests")
		return 2
	}
	if n*4 < of {
		l.rec.say("BROKEN: RECOVER")
		return 1
	}
	l.rec.say("held")
	return 0
}
