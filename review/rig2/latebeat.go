package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// drain is the bound of the sheet.
	drain = 2500 * time.Millisecond
	// linger is how long a worker serves beyond drain after it has left: "at times many seconds".
	linger = 4 * time.Second
	// beatDelay is how late the heartbeat arrives: "A ping may arrive seconds late".
	beatDelay = 1500 * time.Millisecond
	// departures is the number of workers that have come and gone before, and atOnce how many of
	// them live at the same time.
	departures = 530
	atOnce     = 60
)

// lateBeatCase: many workers have come and gone. Then one that has been there from the start leaves,
// and a heartbeat that it sent before arrives late.
func lateBeatCase(rec *recorder, trouble bool) ([]string, error) {
	w, err := startWorld(rec, map[string]int{"core": 3, "store": 3, "front": 3}, false)
	if err != nil {
		return nil, err
	}
	count := departures
	if n, err := strconv.Atoi(os.Getenv("DEPARTURES")); err == nil {
		count = n
	}
	if err := w.comeAndGo(count); err != nil {
		return nil, err
	}
	leaving := w.workers[engines]
	stop := make(chan struct{})
	sent := w.bookings(stop, 40)
	time.Sleep(time.Second)
	late := leaving.announcement()
	rec.log("worker %s: sends a heartbeat, which is %v on its way", leaving.id, beatDelay)
	if trouble {
		time.AfterFunc(beatDelay, func() {
			rec.log("worker %s: the late heartbeat arrives, acknowledged=%v", leaving.id, leaving.report(late))
		})
	}
	time.Sleep(100 * time.Millisecond)
	close(leaving.stop)
	if !leaving.deregister() {
		return nil, fmt.Errorf("%w: the worker could not leave", errSetup)
	}
	left := time.Now()
	rec.log("worker %s: has left, acknowledged", leaving.id)
	time.Sleep(drain + linger)
	rec.log("worker %s: exits", leaving.id)
	leaving.server.Close()
	time.Sleep(3 * time.Second)
	close(stop)
	return w.judgeDrain(leaving, left, sent())
}

// comeAndGo starts workers that register, leave, serve on for as long as they must, and exit.
func (w *world) comeAndGo(count int) error {
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	failed := make(chan error, count)
	for n := range count {
		x := w.addWorker(fmt.Sprintf("i-s%d", n+1), "ledger", 6, plainWork, false)
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := x.start(); err != nil {
				failed <- err
				return
			}
			if !x.report(x.announcement()) || !x.deregister() {
				failed <- fmt.Errorf("worker %s got no acknowledgement", x.id)
			}
			time.Sleep(drain + 500*time.Millisecond)
			x.end()
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return fmt.Errorf("%w: %w", errSetup, err)
	default:
	}
	w.rec.log("setup: %d workers have come and gone", count)
	return nil
}

// bookings sends non-idempotent requests, a number a second, until stop is closed. The function that
// it returns waits for the answers.
func (w *world) bookings(stop <-chan struct{}, perSecond int) func() []answer {
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() {
				a := w.clients.send(http.MethodPost, "/book/x", "{}", 2*time.Second, nil)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	return func() []answer { wg.Wait(); return answers }
}

// judgeDrain returns the requests that reached the worker later than drain after it had left.
func (w *world) judgeDrain(x *worker, left time.Time, answers []answer) ([]string, error) {
	var breaks []string
	ok, lost := 0, 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			ok++
		}
		for _, r := range w.runs.of(a.id) {
			if r.worker == x.id && r.at.After(left.Add(drain)) {
				if a.status != http.StatusOK {
					lost++
				}
				breaks = append(breaks, fmt.Sprintf("%s reached worker %s %v after it had left; answered %d %v", a.id, x.id, r.at.Sub(left).Round(time.Millisecond), a.status, a.err))
			}
		}
	}
	w.rec.log("check: %d of %d requests were served; %d reached the worker too late, of which %d ran and got no answer", ok, len(answers), len(breaks), lost)
	if ok < len(answers)*9/10 {
		return nil, fmt.Errorf("%w: only %d of %d requests were served", errSetup, ok, len(answers))
	}
	return breaks, nil
}
