//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the pages, and the slack for the way of a request that was sent in time.
const (
	drainTime  = 3 * time.Second
	arriveTime = 250 * time.Millisecond
)

// Times of the case, from the removal of the entry.
const (
	// The store cuts the watches that wait from cutsFrom to cutsUntil, one time in
	// cutInterval. The standard HTTP client repeats a request whose connection was in use
	// before, so that a host notices every second cut.
	cutsFrom    = -1200 * time.Millisecond
	cutsUntil   = 1900 * time.Millisecond
	cutInterval = 600 * time.Millisecond
	// leaveAt is when the server that left exits.
	leaveAt = 14 * time.Second
)

func init() { cases["leaving"] = runLeaving }

// runLeaving removes the entry of one server, as that of a server that never reports that
// it drains, while the store cuts the watches that wait a few times.
func runLeaving(d *deployment, trouble bool) (bool, error) {
	var services []string
	for i := range 20 {
		services = append(services, fmt.Sprintf("shard-%02d", i+1))
	}
	for zone := 1; zone <= 2; zone++ {
		for _, s := range services {
			if _, err := d.addServer(s, zone, 2, 5*time.Millisecond); err != nil {
				return false, err
			}
		}
		if _, err := d.addServer("invoices", zone, 6, 160*time.Millisecond); err != nil {
			return false, err
		}
	}
	for _, s := range d.servers {
		d.store.apply(write{s.key(), s.registration("ready", 1)})
	}
	d.store.apply(write{"op/config", configuration(1, []map[string]any{
		gatherRoute("search", services, 5, 0.75, 150*time.Millisecond, 1500*time.Millisecond),
		singleRoute("pay", "invoices", "non_idempotent", 600*time.Millisecond, 6*time.Second),
	}, append([]string{"invoices"}, services...), 26)})
	d.addHost(1, 1)
	d.addHost(2, 1)
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	var leaving *server
	for _, s := range d.servers {
		if s.zone == "zone-a" && s.service == "invoices" {
			leaving = s
		}
	}
	stop := time.Now().Add(2*time.Second - cutsFrom + leaveAt + time.Second)
	var searches, payments statuses
	done := make(chan struct{}, 2)
	c := d.newClient(d.hosts[0])
	go func() {
		every(50*time.Millisecond, stop, func() { searches.add(c.send(http.MethodGet, "/search/2f", "", 1500*time.Millisecond).status) })
		done <- struct{}{}
	}()
	go func() {
		every(100*time.Millisecond, stop, func() {
			payments.add(c.send(http.MethodPost, "/pay/2f", "amount=1", 6*time.Second).status)
		})
		done <- struct{}{}
	}()
	time.Sleep(2 * time.Second)
	removeAt := time.Now().Add(-cutsFrom)
	var cuts sync.WaitGroup
	if trouble {
		cuts.Go(func() {
			for at := cutsFrom; at < cutsUntil; at += cutInterval {
				time.Sleep(time.Until(removeAt.Add(at)))
				d.store.cutWatches()
				d.note("the store cut the watches that wait")
			}
		})
	}
	time.Sleep(time.Until(removeAt))
	confirmed := d.store.apply(write{leaving.key(), nil})
	d.note("the store confirmed that the entry of %s (%s in %s) is gone", leaving.id, leaving.service, leaving.zone)
	cuts.Wait()
	time.Sleep(time.Until(confirmed.Add(leaveAt)))
	leaving.close()
	d.note("the server that left has exited")
	<-done
	<-done

	var last time.Time
	count, late := 0, 0
	for _, x := range leaving.seen() {
		last = x.at
		if x.at.After(confirmed) {
			count++
		}
		if x.at.After(confirmed.Add(drainTime + arriveTime)) {
			late++
		}
	}
	d.note("server %s: %d requests after its entry was gone, the last %.2f s after; %d later than DrainMs", leaving.id, count, last.Sub(confirmed).Seconds(), late)
	d.note("searches by status: %s; payments by status: %s; requests later than DrainMs: %d", &searches, &payments, late)
	return late > 0, nil
}
