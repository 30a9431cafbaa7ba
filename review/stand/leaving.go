//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the pages, and the slack for the way of a request that was sent in time.
const (
	drainTime  = 3 * time.Second
	arriveTime = 250 * time.Millisecond
)

// Times of the case, from the removal of the entries.
const (
	// firstCutAt and secondCutAt are when the store cuts the watches that wait. The
	// standard HTTP client repeats a request whose connection was in use before, so that
	// the host does not notice the first cut.
	firstCutAt  = 800 * time.Millisecond
	secondCutAt = 1400 * time.Millisecond
	// leaveAt is when the servers that left exit.
	leaveAt = 14 * time.Second
)

func init() { cases["leaving"] = runLeaving }

// runLeaving removes the entries of four servers at once, as those of servers that never
// report that they drain, and cuts the watches that wait at the store twice.
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

	// Three shards and the invoices of zone-a.
	var leaving []*server
	for _, s := range d.servers {
		if s.zone == "zone-a" && (s.service == "shard-01" || s.service == "shard-02" || s.service == "shard-03" || s.service == "invoices") {
			leaving = append(leaving, s)
		}
	}
	stop := time.Now().Add(2*time.Second + leaveAt + time.Second)
	var searches, payments statuses
	done := make(chan struct{}, 2)
	c := d.newClient(d.hosts[0])
	go func() {
		every(50*time.Millisecond, stop, func() { searches.add(c.send(http.MethodGet, "/search/2f", "", 1500*time.Millisecond).status) })
		done <- struct{}{}
	}()
	go func() {
		every(100*time.Millisecond, stop, func() {
			a := c.send(http.MethodPost, "/pay/2f", "amount=1", 6*time.Second)
			payments.add(a.status)
			if a.status != http.StatusOK {
				d.note("client: payment %s answered %d after %s", a.id, a.status, time.Since(a.sent).Round(time.Millisecond))
			}
		})
		done <- struct{}{}
	}()
	time.Sleep(2 * time.Second)
	var removals []write
	for _, s := range leaving {
		removals = append(removals, write{s.key(), nil})
	}
	confirmed := d.store.apply(removals...)
	for _, s := range leaving {
		d.note("the store confirmed that the entry of %s (%s in %s) is gone", s.id, s.service, s.zone)
	}
	if trouble {
		for _, after := range []time.Duration{firstCutAt, secondCutAt} {
			time.Sleep(time.Until(confirmed.Add(after)))
			d.store.cutWatches()
			d.note("the store cut the watches that wait")
		}
	}
	time.Sleep(time.Until(confirmed.Add(leaveAt)))
	for _, s := range leaving {
		s.close()
	}
	d.note("the servers that left have exited")
	<-done
	<-done

	late := 0
	for _, s := range leaving {
		var last time.Time
		count, after := 0, 0
		for _, x := range s.seen() {
			last = x.at
			if x.at.After(confirmed) {
				count++
			}
			if x.at.After(confirmed.Add(drainTime + arriveTime)) {
				after++
			}
		}
		late += after
		d.note("server %s (%s in %s): %d requests after its entry was gone, the last %.2f s after; %d later than DrainMs", s.id, s.service, s.zone, count, last.Sub(confirmed).Seconds(), after)
	}
	d.note("searches by status: %s; payments by status: %s; requests later than DrainMs: %d", &searches, &payments, late)
	return late > 0, nil
}
