//go:build review

package main

import (
	"fmt"
	"sort"
	"syscall"
	"time"
)

// The caps of the accounts of playRemovedOwners.
const (
	ownersAccounts = 8
	ownersRate     = 18.0
	ownersBurst    = 36.0
	ownersAllowed  = (ownersRate*5+ownersBurst)*(1+capExcess) + capSlack
)

// forgetTime is the time after its last heartbeat after which a host that has stopped is
// forgotten by the others (package gossip).
const forgetTime = 10 * time.Second

// playRemovedOwners removes three machines of different zones with SIGTERM. About the time
// when the others forget them, the accounts begin to send more than their caps. If more
// requests of an account run in a window than its cap allows, QUOTA is broken.
func playRemovedOwners(f *fleet, rec *record, trouble bool) (bool, error) {
	c := config(1, "gowu98c")
	var tenants []any
	var secrets []string
	for n := range ownersAccounts {
		secrets = append(secrets, fmt.Sprintf("k-%d-4f1c2a", n))
		tenants = append(tenants, map[string]any{"Name": fmt.Sprintf("konto%d", n), "ApiKeys": []string{secrets[n]}, "RatePerS": ownersRate, "Burst": ownersBurst})
	}
	c["Tenants"] = tenants
	f.store.put("op/config", c)
	for n, zone := range []string{"skane-a", "skane-a", "skane-b", "skane-b", "skane-c", "skane-d"} {
		b, err := f.addBackend("i-"+string(rune('a'+n)), "gowu98c", zone)
		if err != nil {
			return false, err
		}
		b.register(f.store)
	}
	f.caps = capSettings()
	if err := f.start(); err != nil {
		return false, err
	}
	rec.say("all hosts are ready")
	time.Sleep(8 * time.Second)
	if trouble {
		f.removeOwners(rec)
	}
	time.Sleep(forgetTime - 1500*time.Millisecond)
	var lists []*clients
	for _, s := range secrets {
		lists = append(lists, startClients(f, rec, "/timi402/2f", s, 50*time.Millisecond))
	}
	time.Sleep(8 * time.Second)
	sent := make(map[string]attempt)
	statuses := make(map[int]int)
	for _, l := range lists {
		for _, a := range l.end() {
			sent[a.id] = a
			statuses[a.status]++
			rec.add(a.sentAt, "request %s is sent to %s and ends after %d ms: %d", a.id, a.host, a.took.Milliseconds(), a.status)
		}
	}
	rec.say("answers by status: %v", statuses)
	most := 0
	for account, runs := range runsByAccount(f, rec) {
		count, at := busiestWindow(runs, sent)
		rec.say("%s: in the window up to %.3f s, %d requests were sent and ran; %.0f may", account, at.Sub(rec.start).Seconds(), count, ownersAllowed)
		most = max(most, count)
	}
	return float64(most) > ownersAllowed, nil
}

// removeOwners removes a machine of each of three zones. They are not started again.
func (f *fleet) removeOwners(rec *record) {
	removed := []*host{f.hosts[3], f.hosts[5], f.hosts[7]}
	for _, h := range removed {
		rec.say("machine %s gets SIGTERM and is not started again", h.name)
		h.signal(syscall.SIGTERM)
	}
	var left []*host
	for n, h := range f.hosts {
		if n != 3 && n != 5 && n != 7 {
			left = append(left, h)
		}
	}
	for _, h := range removed {
		<-h.exited
	}
	rec.say("they have ended")
	f.hosts = left
}

// runsByAccount returns the requests that ran, by account, in the order of their arrival.
// A request that ran more than once counts once.
func runsByAccount(f *fleet, rec *record) map[string][]arrival {
	runs := make(map[string][]arrival)
	seen := make(map[string]bool)
	for _, x := range f.arrivals.all() {
		if x.ran && !seen[x.id] {
			seen[x.id] = true
			runs[x.tenant] = append(runs[x.tenant], x)
			rec.add(x.at, "request %s runs at %s, for %q", x.id, x.server, x.tenant)
		}
	}
	for _, list := range runs {
		sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
	}
	return runs
}

// busiestWindow returns the greatest number of requests that were sent and ran in a window,
// and the end of that window.
func busiestWindow(runs []arrival, sent map[string]attempt) (int, time.Time) {
	most, at := 0, time.Time{}
	for i := range runs {
		end, count := runs[i].at, 0
		for j := i; j >= 0 && end.Sub(runs[j].at) <= capWindow; j-- {
			if end.Sub(sent[runs[j].id].sentAt) <= capWindow {
				count++
			}
		}
		if count > most {
			most, at = count, end
		}
	}
	return most, at
}
