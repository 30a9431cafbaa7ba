//go:build review

// Stand-3 plays the cases of the third review: it starts entry hosts as processes, with
// stand-ins of the platform's store, the backend servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	cases := map[string]func(*record, bool) int{"crowd": crowd, "kept": kept}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		os.Exit(exitFailed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	code := cases[os.Args[1]](r, trouble)
	r.printf("exit %d", code)
	r.close()
	os.Exit(code)
}

// deployment is a small installation of entry hosts.
type deployment struct {
	store *store
	hosts []*host
	dir   string
}

// newDeployment writes the settings of hosts, two in each of the zones, without starting
// them.
func newDeployment(zones []string, m settings) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	if d.store, err = newStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	var ips []string
	for z := range zones {
		for n := range 2 {
			ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 10+z, 1+n))
		}
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i, ip := range ips {
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i/2], 1+i%2), ip: ip, zone: zones[i/2], dir: d.dir, ports: p}
		d.hosts = append(d.hosts, h)
		if i%2 == 0 && len(seeds) < 3 {
			seeds = append(seeds, h.address(p.peer))
		}
	}
	// The processes end with this one.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		d.close()
		os.Exit(exitFailed)
	}()
	for _, h := range d.hosts {
		if err := h.configure(d.store.addr, seeds, m); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// start starts all hosts and waits until they are ready.
func (d *deployment) start() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	if !awaitReady(d.hosts, 20*time.Second) {
		return fmt.Errorf("hosts not ready")
	}
	return nil
}

// close ends all processes and removes the folder. KEEP=1 keeps it.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") != "1" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Fprintln(os.Stderr, filepath.Clean(d.dir))
}
