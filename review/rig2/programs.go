package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// programBytes is the length of the program's name that a client states; the manifest allows heads
	// of 16,384 bytes. ordinaryProgram is that without the disruption.
	programBytes    = 14_000
	ordinaryProgram = 16
	// programRate is the number of turns a second that one tenant sends. Its allowance is rate_per_s.
	programRate = 180
	// programTime is how long it does so, at most.
	programTime = 60 * time.Second
	// calm is the time after it in which ordinary clients ask.
	calm = 15 * time.Second
)

// programsCase: a client names each of its programs with a long text.
func programsCase(rec *recorder, trouble bool) ([]string, error) {
	w, err := startWorld(rec, map[string]int{"core": 3, "store": 3, "front": 8}, false)
	if err != nil {
		return nil, err
	}
	length := ordinaryProgram
	if trouble {
		length = programBytes
	}
	stop := make(chan struct{})
	stores := w.class("store")
	peaks := make([]int64, len(stores))
	for i, m := range stores {
		go m.enforceMemory(storeMemory, &peaks[i], stop)
	}
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / programRate)
	for begin := time.Now(); time.Since(begin) < programTime && !faulty(stores); <-tick.C {
		n := sent.Add(1)
		wg.Go(func() {
			if a := w.turn(fmt.Sprintf("%08x%s", n, strings.Repeat("p", length-8)), "", 30*time.Second); a.complete() {
				served.Add(1)
			}
		})
	}
	tick.Stop()
	wg.Wait()
	rec.log("check: %d of %d turns were served", served.Load(), sent.Load())
	answered, asked := 0, 0
	for begin := time.Now(); time.Since(begin) < calm; time.Sleep(500 * time.Millisecond) {
		asked++
		if a := w.clients.send(http.MethodPost, "/book/x", "{}", 2*time.Second, nil); a.status == http.StatusOK {
			answered++
		}
	}
	close(stop)
	rec.log("check: in the %v after it, %d of %d ordinary requests were served", calm, answered, asked)
	return judgeEnds(rec, stores, peaks), nil
}

// faulty reports whether processes have ended by themselves as often as the rule says.
func faulty(stores []*machine) bool {
	machines := 0
	for _, m := range stores {
		if m.endsSoFar() >= faultEnds {
			machines++
		}
	}
	return machines >= faultMachines
}

func (m *machine) endsSoFar() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// judgeEnds returns the machines whose processes ended by themselves too often, if they are enough.
func judgeEnds(rec *recorder, stores []*machine, peaks []int64) []string {
	var breaks []string
	for i, m := range stores {
		ends := m.endsSoFar()
		rec.log("check: %s had at most %d MiB of %d MiB; its process ended %d times", m.name, peaks[i]>>20, storeMemory>>20, ends)
		if ends >= faultEnds {
			breaks = append(breaks, fmt.Sprintf("the process of %s ended %d times, over its memory of %d MiB", m.name, ends, storeMemory>>20))
		}
	}
	if len(breaks) < faultMachines {
		return nil
	}
	return breaks
}
