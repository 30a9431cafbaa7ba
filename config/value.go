package config

import (
	"time"
)

// Value is the configuration as the platform's store holds it.
type Value struct {
	// Revision is the store's revision of the value and strictly increases.
	Revision uint64
	Manifest Manifest
	// Out names the availability zones that operators took out of service.
	Out []string
	// Changes are the most recent accepted changes, oldest first. Their ids
	// decide a change whose answer from the store was lost.
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
