package trial

import (
	"context"
	"strconv"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/query"
)

// freshnessBound is the time without a message from other zones after which a
// host must send nothing to other zones.
const freshnessBound = 1500 * time.Millisecond

// probeInterval is the time between two probe queries for a tenant at each
// host of an isolated zone.
const probeInterval = 500 * time.Millisecond

// countCrossing counts a sub-request that a host of an isolated zone sends to
// another zone after freshnessBound. The model drops this sub-request, but a
// real network could deliver it if one path recovers earlier than the others.
func (n *Network) countCrossing(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hostZone := n.zones[host]
	if hostZone != zone && n.isolated[hostZone] && time.Since(n.isolatedAt[hostZone]) > freshnessBound {
		n.crossed++
	}
}

// crossZoneSends reports the count of Network.countCrossing.
type crossZoneSends struct{ network *Network }

func (c *crossZoneSends) observe(Action) {}

func (c *crossZoneSends) figures() map[string]float64 {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return map[string]float64{"crossed": float64(c.network.crossed)}
}

// isolationProbes sends queries to the hosts of an isolated zone, as callers
// inside the zone do, and checks the answers.
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

// probeZone sends queries to every host of a zone until reconnected is closed.
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

// probeHost sends one query. It counts missing shards of the services that
// have a server in the zone.
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

// figures returns the number of queries to isolated hosts, the refused ones,
// the missing shards of services with a server in the zone, and the answers
// with mixed versions or an inexact coverage.
func (c *isolationProbes) figures() map[string]float64 {
	c.probes.Wait()
	return map[string]float64{
		"asked":       float64(c.queries),
		"cut_refused": float64(c.refused),
		"cut_missing": float64(c.missing),
		"cut_inexact": float64(c.inexact),
	}
}
