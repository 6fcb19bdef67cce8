package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// loadTime is how long turns are sent before the first disk is lost, leaverRate the number of turns
	// a second whose clients leave, and stayerRate that of the others.
	loadTime   = 18 * time.Second
	leaverRate = 30
	stayerRate = 30
	// leaveAfter is when they leave: half the objective of the route.
	leaveAfter = 125 * time.Millisecond
)

// leaversCase: some clients leave in the middle of their streams. Then two store machines lose their
// disks, one long after the other.
func leaversCase(rec *recorder, trouble bool) ([]string, error) {
	w, err := startWorld(rec, map[string]int{"core": 3, "store": 3, "front": 3}, true)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if trouble && os.Getenv("LEAVERS") != "0" {
		wg.Go(func() { w.sendLeavers(stop) })
	}
	chats := w.startChats("before", loadTime, time.Second/stayerRate)
	close(stop)
	wg.Wait()
	rec.log("setup: %d first turns were answered whole", len(chats))
	losses := trouble && os.Getenv("LOSSES") != "0"
	for _, name := range []string{"store-2", "store-3"} {
		m := w.machine(name)
		if losses {
			rec.log("platform: %s loses its disk", m.name)
			m.kill()
			m.wipe()
		}
		time.Sleep(wipeDown)
		if losses {
			rec.log("platform: starts %s with an empty disk", m.name)
			if err := m.start(); err != nil {
				return nil, err
			}
		}
		time.Sleep(catchUp + time.Second)
	}
	time.Sleep(contact)
	return w.judge(chats)
}

// sendLeavers sends turns whose clients close their channel, until stop is closed.
func (w *world) sendLeavers(stop <-chan struct{}) {
	tick := time.NewTicker(time.Second / leaverRate)
	defer tick.Stop()
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-tick.C:
		}
		wg.Go(func() { w.leave(fmt.Sprintf("leaver-%d", n)) })
	}
}

// leave sends a turn and closes the channel after leaveAfter.
func (w *world) leave(program string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	addresses := w.clients.resolve()
	if len(addresses) == 0 {
		return
	}
	id := w.clients.newID()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addresses[int(w.clients.last.Load())%len(addresses)]+"/chat/x", strings.NewReader("input of "+program+"\n"))
	if err != nil {
		return
	}
	r.Host = host
	for name, value := range turnHeaders(program, "", 60*time.Second) {
		r.Header.Set(name, value)
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline", "3000")
	r.Header.Set("Authorization", "Bearer "+key)
	w.rec.log("client: sends %s POST /chat/x of %s and will leave after %v", id, program, leaveAfter)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err == nil {
		<-ctx.Done()
		response.Body.Close()
	}
	w.rec.log("client: %s of %s has left", id, program)
}
