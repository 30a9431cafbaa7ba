//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// growthTime is the time of 27 storms of the site, one after the other.
const growthTime = 27 * stormTime

// memoryLimitKB is MemoryMb of the settings of a process.
const memoryLimitKB = 284 << 10

const (
	memoryPause = 50 * time.Millisecond
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = time.Second
	// growthAfter is how long requests are sent after the last host was ended.
	growthAfter = 2 * time.Second
	// allowedLosses is the number of requests that the rule LOST allows.
	allowedLosses = 3
)

func init() { cases["growth"] = runGrowth }

// runGrowth changes one route of a large configuration again and again. As the platform
// does, it ends a host that takes more memory than its settings allow. The case ends
// after all hosts were ended once.
func runGrowth(d *deployment, trouble bool) (bool, error) {
	for zone := 1; zone <= 2; zone++ {
		for range 3 {
			if _, err := d.addServer("invoices", zone, 6, 160*time.Millisecond); err != nil {
				return false, err
			}
		}
		d.addHost(zone, 1)
		d.addHost(zone, 2)
	}
	for _, s := range d.servers {
		d.store.apply(write{s.key(), s.registration("ready", 1)})
	}
	operator := newOperator(d, behindRoutes)
	if err := operator.change(); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}

	run, cancel := context.WithTimeout(context.Background(), growthTime)
	defer cancel()
	memory := &memoryWatch{d: d, most: make(map[string]int), ended: make(map[string]bool), onAllEnded: func() {
		time.AfterFunc(growthAfter, cancel)
	}}
	for _, h := range d.hosts {
		memory.watches.Go(func() { memory.watch(run, h) })
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answered statuses
	lost := 0
	for _, h := range d.hosts {
		c := d.newClient(h)
		clients.Go(func() {
			everyUntil(run, 50*time.Millisecond, func() {
				a := c.send(http.MethodPost, "/pay/2f", "amount=1", 6*time.Second)
				answered.add(a.status)
				if a.err == nil || !a.kept || !d.wasPassedOn(a.id) {
					return
				}
				d.note("request %s came on a kept connection, was passed on to a server and got no answer", a.id)
				mu.Lock()
				defer mu.Unlock()
				lost++
			})
		})
	}
	if trouble {
		storm := time.NewTicker(stormGap)
		defer storm.Stop()
		for run.Err() == nil {
			if err := operator.change(); err != nil {
				return false, err
			}
			<-storm.C
		}
	}
	clients.Wait()
	memory.watches.Wait()
	for _, h := range d.hosts {
		d.note("host %s: at most %d KB, limit %d KB", h.name, memory.most[h.name], memoryLimitKB)
	}
	d.note("versions: %d; answers by status (0: none): %s; hosts ended for their memory: %d; lost requests: %d, allowed %d", operator.version, &answered, len(memory.ended), lost, allowedLosses)
	return lost > allowedLosses, nil
}

// everyUntil calls f as every does, until ctx ends.
func everyUntil(ctx context.Context, interval time.Duration, f func()) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		calls.Go(f)
		<-ticker.C
	}
	calls.Wait()
}

// wasPassedOn reports whether a request reached a server.
func (d *deployment) wasPassedOn(id string) bool {
	for _, s := range d.servers {
		for _, a := range s.seen() {
			if a.id == id {
				return true
			}
		}
	}
	return false
}

// memoryWatch ends the hosts that take too much memory and starts them again.
type memoryWatch struct {
	d *deployment
	// onAllEnded is called when all hosts were ended once.
	onAllEnded func()
	watches    sync.WaitGroup

	mu    sync.Mutex
	most  map[string]int
	ended map[string]bool
}

// notedStep is the growth of a host's memory after which it is recorded again.
const notedStep = 10 << 10

func (m *memoryWatch) watch(ctx context.Context, h *host) {
	noted := 0
	for ; ctx.Err() == nil; time.Sleep(memoryPause) {
		kb := h.memoryKB()
		m.mu.Lock()
		m.most[h.name] = max(m.most[h.name], kb)
		m.mu.Unlock()
		if kb > noted+notedStep {
			noted = kb
			m.d.note("host %s takes %d KB", h.name, kb)
		}
		if kb <= memoryLimitKB {
			continue
		}
		m.d.note("host %s takes %d KB, more than its limit of %d KB; the platform kills it", h.name, kb, memoryLimitKB)
		h.kill()
		m.recordEnd(h)
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			m.d.note("host %s does not start again: %v", h.name, err)
			return
		}
		noted = 0
	}
}

func (m *memoryWatch) recordEnd(h *host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended[h.name] {
		return
	}
	m.ended[h.name] = true
	if len(m.ended) == len(m.d.hosts) {
		m.onAllEnded()
	}
}

// memoryKB returns the memory that the process of the host takes for itself, without
// the pages of its program file.
func (h *host) memoryKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}
