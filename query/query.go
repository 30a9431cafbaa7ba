// Package query is the aggregate of one query: it chooses the snapshot, plans
// sub-requests, collects partial answers, and merges them into one answer with
// true coverage.
package query

import (
	"time"

	"hyssophub/fault"
	"hyssophub/shard"
)

// Request is a caller's query.
type Request struct {
	ID     string
	Tenant string
	// Services are the services to search; empty means all of the tenant.
	Services []string
	Text     string
	// Limit is the number of hits wanted.
	Limit    int
	Class    shard.Class
	Deadline time.Time
	// MinCoverage is the least coverage, from 0 to 1, that the caller
	// accepts.
	MinCoverage float64
}

// Missing names a shard that the answer does not cover.
type Missing struct {
	Service string
	Shard   string
	Reason  fault.Reason
}

// Coverage counts the shards that an answer covers at its snapshot.
type Coverage struct {
	Covered int
	Total   int
	Missing []Missing
}

// Ratio returns the covered share, from 0 to 1.
func (c Coverage) Ratio() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// Answer is the merged answer to a query.
type Answer struct {
	Request  string
	Snapshot shard.Version
	Coverage Coverage
	Hits     []shard.Hit
	Took     time.Duration
	// Subs counts the sub-requests sent, and Extra those among them that were
	// hedges or retries.
	Subs  int
	Extra int
}
