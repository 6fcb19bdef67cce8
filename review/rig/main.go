// Command rig runs one case of the review: it starts a small deployment of hemlockvaled on
// loopback addresses, plays clients, servers and the platform, and checks one rule.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// scenario runs a case with or without its disruption. It returns whether the rule held.
type scenario func(r *run) (held bool, err error)

var scenarios = map[string]scenario{}

// run is one run of a case.
type run struct {
	// trouble is set if the disruption is to be played.
	trouble bool
	// root is the root of the repository, tmp a temporary directory.
	root, tmp string
	record    *record
	// cluster is the deployment that was started, if any.
	cluster atomic.Pointer[cluster]
}

// runTimeout bounds one run.
const runTimeout = 110 * time.Second

// abortOnSignal ends the processes of the run if it is interrupted or takes too long.
func (r *run) abortOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(runTimeout):
		}
		if c := r.cluster.Load(); c != nil {
			c.stop()
		}
		os.RemoveAll(r.tmp)
		os.Exit(2)
	}()
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// log writes one line with the time since the start of the run.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	status, err := mainStatus()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
	}
	os.Exit(status)
}

func mainStatus() (int, error) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		return 2, errors.New("usage: rig CASE DIRECTORY")
	}
	dir, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2, err
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer file.Close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Fprintln(os.Stderr, "kept:", tmp)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", root: filepath.Join(dir, "..", ".."), tmp: tmp, record: &record{file: file, start: time.Now()}}
	r.abortOnSignal()
	held, err := scenarios[os.Args[1]](r)
	switch {
	case err != nil:
		r.record.log("could not run: %v", err)
		return 2, err
	case held:
		r.record.log("the rule held")
		return 0, nil
	}
	r.record.log("the rule was broken")
	return 1, nil
}
