package config

import (
	"time"
)

// Value is the configuration as it is stored in the platform's store.
type Value struct {
	// Revision is the store's revision of the value and strictly increases.
	Revision uint64
	Manifest Manifest
	// ZonesOut names the availability zones that operators took out of service.
	ZonesOut []string
	// Changes are the most recent accepted changes, oldest first. Their IDs
	// tell whether a change whose store answer was lost took effect.
	Changes []Change
}

// Change is the audit entry of an accepted change.
type Change struct {
	ID     string
	Author string
	At     time.Time
	// From is the revision that the change was made from.
	From uint64
	Note string
}
