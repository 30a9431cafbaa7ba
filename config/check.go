package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Limits of a manifest. They are above the design size of 9 zones and 4,400
// backend servers, and bound the memory that a faulty manifest can take. maxFloor
// is in requests a second.
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

// minConnections is one usable connection and the two that the owner of a server
// reserves as headroom.
const minConnections = 3

// namePattern admits only characters that need no escaping in store keys, URL
// paths and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Fault is one fault of a manifest or an edit.
type Fault struct {
	// Place is a path into the manifest's JSON, such as
	// services[3].servers[0].address.
	Place   string
	Problem string
}

// String returns the place and the problem.
func (f Fault) String() string { return f.Place + ": " + f.Problem }

// CheckManifest returns every fault of a manifest in manifest order. It returns
// nil for a manifest that may be applied.
func CheckManifest(m Manifest) []Fault {
	c := &checker{zones: make(map[string]Zone, len(m.Zones)), tenants: make(map[string]bool, len(m.Tenants))}
	c.checkName("name", m.Name)
	c.checkDuration("network.zone", m.Network.Zone, maxDelay)
	c.checkDuration("network.client", m.Network.Client, maxDelay)
	c.checkZones(m.Zones)
	c.checkTenants(m.Tenants)
	c.checkServices(m.Services)
	return c.faults
}

// checker collects the faults of one manifest, with the zones and tenants that
// the manifest declares.
type checker struct {
	faults  []Fault
	zones   map[string]Zone
	tenants map[string]bool
}

func (c *checker) addFault(place, format string, args ...any) {
	c.faults = append(c.faults, Fault{Place: place, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(place, name string) {
	if len(name) > maxName || !namePattern.MatchString(name) {
		c.addFault(place, "%q is no name of 1 to %d letters, digits, dots, hyphens and underscores", name, maxName)
	}
}

func (c *checker) checkRange(place string, n, low, high int) {
	if n < low || n > high {
		c.addFault(place, "%d is outside the range %d to %d", n, low, high)
	}
}

func (c *checker) checkDuration(place string, d, high time.Duration) {
	if d < 0 || d > high {
		c.addFault(place, "%s is outside the range 0s to %s", d, high)
	}
}

func (c *checker) checkLength(place string, n, high int) {
	if n < 1 || n > high {
		c.addFault(place, "%d entries, allowed are 1 to %d", n, high)
	}
}

// checkUnique adds a fault if the name or address was used before. seen maps each
// name or address to the place of its first use.
func (c *checker) checkUnique(seen map[string]string, place, value string) {
	if first, ok := seen[value]; ok {
		c.addFault(place, "%q is already used at %s", value, first)
		return
	}
	seen[value] = place
}

func (c *checker) checkZones(zones []Zone) {
	c.checkLength("zones", len(zones), maxZones)
	seen := make(map[string]string, len(zones))
	for i, z := range zones {
		place := fmt.Sprintf("zones[%d]", i)
		c.checkName(place+".name", z.Name)
		c.checkUnique(seen, place+".name", z.Name)
		c.checkRange(place+".hosts", z.Hosts, 0, maxHosts)
		if z.Region != "" {
			c.checkName(place+".region", z.Region)
		}
		c.zones[z.Name] = z
	}
	for i, z := range zones {
		c.checkVia(fmt.Sprintf("zones[%d].via", i), z)
	}
}

// checkVia checks that the hosts of some zone own the zone's servers. Via is
// followed only once, so it must not name a zone with a via of its own.
func (c *checker) checkVia(place string, z Zone) {
	if z.Via == "" {
		if z.Hosts == 0 {
			c.addFault(place, "zone %q has no hosts, so via must name a zone that has", z.Name)
		}
		return
	}
	target, ok := c.zones[z.Via]
	switch {
	case !ok:
		c.addFault(place, "unknown zone %q", z.Via)
	case z.Via == z.Name:
		c.addFault(place, "zone %q names itself in via", z.Name)
	case target.Via != "":
		c.addFault(place, "zone %q has a via of its own", z.Via)
	case target.Hosts == 0:
		c.addFault(place, "zone %q has no hosts", z.Via)
	}
}

func (c *checker) checkTenants(tenants []Tenant) {
	c.checkLength("tenants", len(tenants), maxTenants)
	seen := make(map[string]string, len(tenants))
	for i, t := range tenants {
		place := fmt.Sprintf("tenants[%d].name", i)
		c.checkName(place, t.Name)
		c.checkUnique(seen, place, t.Name)
		c.tenants[t.Name] = true
	}
}

func (c *checker) checkServices(services []Service) {
	c.checkLength("services", len(services), maxServices)
	var (
		names     = make(map[string]string, len(services))
		servers   = make(map[string]string)
		addresses = make(map[string]string)
	)
	for i := range services {
		s := &services[i]
		place := fmt.Sprintf("services[%d]", i)
		c.checkUnique(names, place+".name", s.Name)
		c.checkService(place, s)
		for j, server := range s.Servers {
			c.checkServer(fmt.Sprintf("%s.servers[%d]", place, j), server, servers, addresses)
		}
	}
}

func (c *checker) checkService(place string, s *Service) {
	c.checkName(place+".name", s.Name)
	if !c.tenants[s.Tenant] {
		c.addFault(place+".tenant", "unknown tenant %q", s.Tenant)
	}
	c.checkRange(place+".slots", s.Slots, 1, maxSlots)
	c.checkRange(place+".connections", s.Connections, minConnections, maxConnections)
	c.checkRange(place+".floor", s.Floor, 1, maxFloor)
	c.checkDuration(place+".connect", s.Connect, maxConnect)
	c.checkDuration(place+".warmup", s.Warmup, maxWarmup)
	c.checkLength(place+".shards", len(s.Shards), maxShards)
	c.checkLength(place+".servers", len(s.Servers), maxServers)
	seen := make(map[string]string, len(s.Shards))
	for i, shard := range s.Shards {
		at := fmt.Sprintf("%s.shards[%d]", place, i)
		c.checkName(at, shard)
		c.checkUnique(seen, at, shard)
	}
}

func (c *checker) checkServer(place string, server Server, names, addresses map[string]string) {
	c.checkName(place+".name", server.Name)
	c.checkUnique(names, place+".name", server.Name)
	if _, ok := c.zones[server.Zone]; !ok {
		c.addFault(place+".zone", "unknown zone %q", server.Zone)
	}
	address, err := netip.ParseAddrPort(server.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.addFault(place+".address", "%q is not an IP address and port such as 10.0.0.1:8080", server.Address)
		return
	}
	// One address can be written in several forms, which the parsed form unifies.
	c.checkUnique(addresses, place+".address", netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String())
}
