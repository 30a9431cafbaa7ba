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
const freshnessBound = 1500 * time.Millisecond

// probeInterval is the time between two queries of each tenant to each host of
// a cut off zone.
const probeInterval = 500 * time.Millisecond

// note counts a sub-request that a host of a cut off zone sends to another
// zone past the freshness bound. The cut drops it, but a cut that lasts
// shorter on one path would let it through.
func (n *Network) countCrossing(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hostZone := n.zones[host]
	if hostZone != zone && n.isolated[hostZone] && time.Since(n.isolatedAt[hostZone]) > freshnessBound {
		n.crossed++
	}
}

// crossings reports the sub-requests that Network.note counted.
type crossZoneSends struct{ network *Network }

func (c *crossZoneSends) observe(Action) {}

func (c *crossZoneSends) figures() map[string]float64 {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return map[string]float64{"crossed": float64(c.network.crossed)}
}

// cutoffs sends queries to the hosts of a cut off zone, as callers inside it
// do, and checks their answers.
type isolationProbes struct {
	load   *load
	fleet  *Fleet
	probes sync.WaitGroup

	mu          sync.Mutex
	reconnected map[string]chan struct{}
	queries     int
	refused     int
	missing     int
	inexact     int
}

func newIsolationProbes(l *load, f *Fleet) *isolationProbes {
	return &isolationProbes{load: l, fleet: f, reconnected: make(map[string]chan struct{})}
}

func (c *isolationProbes) observe(action Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a := action.(type) {
	case IsolateZone:
		reconnected := make(chan struct{})
		c.reconnected[a.Zone] = reconnected
		c.probes.Go(func() { c.probeZone(a.Zone, reconnected) })
	case ReconnectZone:
		close(c.reconnected[a.Zone])
		delete(c.reconnected, a.Zone)
	}
}

// probe asks every host of a zone until the zone is connected again.
func (c *isolationProbes) probeZone(zone string, reconnected <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-reconnected:
			return
		case <-ticker.C:
		}
		for i, h := range c.fleet.hosts {
			if h.Zone != zone {
				continue
			}
			for _, t := range c.load.manifest.Tenants {
				id := "probe-" + h.Name + "-" + t.Name + "-" + strconv.Itoa(n)
				c.probes.Go(func() { c.probeHost(i, zone, t, id) })
			}
		}
	}
}

// ask sends one query and checks that the answer covers every service with a
// server in the zone.
func (c *isolationProbes) probeHost(host int, zone string, t config.Tenant, id string) {
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
	c.queries++
	if err != nil {
		c.refused++
		return
	}
	mixed, inexact := c.load.checkAnswer(request.Services, answer)
	c.inexact += boolToInt(mixed || inexact)
	for _, m := range answer.Coverage.Missing {
		c.missing += boolToInt(local[m.Service])
	}
}

// figures returns the queries to cut off hosts, those refused, the shards of
// the zone's own servers that answers lacked, and the answers whose coverage
// was not true.
func (c *isolationProbes) figures() map[string]float64 {
	c.probes.Wait()
	return map[string]float64{
		"asked":       float64(c.queries),
		"cut_refused": float64(c.refused),
		"cut_missing": float64(c.missing),
		"cut_inexact": float64(c.inexact),
	}
}
