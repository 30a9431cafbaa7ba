//go:build review

package main

import (
	"sort"
	"time"
)

// Bounds of the small deployments (SYSTEM.md).
const (
	drainTime   = 3000 * time.Millisecond
	contactTime = 4000 * time.Millisecond
)

// playSilentStore makes all open connections to the store silent; new ones work. A backend
// server leaves just after: its entry is removed, and it goes on serving. A request that a
// client sends once all hosts are in touch again, and that reaches this server later than
// drainTime after the store confirmed that it is gone, breaks DRAIN.
func playSilentStore(f *fleet, rec *record, trouble bool) (bool, error) {
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
	c := startClients(f, rec, "/timi402/2f", "", 200*time.Millisecond)
	time.Sleep(8 * time.Second)
	silentAt := time.Now()
	if trouble {
		rec.say("%d connections to the store are silent from now on; new ones work", f.link.silence())
	}
	time.Sleep(200 * time.Millisecond)
	gone := f.backends[0]
	goneAt := gone.leave(f.store)
	rec.add(goneAt, "the store confirms that %s is gone; it goes on serving", gone.id)
	time.Sleep(9 * time.Second)
	attempts := c.end()

	inTouch := silentAt.Add(contactTime)
	sent := make(map[string]attempt, len(attempts))
	for _, a := range attempts {
		sent[a.id] = a
	}
	late, last := 0, time.Time{}
	list := f.arrivals.all()
	sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
	for _, x := range list {
		a := sent[x.id]
		rec.add(x.at, "request %s, sent to %s %d ms before, reaches %s", x.id, a.host, x.at.Sub(a.sentAt).Milliseconds(), x.server)
		if x.server != gone.id || !x.ran {
			continue
		}
		last = x.at
		if x.at.Sub(goneAt) > drainTime && a.sentAt.After(inTouch) {
			late++
			rec.add(x.at, "DRAIN: it is gone since %d ms, and all hosts are in touch since %d ms", x.at.Sub(goneAt).Milliseconds(), a.sentAt.Sub(inTouch).Milliseconds())
		}
	}
	ok := 0
	for _, a := range attempts {
		rec.add(a.sentAt.Add(a.took), "request %s at %s ends after %d ms: %d %q, %d bytes, error %v", a.id, a.host, a.took.Milliseconds(), a.status, a.seal, a.size, a.err)
		if a.status == 200 {
			ok++
		}
	}
	rec.say("%d of %d requests were answered with 200", ok, len(attempts))
	rec.say("the last request reached the server that is gone %d ms after the confirmation", last.Sub(goneAt).Milliseconds())
	rec.say("%d requests reached it later than %d ms after the confirmation, sent while all hosts were in touch", late, drainTime.Milliseconds())
	return late > 0, nil
}
