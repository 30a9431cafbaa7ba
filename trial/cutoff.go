package trial

import (
	"context"
	"strconv"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/query"
)

// freshness is the bound after which a host that hears nothing from outside
// its zone sends nothing to other zones.
const freshness = 1500 * time.Millisecond

// probeInterval is the time between two queries of each tenant to each host of
// a cut off zone.
const probeInterval = 500 * time.Millisecond

// note counts a sub-request that a host of a cut off zone sends to another
// zone past the freshness bound. The cut drops it, but a cut that lasts
// shorter on one path would let it through.
func (n *Network) note(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.zones[host]
	if own != zone && n.cut[own] && time.Since(n.cutAt[own]) > freshness {
		n.crossed++
	}
}

// crossings reports the sub-requests that Network.note counted.
type crossings struct{ network *Network }

func (c *crossings) observe(Action) {}

func (c *crossings) figures() map[string]float64 {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return map[string]float64{"crossed": float64(c.network.crossed)}
}

// cutoffs sends queries to the hosts of a cut off zone, as callers inside it
// do, and checks their answers.
type cutoffs struct {
	load   *load
	fleet  *Fleet
	probes sync.WaitGroup

	mu      sync.Mutex
	healed  map[string]chan struct{}
	asked   int
	refused int
	missing int
	inexact int
}

func newCutoffs(l *load, f *Fleet) *cutoffs {
	return &cutoffs{load: l, fleet: f, healed: make(map[string]chan struct{})}
}

func (c *cutoffs) observe(action Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a := action.(type) {
	case IsolateZone:
		healed := make(chan struct{})
		c.healed[a.Zone] = healed
		c.probes.Go(func() { c.probe(a.Zone, healed) })
	case ReconnectZone:
		close(c.healed[a.Zone])
		delete(c.healed, a.Zone)
	}
}

// probe asks every host of a zone until the zone is connected again.
func (c *cutoffs) probe(zone string, healed <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-healed:
			return
		case <-ticker.C:
		}
		for i, h := range c.fleet.hosts {
			if h.Zone != zone {
				continue
			}
			for _, t := range c.load.manifest.Tenants {
				id := "probe-" + h.Name + "-" + t.Name + "-" + strconv.Itoa(n)
				c.probes.Go(func() { c.ask(i, zone, t, id) })
			}
		}
	}
}

// ask sends one query and checks that the answer covers every service with a
// server in the zone.
func (c *cutoffs) ask(host int, zone string, t config.Tenant, id string) {
	request := query.Request{
		ID: id, Tenant: t.Name, Text: "x", Limit: answerLimit, Class: t.Class,
		Deadline: time.Now().Add(c.load.script.Deadline),
	}
	local := make(map[string]bool)
	for _, s := range c.load.manifest.Services {
		if s.Tenant != t.Name {
			continue
		}
		request.Services = append(request.Services, s.Name)
		for _, server := range s.Servers {
			local[s.Name] = local[s.Name] || server.Zone == zone
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline.Add(time.Second))
	defer cancel()
	answer, err := c.fleet.cores[host].Run(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if err != nil {
		c.refused++
		return
	}
	mixed, inexact := c.load.check(request.Services, answer)
	c.inexact += count(mixed || inexact)
	for _, m := range answer.Coverage.Missing {
		c.missing += count(local[m.Service])
	}
}

// figures returns the queries to cut off hosts, those refused, the shards of
// the zone's own servers that answers lacked, and the answers whose coverage
// was not true.
func (c *cutoffs) figures() map[string]float64 {
	c.probes.Wait()
	return map[string]float64{
		"asked":       float64(c.asked),
		"cut_refused": float64(c.refused),
		"cut_missing": float64(c.missing),
		"cut_inexact": float64(c.inexact),
	}
}
