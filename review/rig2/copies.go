package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// The length of the kill is that of the site's list, and the others are bounds of its sheet.
	storeDown = 2800 * time.Millisecond
	catchUp   = 6 * time.Second
	contact   = 4 * time.Second
	wipeDown  = 2 * time.Second
	// tries is the number of tries after which a turn that reached no worker counts as lost.
	tries = 5
)

// lastEvent returns the id of the last event of a stream.
func lastEvent(body string) int {
	last := 0
	for _, line := range strings.Split(body, "\n") {
		if strings.HasPrefix(line, "id: ") {
			_, _ = fmt.Sscanf(line, "id: %d", &last)
		}
	}
	return last
}

// chat is a program whose first turn was answered whole.
type chat struct {
	program string
	turn    string
	at      time.Time
	when    string
}

// startChats begins programs for a time, and returns those whose first turn was answered whole.
func (w *world) startChats(when string, d time.Duration, pause time.Duration) []chat {
	var mu sync.Mutex
	var chats []chat
	var wg sync.WaitGroup
	for begin, n := time.Now(), 0; time.Since(begin) < d; n++ {
		wg.Go(func() {
			program := fmt.Sprintf("%s-%d", when, n)
			a := w.turn(program, "", 60*time.Second)
			if a.complete() {
				mu.Lock()
				defer mu.Unlock()
				chats = append(chats, chat{program, a.id, time.Now(), when})
			}
		})
		time.Sleep(pause)
	}
	wg.Wait()
	return chats
}

// outcome is what became of a program that goes on.
type outcome struct {
	chat
	tries, reached, gone int
	complete             bool
	statuses             []int
}

// goOn sends the second turn of a program. A turn that fails is sent again from its start after
// .1 to .4 s, at most twice, and each send has one retry on a new channel.
func (w *world) goOn(c chat) outcome {
	o := outcome{chat: c}
	for range 3 {
		for range 2 {
			a := w.turn(c.program, c.turn, 30*time.Second)
			o.tries++
			o.statuses = append(o.statuses, a.status)
			if len(w.runs.of(a.id)) > 0 {
				o.reached++
			}
			if a.status == http.StatusNotFound || a.status == http.StatusGone {
				o.gone++
			}
			if o.complete = a.complete(); o.complete {
				return o
			}
			time.Sleep(max(a.wait(), 100*time.Millisecond))
		}
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	}
	return o
}

// wait returns how long the client waits after a refusal: Retry-After, up to a third of its time.
func (a answer) wait() time.Duration {
	seconds, err := strconv.ParseFloat(a.retryAfter, 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), time.Second)
}

// copiesCase: a store machine is killed for a moment while turns are answered. Later, another one is
// emptied and taken away, and right after that a third one loses its disk.
func copiesCase(rec *recorder, trouble bool) ([]string, error) {
	w, err := startWorld(rec, map[string]int{"core": 3, "store": 4, "front": 3}, true)
	if err != nil {
		return nil, err
	}
	first, second, third := w.machine("store-1"), w.machine("store-2"), w.machine("store-3")
	chats := w.startChats("before", time.Second, 40*time.Millisecond)
	if trouble {
		rec.log("platform: kills %s for %v", first.name, storeDown)
		first.kill()
	}
	begin := time.Now()
	chats = append(chats, w.startChats("during", storeDown, 40*time.Millisecond)...)
	time.Sleep(storeDown - time.Since(begin))
	if trouble {
		rec.log("platform: starts %s", first.name)
		if err := first.start(); err != nil {
			return nil, err
		}
	}
	chats = append(chats, w.startChats("after", time.Second, 40*time.Millisecond)...)
	time.Sleep(catchUp)
	if trouble {
		if err := w.retire(second); err != nil {
			return nil, err
		}
		rec.log("platform: removes %s with its disk", second.name)
		second.kill()
		second.wipe()
		rec.log("platform: %s loses its disk", third.name)
		third.kill()
		third.wipe()
	}
	time.Sleep(wipeDown)
	if trouble {
		rec.log("platform: starts %s with an empty disk", third.name)
		if err := third.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(catchUp + contact)
	return w.judge(chats)
}

// retire orders that a store machine be emptied and waits until it is.
func (w *world) retire(m *machine) error {
	w.rec.log("operator: %s is to be emptied", m.name)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, _ := w.order(http.MethodPost, "/api/retire/"+m.name+"/start", `{"deadline_s":10}`); status == http.StatusOK {
			break
		}
	}
	return w.awaitRetired(m)
}

// awaitRetired waits until a store machine is emptied.
func (w *world) awaitRetired(m *machine) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		status, body := w.order(http.MethodGet, "/api/retire/"+m.name+"/get", "")
		var state struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &state) == nil && state.State == "done" {
			w.rec.log("operator: %s is done", m.name)
			return nil
		}
	}
	return fmt.Errorf("%w: the store machine was not emptied", errSetup)
}

// judge lets all programs go on, beside new ones, and returns the turns that are lost.
func (w *world) judge(chats []chat) ([]string, error) {
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	peak := 0.0
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			busy, slots := 0.0, 0.0
			for _, x := range w.workers {
				if x.engine {
					busy, slots = busy+x.load()*float64(x.slots), slots+float64(x.slots)
				}
			}
			mu.Lock()
			peak = max(peak, busy/slots)
			mu.Unlock()
		}
	}()
	fresh := make(chan int, 1)
	go func() { fresh <- len(w.startChats("fresh", 3*time.Second, 60*time.Millisecond)) }()
	for _, c := range chats {
		wg.Go(func() {
			o := w.goOn(c)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	served := <-fresh
	close(stop)
	w.rec.log("check: %d of about 50 first turns were served beside; the workers were at most %.2f full", served, peak)
	if served < 45 || peak >= 0.5 {
		return nil, fmt.Errorf("%w: first turns were not served, or the workers were full", errSetup)
	}
	var breaks []string
	count := map[string][2]int{}
	for _, o := range outcomes {
		n := count[o.when]
		n[1]++
		age := time.Since(o.at).Round(100 * time.Millisecond)
		if age < 60*time.Second && (o.gone > 0 || o.reached == 0 && o.tries >= tries) {
			n[0]++
			breaks = append(breaks, fmt.Sprintf("program %s goes on from turn %s, which was answered whole %v ago: %d tries, %d reached a worker, statuses %v", o.program, o.turn, age, o.tries, o.reached, o.statuses))
		}
		count[o.when] = n
	}
	for when, n := range count {
		w.rec.log("check: of %d turns answered %s it, %d are lost", n[1], when, n[0])
	}
	return breaks, nil
}
