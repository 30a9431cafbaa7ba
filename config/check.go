package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Limits of a manifest. They leave room above the design size of 9 zones and
// 4,400 backend servers, and bound the memory that a wrong manifest can take.
const (
	maxName        = 64
	maxZones       = 64
	maxTenants     = 256
	maxServices    = 5000
	maxShards      = 1024
	maxServers     = 256
	maxHosts       = 1000
	maxSlots       = 1024
	maxConnections = 4096
	maxFloor       = 100_000
	maxDelay       = 10 * time.Second
	maxConnect     = time.Minute
	maxWarmup      = time.Hour
)

// minConnections leaves one usable connection beside the headroom of two that
// owners keep.
const minConnections = 3

// namePattern admits only characters that need no escaping in store keys, URL
// paths and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Fault is one fault of a manifest or an edit. Place is a path into the
// manifest's JSON such as services[3].servers[0].address.
type Fault struct {
	Place   string
	Problem string
}

// String returns the place and the problem.
func (f Fault) String() string { return f.Place + ": " + f.Problem }

// CheckManifest returns every fault of a manifest in manifest order, and nothing for a
// manifest that may be applied.
func CheckManifest(m Manifest) []Fault {
	c := &checker{zones: make(map[string]Zone, len(m.Zones)), tenants: make(map[string]bool, len(m.Tenants))}
	c.name("name", m.Name)
	c.duration("network.zone", m.Network.Zone, maxDelay)
	c.duration("network.client", m.Network.Client, maxDelay)
	c.checkZones(m.Zones)
	c.checkTenants(m.Tenants)
	c.checkServices(m.Services)
	return c.faults
}

type checker struct {
	faults  []Fault
	zones   map[string]Zone
	tenants map[string]bool
}

func (c *checker) add(place, format string, args ...any) {
	c.faults = append(c.faults, Fault{Place: place, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) name(place, name string) {
	if len(name) > maxName || !namePattern.MatchString(name) {
		c.add(place, "%q is no name of 1 to %d letters, digits, dots, hyphens and underscores", name, maxName)
	}
}

func (c *checker) number(place string, n, low, high int) {
	if n < low || n > high {
		c.add(place, "%d is outside %d to %d", n, low, high)
	}
}

func (c *checker) duration(place string, d, high time.Duration) {
	if d < 0 || d > high {
		c.add(place, "%s is outside 0s to %s", d, high)
	}
}

func (c *checker) length(place string, n, high int) {
	if n < 1 || n > high {
		c.add(place, "%d entries, allowed are 1 to %d", n, high)
	}
}

// unique reports the second use of a name or address. The first use is kept in
// seen with its place.
func (c *checker) unique(seen map[string]string, place, value string) {
	if first, ok := seen[value]; ok {
		c.add(place, "%q is also at %s", value, first)
		return
	}
	seen[value] = place
}

func (c *checker) checkZones(zones []Zone) {
	c.length("zones", len(zones), maxZones)
	seen := make(map[string]string, len(zones))
	for i, z := range zones {
		place := fmt.Sprintf("zones[%d]", i)
		c.name(place+".name", z.Name)
		c.unique(seen, place+".name", z.Name)
		c.number(place+".hosts", z.Hosts, 0, maxHosts)
		if z.Region != "" {
			c.name(place+".region", z.Region)
		}
		c.zones[z.Name] = z
	}
	for i, z := range zones {
		c.checkVia(fmt.Sprintf("zones[%d].via", i), z)
	}
}

// checkVia makes sure that some zone's hosts own the zone's servers. Via is
// followed only once, so it must not lead to a zone with a via of its own.
func (c *checker) checkVia(place string, z Zone) {
	if z.Via == "" {
		if z.Hosts == 0 {
			c.add(place, "zone %q has no hosts, so via must name a zone that has", z.Name)
		}
		return
	}
	target, ok := c.zones[z.Via]
	switch {
	case !ok:
		c.add(place, "unknown zone %q", z.Via)
	case z.Via == z.Name:
		c.add(place, "zone %q names itself", z.Name)
	case target.Via != "":
		c.add(place, "zone %q has a via itself", z.Via)
	case target.Hosts == 0:
		c.add(place, "zone %q has no hosts", z.Via)
	}
}

func (c *checker) checkTenants(tenants []Tenant) {
	c.length("tenants", len(tenants), maxTenants)
	seen := make(map[string]string, len(tenants))
	for i, t := range tenants {
		place := fmt.Sprintf("tenants[%d].name", i)
		c.name(place, t.Name)
		c.unique(seen, place, t.Name)
		c.tenants[t.Name] = true
	}
}

func (c *checker) checkServices(services []Service) {
	c.length("services", len(services), maxServices)
	var (
		names     = make(map[string]string, len(services))
		servers   = make(map[string]string)
		addresses = make(map[string]string)
	)
	for i := range services {
		s := &services[i]
		place := fmt.Sprintf("services[%d]", i)
		c.unique(names, place+".name", s.Name)
		c.checkService(place, s)
		for j, server := range s.Servers {
			c.checkServer(fmt.Sprintf("%s.servers[%d]", place, j), server, servers, addresses)
		}
	}
}

func (c *checker) checkService(place string, s *Service) {
	c.name(place+".name", s.Name)
	if !c.tenants[s.Tenant] {
		c.add(place+".tenant", "unknown tenant %q", s.Tenant)
	}
	c.number(place+".slots", s.Slots, 1, maxSlots)
	c.number(place+".connections", s.Connections, minConnections, maxConnections)
	c.number(place+".floor", s.Floor, 1, maxFloor)
	c.duration(place+".connect", s.Connect, maxConnect)
	c.duration(place+".warmup", s.Warmup, maxWarmup)
	c.length(place+".shards", len(s.Shards), maxShards)
	c.length(place+".servers", len(s.Servers), maxServers)
	seen := make(map[string]string, len(s.Shards))
	for i, shard := range s.Shards {
		at := fmt.Sprintf("%s.shards[%d]", place, i)
		c.name(at, shard)
		c.unique(seen, at, shard)
	}
}

func (c *checker) checkServer(place string, server Server, names, addresses map[string]string) {
	c.name(place+".name", server.Name)
	c.unique(names, place+".name", server.Name)
	if _, ok := c.zones[server.Zone]; !ok {
		c.add(place+".zone", "unknown zone %q", server.Zone)
	}
	address, err := netip.ParseAddrPort(server.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(place+".address", "%q is no IP number and port such as 10.0.0.1:8080", server.Address)
		return
	}
	// One address has several spellings; the parsed form makes them equal.
	c.unique(addresses, place+".address", netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String())
}
