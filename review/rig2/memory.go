package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bodyBytes is the size of a request's body; the manifest allows 4,194,304.
	bodyBytes = 4_000_000
	// shortBody is the size of the bodies without the disruption: the mean on the sheet.
	shortBody = 2100
	// chainTurns is the number of turns with such bodies, and crowd the number of turns that then go on
	// from the last of them at once.
	chainTurns = 1
	crowd      = 140
	// waves is how often such a crowd comes, and wavePause the time between two of them.
	waves     = 6
	wavePause = 4 * time.Second
	// storeMemory is the memory of a store machine.
	storeMemory = 154 << 20
	// faultEnds is how often a process must end on a machine, and faultMachines on how many.
	faultEnds, faultMachines = 3, 2 // a tenth of at most 20 machines, two at least
)

// usedMemory returns the memory of the process in bytes, without the pages of files; 0 if it does not
// run.
func (m *machine) usedMemory() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	kib := int64(0)
	_, _ = fmt.Sscan(rest, &kib)
	return kib << 10
}

// enforceMemory kills a process that uses more than the memory of its machine, as the provider does,
// until stop is closed. The process is then started again.
func (m *machine) enforceMemory(limit int64, peak *int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := m.usedMemory()
		*peak = max(*peak, used)
		if used > limit {
			m.d.rec.log("platform: %s uses %d MiB of %d MiB and is killed", m.name, used>>20, limit>>20)
			m.signal(syscall.SIGKILL)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// memoryCase: a program has two turns with bodies of legal size. Then many turns with short bodies go
// on from the second one at once.
func memoryCase(rec *recorder, trouble bool) ([]string, error) {
	w, err := startWorld(rec, map[string]int{"core": 3, "store": 3, "front": 14}, true)
	if err != nil {
		return nil, err
	}
	size := shortBody
	if trouble {
		size = bodyBytes
	}
	stop := make(chan struct{})
	stores := w.class("store")
	peaks := make([]int64, len(stores))
	for i, m := range stores {
		go m.enforceMemory(storeMemory, &peaks[i], stop)
	}
	last := ""
	for n := range chainTurns {
		a := w.turnWithBody("long", last, strings.Repeat("x", size), 60*time.Second)
		if !a.complete() {
			return nil, fmt.Errorf("%w: turn %d with a long body was answered %d", errSetup, n+1, a.status)
		}
		last = a.id
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, lost := 0, 0
	for wave := range waves {
		rec.log("clients: %d turns go on from %s at once", crowd, last)
		for n := range crowd {
			wg.Go(func() {
				o := w.goOn(chat{program: fmt.Sprintf("sub-%d-%d", wave, n), turn: last})
				mu.Lock()
				defer mu.Unlock()
				if o.complete {
					served++
				}
				if o.reached == 0 && o.tries >= tries {
					lost++
				}
			})
		}
		time.Sleep(wavePause)
	}
	wg.Wait()
	close(stop)
	rec.log("check: %d of %d turns were served; %d reached no worker in %d tries or more", served, crowd*waves, lost, tries)
	return judgeEnds(rec, stores, peaks), nil
}
