// Package config holds the operators' configuration: the manifest, the accepted
// value with its revision, and the availability zones that are out of service. It
// owns the check of manifests, the outcome of changes and the rule when a host's
// configuration is fresh. It leaves the encoding of values to a Codec, their
// storage to store.KV and their distribution to the daemon.
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

// Network holds the one-way network delays of a deployment. Routing adds them to
// the estimated cost of calls, and test doubles of the network reproduce them.
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

// Tenant is a user group of the deployment.
type Tenant struct {
	Name string
	// Class is the class of requests that name none.
	Class shard.Class
}

// Service is a set of replicas of the same shards. The limits of a service apply
// to each of its servers.
type Service struct {
	Name   string
	Tenant string
	// Shards are the partitions of the service. A newer index version may
	// split or merge them; in that case the servers' catalogs are authoritative.
	Shards []string
	// Slots is the number of requests that a server runs at once.
	Slots int
	// Connections is the number of connections that a server accepts.
	Connections int
	// Connect is the time that it takes to open a connection.
	Connect time.Duration
	// Floor is the number of requests a second that a cold server can handle.
	Floor int
	// Warmup is the time that a cold server needs under load to become warm.
	Warmup  time.Duration
	Servers []Server
}

// Server is a backend server. Address is an IP address and port.
type Server struct {
	Name    string
	Zone    string
	Address string
}
