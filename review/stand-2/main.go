//go:build review

// Command stand-2 plays the scripted cases of the second review: it starts the project's own
// program as separate processes on loopback addresses, with stand-ins for the platform's
// store, the backend servers and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) add(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the output.
func (r *record) say(format string, args ...any) {
	r.add(time.Now(), format, args...)
	fmt.Printf(format+"\n", args...)
}

// scenario plays a case. It returns whether the rule was broken.
type scenario func(f *fleet, rec *record, trouble bool) (bool, error)

var scenarios = map[string]scenario{
	"removed-owners":    playRemovedOwners,
	"silent-store":      playSilentStore,
	"lost-seeds":        playLostSeeds,
	"lost-seeds-budget": playLostSeedsBudget,
	"unframed-kill":     playUnframedKill,
}

// longest is how long a case may take.
const longest = 110 * time.Second

func main() {
	// The hosts are killed when the thread ends that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 SCENARIO RECORD, in the repository")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = rec.file.Close() }()
	dir, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		rec.say("no temporary folder: %v", err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", filepath.Base(dir))
	}
	f, err := newFleet(dir)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitFailed
	}
	defer f.end()
	time.AfterFunc(longest, func() {
		rec.say("the case could not run: it takes longer than %s", longest)
		f.end()
		os.Exit(exitFailed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := scenarios[os.Args[1]](f, rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
