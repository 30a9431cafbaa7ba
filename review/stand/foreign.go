//go:build review

package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case: requests before the foreign entry, and after it.
const (
	foreignBefore = 4 * time.Second
	foreignAfter  = 20 * time.Second
)

func init() { cases["foreign"] = runForeign }

// runForeign puts an entry of another writer among the registrations, whose fields have
// other names than those of the platform: they differ in the case of the letters. The
// address in it is that of a web server that knows none of the paths.
func runForeign(d *deployment, trouble bool) (bool, error) {
	for zone := 1; zone <= 2; zone++ {
		for range 2 {
			if _, err := d.addServer("invoices", zone, 6, 160*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	for _, s := range d.servers {
		d.store.apply(write{s.key(), s.registration("ready", 1)})
	}
	d.store.apply(write{"op/config", configuration(1, []map[string]any{
		singleRoute("pay", "invoices", "non_idempotent", 600*time.Millisecond, 6*time.Second),
	}, []string{"invoices"}, 110)})
	d.addHost(1, 1)
	d.addHost(2, 1)
	if err := d.startAll(); err != nil {
		return false, err
	}
	address := d.address("127.61.200.1", offsetServer)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false, err
	}
	var got atomic.Int64
	web := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		d.note("web server: got %s of request %s", r.Method, r.Header.Get("Attempt-Id"))
		http.NotFound(w, r)
	})}
	go func() { _ = web.Serve(listener) }()
	defer func() { _ = web.Close() }()
	time.Sleep(4 * time.Second)

	if trouble {
		timer := time.AfterFunc(foreignBefore, func() {
			d.store.apply(write{"servers/batch-7", map[string]any{
				"service": "invoices", "addr": address, "zone": "zone-a", "version": "0.9", "slots": 6, "state": "ready", "coldleftms": 0, "seq": 1,
			}})
			d.note("another writer put the entry servers/batch-7")
		})
		defer timer.Stop()
	}
	var answered statuses
	var mu sync.Mutex
	total, denied := 0, 0
	var senders sync.WaitGroup
	stop := time.Now().Add(foreignBefore + foreignAfter)
	for _, h := range d.hosts {
		c := d.newClient(h)
		senders.Go(func() {
			every(100*time.Millisecond, stop, func() {
				a := c.send(http.MethodPost, "/pay/2f", "amount=1", 6*time.Second)
				answered.add(a.status)
				if a.status == http.StatusNotFound {
					d.note("payment %s ended with a 404, Server-Seal %q", a.id, a.header.Get("Server-Seal"))
				}
				mu.Lock()
				defer mu.Unlock()
				total++
				if a.status == http.StatusNotFound {
					denied++
				}
			})
		})
	}
	senders.Wait()
	allowed := 5 + total/500
	d.note("payments by status: %s; at the web server: %d; ended with a 404: %d, allowed %d", &answered, got.Load(), denied, allowed)
	return denied > allowed, nil
}
