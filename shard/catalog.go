package shard

import "slices"

// VersionShards lists the shards that a backend server holds of one index
// version. All is the complete partition map of its service in that version;
// Shards is the subset that this server holds.
type VersionShards struct {
	Version Version
	All     []string
	Shards  []string
}

// StateReport is a backend server's own description of its state. It can be
// outdated or wrong, so that the outcome of requests takes precedence. Draining
// is trusted only when true.
type StateReport struct {
	Server   string
	Draining bool
	Versions []VersionShards
}

// Catalog lists the index versions on one server according to its owner.
// Revision counts the changes of the list.
type Catalog struct {
	Server   string
	Service  string
	Revision uint64
	Versions []VersionShards
}

// Lookup returns the shards that the server holds of a version.
func (c Catalog) Lookup(version Version) (VersionShards, bool) {
	i := slices.IndexFunc(c.Versions, func(h VersionShards) bool { return h.Version == version })
	if i < 0 {
		return VersionShards{}, false
	}
	return c.Versions[i], true
}
