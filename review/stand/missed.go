//go:build review

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the case.
const (
	missedBefore = 3 * time.Second
	// missedAfter is how long requests are sent after the servers have reported that
	// they drain, and missedExit when these exit.
	missedAfter = 12 * time.Second
	missedExit  = 9 * time.Second
)

func init() { cases["missed"] = runMissed }

// runMissed restarts one host while two servers report one after the other that they
// drain: the first before the host reads its first page of the store, the second between
// its first and its second page.
func runMissed(d *deployment, trouble bool) (bool, error) {
	for zone := 1; zone <= 2; zone++ {
		for range 2 {
			if _, err := d.addServer("invoices", zone, 6, 160*time.Millisecond); err != nil {
				return false, err
			}
		}
		for range 6 {
			if _, err := d.addServer("other", zone, 6, 20*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	for _, s := range d.servers {
		d.store.apply(write{s.key(), s.registration("ready", 1)})
	}
	routes := []map[string]any{singleRoute("pay", "invoices", "non_idempotent", 600*time.Millisecond, 6*time.Second)}
	d.store.apply(write{"op/config", configuration(1, routes, []string{"invoices", "other"}, 110)})
	for zone := 1; zone <= 2; zone++ {
		d.addHost(zone, 1)
		d.addHost(zone, 2)
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)

	// first is a server that no request uses, last one that the
	// hosts of zone-b use.
	var first, last *server
	for _, s := range d.servers {
		switch {
		case s.zone == "zone-b" && s.service == "other":
			first = s
		case s.zone == "zone-b" && s.service == "invoices":
			last = s
		}
	}
	var mu sync.Mutex
	answered := make(map[string]*statuses)
	stop := time.Now().Add(missedBefore + missedAfter)
	var clients sync.WaitGroup
	for _, h := range d.hosts[1:] {
		c := d.newClient(h)
		counts := &statuses{}
		answered[h.name] = counts
		clients.Go(func() {
			every(50*time.Millisecond, stop, func() {
				counts.add(c.send(http.MethodPost, "/pay/2f", "amount=1", 6*time.Second).status)
			})
		})
	}
	time.Sleep(missedBefore)
	var confirmed time.Time
	reportFirst := func() {
		d.store.apply(write{first.key(), first.registration("draining", 2)})
		d.note("the store confirmed that %s (%s) drains", first.id, first.service)
	}
	reportLast := func() {
		at := d.store.apply(write{last.key(), last.registration("draining", 2)})
		mu.Lock()
		confirmed = at
		mu.Unlock()
		d.note("the store confirmed that %s (%s) drains", last.id, last.service)
	}
	if trouble {
		restarted := d.hosts[0]
		restarted.signal(syscall.SIGKILL)
		<-restarted.exited
		d.note("host %s was killed", restarted.name)
		time.Sleep(time.Second)
		var once, twice sync.Once
		d.store.setOnRange(func(prefix string, before bool) {
			switch {
			case prefix == "op/" && before:
				once.Do(reportFirst)
			case prefix == "servers/" && before:
				twice.Do(reportLast)
			}
		})
		if err := restarted.start(); err != nil {
			return false, err
		}
		d.note("host %s starts again", restarted.name)
	} else {
		time.Sleep(time.Second)
		reportFirst()
		time.Sleep(2 * storeDelay)
		reportLast()
	}
	time.Sleep(5 * time.Second)
	d.store.apply(write{"op/config", configuration(2, routes, []string{"invoices", "other"}, 110)})
	d.note("the store confirmed version 2 of the configuration")
	time.Sleep(time.Until(confirmed.Add(missedExit)))
	first.close()
	last.close()
	d.note("the servers that drained have exited")
	clients.Wait()

	late := 0
	var latest time.Time
	for _, x := range last.seen() {
		if x.at.After(confirmed.Add(drainTime + arriveTime)) {
			late++
			latest = x.at
		}
	}
	for name, counts := range answered {
		d.note("answers of host %s by status: %s", name, counts)
	}
	d.note("server %s: %d requests later than DrainMs after the store confirmed that it drains", last.id, late)
	if late > 0 {
		d.note("the last one came %.2f s after it", latest.Sub(confirmed).Seconds())
	}
	return late > 0, nil
}
