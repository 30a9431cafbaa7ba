package config

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// serversPerGroup is the target size of a placement group. A query sends its
// sub-requests for one group in one batch, which divides the cost of the call
// between daemons by about serversPerGroup.
const serversPerGroup = 8

// PlacedServer is a backend server with its service and its placement.
type PlacedServer struct {
	Server  Server
	Service *Service
	// Group is the name of the placement group, the unit of ownership.
	Group string
	// OwnerZone is the zone whose hosts own the server.
	OwnerZone string
}

// View is an immutable index over a Value. Readers share it without locks.
type View struct {
	Value            Value
	services         map[string]*Service
	servers          map[string]PlacedServer
	serversByGroup   map[string][]string
	tenants          map[string]Tenant
	servicesByTenant map[string][]string
	outOfService     map[string]bool
	// ownerZoneOf maps each zone to the zone whose hosts own its servers.
	ownerZoneOf map[string]string
	// ownerZones are the zones whose hosts own servers, in manifest order.
	ownerZones []string
}

// NewView returns an index over a value. The value must not change afterwards.
func NewView(value Value) *View {
	v := &View{
		Value:            value,
		services:         make(map[string]*Service, len(value.Manifest.Services)),
		servers:          make(map[string]PlacedServer),
		serversByGroup:   make(map[string][]string),
		tenants:          make(map[string]Tenant, len(value.Manifest.Tenants)),
		servicesByTenant: make(map[string][]string),
		outOfService:     make(map[string]bool, len(value.ZonesOut)),
		ownerZoneOf:      make(map[string]string, len(value.Manifest.Zones)),
	}
	for _, z := range value.Manifest.Zones {
		v.ownerZoneOf[z.Name] = cmp.Or(z.Via, z.Name)
		if z.Via == "" {
			v.ownerZones = append(v.ownerZones, z.Name)
		}
	}
	for _, t := range value.Manifest.Tenants {
		v.tenants[t.Name] = t
	}
	for _, z := range value.ZonesOut {
		v.outOfService[z] = true
	}
	v.indexServices()
	return v
}

func (v *View) indexServices() {
	counts := make(map[string]int)
	for i := range v.Value.Manifest.Services {
		s := &v.Value.Manifest.Services[i]
		for _, server := range s.Servers {
			counts[server.Zone+"/"+s.Tenant]++
		}
	}
	for i := range v.Value.Manifest.Services {
		s := &v.Value.Manifest.Services[i]
		v.services[s.Name] = s
		v.servicesByTenant[s.Tenant] = append(v.servicesByTenant[s.Tenant], s.Name)
		for _, server := range s.Servers {
			prefix := server.Zone + "/" + s.Tenant
			group := placementGroup(prefix, server.Name, counts[prefix])
			v.servers[server.Name] = PlacedServer{Server: server, Service: s, Group: group, OwnerZone: v.ownerZoneOf[server.Zone]}
			v.serversByGroup[group] = append(v.serversByGroup[group], server.Name)
		}
	}
}

// placementGroup returns the name of the group of a server. It spreads the servers
// of one tenant in one zone over a number of groups that is a power of two, so that
// adding a server seldom moves the other servers.
func placementGroup(prefix, server string, count int) string {
	groups := uint64(1)
	if count > serversPerGroup {
		groups = 1 << bits.Len(uint((count-1)/serversPerGroup))
	}
	return prefix + "/" + strconv.FormatUint(xxhash.Sum64String(server)%groups, 10)
}

// Service returns the service with the given name.
func (v *View) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Server returns the backend server with the given name.
func (v *View) Server(name string) (PlacedServer, bool) {
	p, ok := v.servers[name]
	return p, ok
}

// Tenant returns the tenant with the given name.
func (v *View) Tenant(name string) (Tenant, bool) {
	t, ok := v.tenants[name]
	return t, ok
}

// TenantServices returns the names of a tenant's services in manifest order.
func (v *View) TenantServices(tenant string) []string { return v.servicesByTenant[tenant] }

// Groups returns the names of the placement groups that a zone's hosts own,
// sorted.
func (v *View) Groups(zone string) []string {
	var names []string
	for name, servers := range v.serversByGroup {
		if v.servers[servers[0]].OwnerZone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// GroupServers returns the names of the servers in a placement group.
func (v *View) GroupServers(group string) []string { return v.serversByGroup[group] }

// ServerCount returns the number of backend servers.
func (v *View) ServerCount() int { return len(v.servers) }

// IsOutOfService reports whether operators took a zone out of service.
func (v *View) IsOutOfService(zone string) bool { return v.outOfService[zone] }
