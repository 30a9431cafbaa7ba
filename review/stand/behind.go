//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Doses of the site: big_config adds 400 routes, and config_storm changes the
// configuration each stormGap for stormTime. The case has as many routes as 15 of the
// former add, and plays two of the latter at once.
const (
	behindRoutes = 15 * 400
	behindStorms = 2
	stormGap     = 330 * time.Millisecond
	stormTime    = 4 * time.Second
)

// behindHistory is HistoryS of the store.
const behindHistory = 20 * time.Second

// Times of the case, from the beginning of the storms.
const (
	behindReport = stormTime + time.Second
	// behindExit is when the server exits, counted from its report.
	behindExit = 9 * time.Second
	behindEnd  = behindReport + behindExit + 3*time.Second
)

func init() { cases["behind"] = runBehind }

// runBehind changes a large configuration in quick succession. Then, while nothing else
// happens, one server reports that it drains, serves on for some seconds and exits.
func runBehind(d *deployment, trouble bool) (bool, error) {
	for zone := 1; zone <= 2; zone++ {
		for range 4 {
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
	d.store.setHistory(behindHistory)
	operator := newOperator(d, behindRoutes)
	if err := operator.change(); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	begin := time.Now()
	stop := begin.Add(behindEnd)
	answered := make([]statuses, len(d.hosts))
	var clients sync.WaitGroup
	for i, h := range d.hosts {
		c := d.newClient(h)
		clients.Go(func() {
			every(50*time.Millisecond, stop, func() {
				answered[i].add(c.send(http.MethodPost, "/pay/2f", "amount=1", 6*time.Second).status)
			})
		})
	}
	if trouble {
		var running sync.WaitGroup
		errs := make([]error, behindStorms)
		for n := range behindStorms {
			running.Go(func() { errs[n] = operator.storm() })
		}
		running.Wait()
		for _, err := range errs {
			if err != nil {
				return false, err
			}
		}
		d.note("the changes of the configuration have ended")
	}
	time.Sleep(time.Until(begin.Add(behindReport)))
	leaving := d.servers[0]
	confirmed := d.store.apply(write{leaving.key(), leaving.registration("draining", 2)})
	d.note("the store confirmed that %s drains", leaving.id)
	time.Sleep(time.Until(confirmed.Add(behindExit)))
	leaving.close()
	d.note("the server that drained has exited")
	clients.Wait()

	late := 0
	var latest time.Time
	for _, x := range leaving.seen() {
		if x.at.After(confirmed.Add(drainTime + arriveTime)) {
			late++
			latest = x.at
		}
	}
	for i, h := range d.hosts {
		d.note("answers of host %s by status: %s", h.name, &answered[i])
	}
	d.note("server %s: %d requests later than DrainMs after the store confirmed that it drains", leaving.id, late)
	if late > 0 {
		d.note("the last one came %.2f s after it", latest.Sub(confirmed).Seconds())
	}
	return late > 0, nil
}

// operator writes the configuration. Each version changes the timeout of one route.
type operator struct {
	d *deployment

	mu      sync.Mutex
	routes  []map[string]any
	version int
}

// newOperator returns an operator with a route for payments and a number of others.
func newOperator(d *deployment, routes int) *operator {
	o := &operator{d: d, routes: []map[string]any{singleRoute("pay", "invoices", "non_idempotent", 600*time.Millisecond, 6*time.Second)}}
	for n := range routes {
		o.routes = append(o.routes, singleRoute(fmt.Sprintf("r-%05d", n), "invoices", "idempotent", 600*time.Millisecond, 6*time.Second))
	}
	return o
}

// storm changes the configuration each stormGap for stormTime.
func (o *operator) storm() error {
	ticker := time.NewTicker(stormGap)
	defer ticker.Stop()
	for stop := time.Now().Add(stormTime); time.Now().Before(stop); <-ticker.C {
		if err := o.change(); err != nil {
			return err
		}
	}
	return nil
}

// valueBytes is ValueBytes of the store.
const valueBytes = 1 << 20

// change writes the next version.
func (o *operator) change() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.routes[1]["TimeoutMs"] = 6000 - o.version%2
	value, err := json.Marshal(configuration(o.version, o.routes, []string{"invoices"}, 110))
	if err != nil {
		return err
	}
	if len(value) > valueBytes {
		return fmt.Errorf("configuration has %d bytes, more than ValueBytes", len(value))
	}
	o.d.store.apply(write{"op/config", json.RawMessage(value)})
	o.d.note("the store confirmed version %d of the configuration: %d routes, %d bytes", o.version, len(o.routes), len(value))
	return nil
}
