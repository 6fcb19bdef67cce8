package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRan = 2
)

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// errSetup is wrapped by errors that keep a case from running.
var errSetup = errors.New("the case could not run")

// cases holds the cases by name. A case returns what breaks the rule; none if it held.
var cases = map[string]func(rec *recorder, trouble bool) ([]string, error){
	"copies":   copiesCase,
	"latebeat": lateBeatCase,
	"memory":   memoryCase,
	"programs": programsCase,
	"prefix":   prefixCase,
	"leavers":  leaversCase,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder for record.txt")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(notRan)
	}
	rec, err := newRecorder(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRan)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		endAll()
		os.Exit(notRan)
	}()
	time.AfterFunc(timeLimit, func() {
		rec.log("result: could not run within %v", timeLimit)
		endAll()
		os.Exit(notRan)
	})
	breaks, err := run(rec, os.Getenv("TROUBLE") != "0")
	endAll()
	switch {
	case err != nil:
		rec.log("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(notRan)
	case len(breaks) > 0:
		for _, b := range breaks {
			rec.log("result: broken: %s", b)
		}
		fmt.Printf("rule broken, %d times; the first: %s\n", len(breaks), breaks[0])
		os.Exit(broken)
	}
	rec.log("result: the rule held")
	fmt.Println("rule held")
	os.Exit(held)
}
