package shard

import "slices"

// VersionShards lists what a backend server holds of one index version. All is the
// complete partition map of its service in that version; Shards is the subset
// that this server holds.
type VersionShards struct {
	Version Version
	All     []string
	Shards  []string
}

// StateReport is a backend server's own description of its state. It may lag or
// mislead, so decisions trust requests over it, except for Draining, which is
// only ever believed when true.
type StateReport struct {
	Server   string
	Draining bool
	Versions []VersionShards
}

// Catalog is what an owner knows of the versions of one server.
type Catalog struct {
	Server   string
	Service  string
	Revision uint64
	Versions []VersionShards
}

// Lookup returns what the server holds at a version.
func (c Catalog) Lookup(version Version) (VersionShards, bool) {
	i := slices.IndexFunc(c.Versions, func(h VersionShards) bool { return h.Version == version })
	if i < 0 {
		return VersionShards{}, false
	}
	return c.Versions[i], true
}
