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
	// prefixParts is the number of parts of a prompt that a client states; a head of 16,384 bytes has
	// room for them. Each has one token, and the prompt fewer tokens than the engine's memory.
	prefixParts = 1300
	prefixRate  = 180
	prefixTime  = 60 * time.Second
)

// prefixCase: a client states prompts of very many short parts.
func prefixCase(rec *recorder, trouble bool) ([]string, error) {
	w, err := startWorld(rec, map[string]int{"core": 3, "store": 3, "front": 8}, false)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	stores := w.class("store")
	peaks := make([]int64, len(stores))
	for i, m := range stores {
		go m.enforceMemory(storeMemory, &peaks[i], stop)
	}
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / prefixRate)
	for begin := time.Now(); time.Since(begin) < prefixTime && !faulty(stores); <-tick.C {
		n := sent.Add(1)
		wg.Go(func() {
			headers := turnHeaders(fmt.Sprintf("p-%d", n), "", 30*time.Second)
			if trouble {
				headers["X-Prompt-Prefix"], headers["X-Token-Usage"] = parts(n), fmt.Sprintf("%d,77", prefixParts)
			}
			if a := w.clients.send(http.MethodPost, "/chat/x", "input\n", 3*time.Second, headers); a.complete() {
				served.Add(1)
			}
		})
	}
	tick.Stop()
	wg.Wait()
	close(stop)
	rec.log("check: %d of %d turns were served", served.Load(), sent.Load())
	return judgeEnds(rec, stores, peaks), nil
}

// parts returns the parts of the n-th prompt, each with one token.
func parts(n int64) string {
	var b strings.Builder
	for i := range prefixParts {
		fmt.Fprintf(&b, ",%08x:1", n*prefixParts+int64(i))
	}
	return b.String()[1:]
}
