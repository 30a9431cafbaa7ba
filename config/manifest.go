// Package config is the aggregate of the operators' configuration: the
// manifest, the accepted value with its revision, and the zones that are out.
package config

import (
	"time"

	"hyssophub/shard"
)

// Manifest describes a deployment: its availability zones, tenants, services,
// shards and backend servers. A build pipeline generates it.
type Manifest struct {
	Name     string
	Network  Network
	Zones    []Zone
	Tenants  []Tenant
	Services []Service
}

// Network gives the one-way delays of a deployment. Stand-ins reproduce them.
type Network struct {
	// Zone is the delay between two availability zones.
	Zone time.Duration
	// Client is the delay between a caller and an entry host.
	Client time.Duration
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	// Hosts is the number of entry hosts that the platform runs in the zone.
	Hosts int
	// Via names the zone whose hosts own this zone's servers, for a zone
	// without entry hosts. Empty means the zone itself.
	Via string
}

// Tenant is a user group of the deployment. Class applies to requests that
// name none.
type Tenant struct {
	Name  string
	Class shard.Class
}

// Service is a set of replicas of the same shards. The limits apply to each of
// its servers.
type Service struct {
	Name   string
	Tenant string
	// Shards are the partitions of the service. A newer index version may
	// split or merge them; then the servers' catalogs are authoritative.
	Shards []string
	// Slots is the number of requests that a server runs at once.
	Slots int
	// Connections is the number of connections that a server accepts.
	Connections int
	// Connect is the time that a new connection costs.
	Connect time.Duration
	// Floor is the number of requests a second that a cold server bears.
	Floor int
	// Warmup is the time that a cold server needs under load to become warm.
	Warmup  time.Duration
	Servers []Server
}

// Server is a backend server. Address is an IP number and port.
type Server struct {
	Name    string
	Zone    string
	Address string
}
