// Program rig3 runs the scripts of the review: it starts the project's programs on loopback
// addresses, with stand-ins for clients, workers and the platform in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// cases holds the scripts by the number of their folder. They return 0 if the rule held, 1 if it
// was broken and 2 if the case could not run.
var cases = map[string]func(rec *recorder, root string, trouble bool) int{
	"11": caseVoters,
	"12": caseRetire,
	"13": caseName,
	"14": caseAddress,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		rec.say("cannot run: interrupted, or not at its end in time")
		if d := current.Load(); d != nil {
			d.close()
		}
		os.Exit(2)
	}()
	os.Exit(cases[os.Args[1]](rec, root, os.Getenv("TROUBLE") != "0"))
}

// timeLimit bounds a run.
const timeLimit = 115 * time.Second

// current is the deployment whose processes are ended when the run is interrupted.
var current atomic.Pointer[deployment]
