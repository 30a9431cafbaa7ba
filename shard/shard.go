// Package shard defines the types that entry hosts and the owners of backend
// servers share: sub-requests, their outcomes, partial answers and the catalog
// of index versions. It makes no decisions, and encodes nothing.
package shard

import (
	"time"

	"hyssophub/fault"
)

// Class is the scheduling class of a request. Urgent work never waits behind
// routine work.
type Class uint8

// Classes, in the order in which queues serve them.
const (
	Urgent Class = iota
	Routine
	// ClassCount is the number of classes.
	ClassCount
)

// String returns the name of the class in settings, requests and metrics.
func (c Class) String() string {
	if c == Urgent {
		return "urgent"
	}
	return "routine"
}

// ParseClass returns the class with the given name. An empty name is routine.
func ParseClass(name string) (Class, bool) {
	switch name {
	case "urgent":
		return Urgent, true
	case "routine", "":
		return Routine, true
	default:
		return Routine, false
	}
}

// Version numbers an index version. Zero means unknown.
type Version uint64

// SubRequest is the part of a query that is sent to one backend server.
type SubRequest struct {
	// ID is unique across all hosts: a random base for each start of a daemon
	// plus a counter.
	ID        uint64
	RequestID string
	Tenant    string
	Service   string
	Server    string
	Version   Version
	Shards    []string
	Text      string
	// Limit is the largest number of hits wanted per shard.
	Limit    int
	Class    Class
	Deadline time.Time
	// Write marks a request that is not idempotent.
	Write bool
	// IdempotencyKey is the key with which the caller identifies a write.
	IdempotencyKey string
	// Hedge marks a duplicate of a sub-request that is still in progress. The
	// owner admits it only into a spare slot.
	Hedge bool
}

// Hit is one search result. Hits order by descending score, then by key.
type Hit struct {
	Key   string
	Score float64
	Text  string
}

// PartialAnswer is the answer for one shard of one index version.
type PartialAnswer struct {
	Version Version
	Shard   string
	Hits    []Hit
}

// Outcome is how a sub-request ended. The interface is sealed.
type Outcome interface{ outcome() }

type (
	// Answered carries the partial answers of a sub-request that ran.
	Answered struct {
		Parts []PartialAnswer
		// Receipt is the backend server's record of a write.
		Receipt string
		// Draining means that the reply announced the shutdown of the server.
		Draining bool
	}
	// Refused means that the sub-request did not run.
	Refused struct {
		Reason     fault.Reason
		RetryAfter time.Duration
	}
	// Failed means that the sub-request may have run, or ran without a usable
	// answer.
	Failed struct {
		Verdict fault.Verdict
		Reason  fault.Reason
	}
)

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Failed) outcome()   {}

// VerdictOf returns the verdict that an outcome implies.
func VerdictOf(outcome Outcome) fault.Verdict {
	switch o := outcome.(type) {
	case Answered:
		return fault.Ran{}
	case Refused:
		return fault.NotRun{}
	case Failed:
		return o.Verdict
	default:
		return fault.MayHaveRun{}
	}
}

// ServerStats are an owner's recent statistics of a backend server. They are
// sent with each result, so that entry hosts can choose between replicas.
type ServerStats struct {
	Server string
	// MedianLatency is the recent median service time.
	MedianLatency time.Duration
	// TailLatency is the recent 95th percentile of the service time.
	TailLatency time.Duration
	// Queued and Busy count sub-requests at the owner. Free counts the slots
	// that may be used now; during the ramp it can be lower than the number of
	// unused slots.
	Queued int
	Busy   int
	Free   int
	// Usable is false while the server drains, is unreachable or has no owner.
	Usable bool
	// CatalogRevision changes whenever the server's catalog changes.
	CatalogRevision uint64
}

// Result is the outcome of one sub-request with the owner's statistics of the
// server. Took is the time from the last check before the dispatch to the
// outcome.
type Result struct {
	SubID   uint64
	Server  string
	Outcome Outcome
	Took    time.Duration
	Stats   ServerStats
}

// Batch is a set of sub-requests of one class for servers of one owner.
type Batch struct {
	// Sender is the name of the sending host.
	Sender string
	// Revision is the configuration revision with which the sender planned the
	// sub-requests.
	Revision uint64
	Class    Class
	Subs     []SubRequest
}
