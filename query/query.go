// Package query is the aggregate of one query: it chooses the snapshot, plans
// sub-requests, collects partial answers, and merges them into one answer with
// true coverage.
package query

import (
	"cmp"
	"slices"
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

// Merge returns the first limit hits of all parts, by descending score, then
// by key.
func Merge(parts []shard.Part, limit int) []shard.Hit {
	size := 0
	for _, p := range parts {
		size += len(p.Hits)
	}
	hits := make([]shard.Hit, 0, size)
	for _, p := range parts {
		hits = append(hits, p.Hits...)
	}
	slices.SortFunc(hits, func(a, b shard.Hit) int {
		if a.Score != b.Score {
			return cmp.Compare(b.Score, a.Score)
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return hits[:min(limit, len(hits))]
}
