//go:build review

package main

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Bounds of extra arrivals of the small deployments (SYSTEM.md).
const (
	budgetRatio  = 0.2
	budgetBurst  = 58.0
	budgetWindow = 10 * time.Second
)

// playLostSeedsBudget loses the seeds as playLostSeeds does. Then five of six backend
// servers refuse 0.6 of their requests for 9 s. If the service gets more arrivals beyond the
// first of each request than the budget of all hosts allows, BUDGET is broken.
func playLostSeedsBudget(f *fleet, rec *record, trouble bool) (bool, error) {
	f.store.put("op/config", config(1, "gowu98c"))
	for n, zone := range []string{"skane-a", "skane-a", "skane-b", "skane-b", "skane-c", "skane-d"} {
		b, err := f.addBackend("i-"+string(rune('a'+n)), "gowu98c", zone)
		if err != nil {
			return false, err
		}
		b.register(f.store)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	rec.say("all hosts are ready")
	time.Sleep(8 * time.Second)
	if trouble {
		if err := f.replaceSeeds(rec); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	c := startClients(f, rec, "/timi402/2f", "", 400*time.Millisecond)
	time.Sleep(11 * time.Second)
	for _, b := range f.backends[:5] {
		b.refusing.Store(true)
	}
	rec.say("five of six servers refuse 0.6 of their requests for 9 s")
	time.Sleep(9 * time.Second)
	for _, b := range f.backends {
		b.refusing.Store(false)
	}
	time.Sleep(2 * time.Second)
	attempts := c.end()
	statuses := make(map[int]int)
	for _, a := range attempts {
		statuses[a.status]++
		rec.add(a.sentAt, "request %s is sent to %s and ends after %d ms: %d", a.id, a.host, a.took.Milliseconds(), a.status)
	}
	rec.say("answers by status: %v", statuses)
	return isOverBudget(f, rec, attempts), nil
}

// isOverBudget judges each window that ends with an arrival. The requests are counted in that
// window, the one before it or the one half a window before it, whichever has most.
func isOverBudget(f *fleet, rec *record, attempts []attempt) bool {
	list := f.arrivals.all()
	sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
	seen := make(map[string]bool)
	var extra []time.Time
	for _, x := range list {
		rec.add(x.at, "request %s reaches %s, runs: %v", x.id, x.server, x.ran)
		if seen[x.id] {
			extra = append(extra, x.at)
		}
		seen[x.id] = true
	}
	sentIn := func(end time.Time) int {
		n := 0
		for _, a := range attempts {
			if !a.sentAt.After(end) && end.Sub(a.sentAt) < budgetWindow {
				n++
			}
		}
		return n
	}
	worst, broken := 0, false
	for i, end := range extra {
		n := 0
		for j := i; j >= 0 && end.Sub(extra[j]) < budgetWindow; j-- {
			n++
		}
		requests := max(sentIn(end), sentIn(end.Add(-budgetWindow/2)), sentIn(end.Add(-budgetWindow)))
		allowed := budgetRatio*float64(requests) + budgetBurst
		broken = broken || float64(n) > allowed
		if n > worst {
			worst = n
			rec.add(end, "%d extra arrivals in the window, %.1f allowed (%d requests)", n, allowed, requests)
		}
	}
	rec.say("at most %d extra arrivals in %s", worst, budgetWindow)
	return broken
}

// isRefused reports whether a server that refuses part of its requests refuses this one.
func isRefused() bool { return rand.Float64() < 0.6 }
