//go:build review

// Command stand runs the cases of the review. It starts the entry hosts as separate
// processes and simulates the platform's store, the backend servers and the clients in
// its own process. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 118 * time.Second

// cases holds the cases by name. Each registers itself. The argument says whether the
// disruption takes place.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "case to run")
	binary := flag.String("host", "target/hyssophub", "program of the entry hosts")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitUnable)
	}
	os.Exit(execute(run, *binary, *record, *trouble))
}

func execute(run func(*deployment, bool) (bool, error), binary, record string, trouble bool) int {
	d, err := newDeployment(binary, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitUnable
	}
	defer d.close()
	limit := time.AfterFunc(caseLimit, func() {
		d.note("case did not end in time")
		d.close()
		os.Exit(exitUnable)
	})
	defer limit.Stop()
	// A case that is ended from outside ends its processes first.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		d.note("case was ended by a signal")
		d.close()
		os.Exit(exitUnable)
	}()
	broken, err := run(d, trouble)
	switch {
	case err != nil:
		d.note("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitUnable
	case broken:
		d.note("result: rule broken")
		return exitBroken
	default:
		d.note("result: rule held")
		return exitHeld
	}
}
