//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// The cap of the client account, and the bounds by which it may be exceeded (SYSTEM.md and
// demands/LATER.md).
const (
	capRate   = 18.0
	capBurst  = 18.0
	capWindow = 5 * time.Second
	capExcess = 0.1
	capSlack  = 20.0
	account   = "oberoende"
	secret    = "k-4f1c2a"
)

// capAllowed is the number of requests of the account that may run in a window.
const capAllowed = (capRate*5+capBurst)*(1+capExcess) + capSlack

// capSettings returns the settings for the caps of accounts.
func capSettings() map[string]any {
	return map[string]any{"window": capWindow.Seconds(), "excess": capExcess, "slack": capSlack, "zones": []string{"skane-a", "skane-b", "skane-c", "skane-d"}}
}

func configWithCap(version int, service string) map[string]any {
	c := config(version, service)
	c["Tenants"] = []any{map[string]any{"Name": account, "ApiKeys": []string{secret}, "RatePerS": capRate, "Burst": capBurst}}
	return c
}

// playLostSeeds removes the three machines that the settings name as seeds, with SIGTERM, and
// adds another machine for each at a new address. The settings of the new machines still
// name the removed ones; later the platform writes settings that name live machines, with a
// SIGHUP. If the hosts then let more requests of an account run than its cap allows, QUOTA
// is broken.
func playLostSeeds(f *fleet, rec *record, trouble bool) (bool, error) {
	f.store.put("op/config", configWithCap(1, "gowu98c"))
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
		if err := f.replaceSeeds(rec); err != nil {
			return false, err
		}
	}
	// New hosts own no caps for the first seconds.
	time.Sleep(10 * time.Second)
	c := startClients(f, rec, "/timi402/2f", secret, 200*time.Millisecond)
	time.Sleep(20 * time.Second)
	attempts := c.end()

	sent := make(map[string]attempt, len(attempts))
	statuses := make(map[string]int)
	byHost := make(map[string]int)
	for _, a := range attempts {
		sent[a.id] = a
		statuses[fmt.Sprint(a.status)]++
		if a.status == 200 {
			byHost[a.host]++
		}
		rec.add(a.sentAt, "request %s is sent to %s and ends after %d ms: %d", a.id, a.host, a.took.Milliseconds(), a.status)
	}
	most, mostAt := busiestWindow(runsByAccount(f, rec)[account], sent)
	rec.say("answers by status: %v; 200 by host: %v", statuses, byHost)
	rec.say("in the window up to %.3f s, %d requests of the account were sent and ran; %.0f may", mostAt.Sub(rec.start).Seconds(), most, capAllowed)
	return float64(most) > capAllowed, nil
}

// seedLag is SeedLagS.
const seedLag = 3 * time.Second

// replaceSeeds removes the seeds and starts other machines in their zones.
func (f *fleet) replaceSeeds(rec *record) error {
	lost := []int{0, 3, 5}
	for _, n := range lost {
		rec.say("machine %s gets SIGTERM and is not started again", f.hosts[n].name)
		f.hosts[n].signal(syscall.SIGTERM)
	}
	for _, n := range lost {
		<-f.hosts[n].exited
	}
	time.Sleep(seedLag / 3)
	for k, n := range lost {
		old := f.hosts[n]
		h := &host{name: old.name + "-new", zone: old.zone, ip: f.spares[k], ports: old.ports, dir: f.dir, caps: f.caps}
		if err := h.start(f.link.address(), f.seeds, false); err != nil {
			return err
		}
		rec.say("machine %s is added for it, its seeds are those of before", h.name)
		f.hosts[n] = h
	}
	time.Sleep(seedLag)
	live := []string{f.hosts[1].at(f.hosts[1].ports.peer), f.hosts[4].at(f.hosts[4].ports.peer), f.hosts[6].at(f.hosts[6].ports.peer)}
	for _, n := range lost {
		if err := f.hosts[n].configure(f.link.address(), live, false); err != nil {
			return err
		}
		f.hosts[n].signal(syscall.SIGHUP)
		rec.say("the settings of %s name live seeds from now on (SIGHUP)", f.hosts[n].name)
	}
	return nil
}
