// Package query answers the queries of callers on an entry host. It owns the
// state of each query in progress: the snapshot, the planned sub-requests, their
// retries and hedges, and the partial answers, which it merges into one answer
// with exact coverage. The choice of backend servers and the budgets are left to
// package route, the dispatch to backend servers to their owners.
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
	// Services are the services to search; empty means all services of the
	// tenant.
	Services []string
	Text     string
	// Limit is the largest number of hits in the answer.
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

// Ratio returns the covered fraction of the shards, from 0 to 1. It is 0 if there
// are no shards.
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
