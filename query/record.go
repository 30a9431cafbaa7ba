package query

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// need is one shard that a query wants covered.
type need struct {
	service *config.Service
	shard   string
	reason  fault.Reason
	// tried holds the positions in the service of the servers that were tried
	// since the last pause; tries counts them.
	tried [maxAttempts]uint16
	tries uint8
	// attempts counts all attempts, and open those in progress.
	attempts uint8
	open     uint8
	covered  bool
}

// attempt is a sub-request in progress.
type attempt struct {
	id      uint64
	server  string
	version shard.Version
	record  *record
	needs   []*need
	sent    time.Time
	// place is the position in the record's open attempts.
	place int
	hedge bool
	// trial marks an attempt at a replica that was slow or down before. It is
	// hedged at once.
	trial   bool
	overdue bool
	hedged  bool
}

// record is a query in progress. The table's lock guards it.
type record struct {
	request Request
	started time.Time
	version shard.Version
	needs   []*need
	parts   []shard.PartialAnswer
	open    []*attempt
	spare   []attempt
	// pending counts the uncovered needs with attempts in progress, and waiting
	// the pauses in progress. Counters keep the cost of a result flat.
	pending  int
	waiting  int
	runs     int
	pauses   int
	subs     int
	extra    int
	finished bool
	answer   Answer
	done     chan struct{}
}

func newRecord(request Request, now time.Time) *record {
	return &record{
		request: request,
		started: now,
		done:    make(chan struct{}),
	}
}

// settled reports whether nothing is left to wait for.
func (r *record) settled() bool { return r.waiting == 0 && r.pending == 0 }

// try counts an attempt for a need at the server in the given place of the
// service.
func (r *record) try(n *need, place int) {
	if !n.covered && n.open == 0 {
		r.pending++
	}
	n.open++
	n.attempts++
	if int(n.tries) < len(n.tried) {
		n.tried[n.tries] = uint16(place)
		n.tries++
	}
}

// end counts the end of an attempt for a need.
func (r *record) end(n *need) {
	n.open--
	if !n.covered && n.open == 0 {
		r.pending--
	}
}

// cover takes the part for a need.
func (r *record) cover(n *need, p shard.PartialAnswer) {
	if n.open > 0 {
		r.pending--
	}
	n.covered = true
	r.parts = append(r.parts, p)
}

// accept takes the parts of an answer that belong to the pinned version and to
// the shards that were asked for. Everything else counts as not covered.
func (r *record) accept(a *attempt, answered shard.Answered) {
	for _, p := range answered.Parts {
		if p.Version != r.version {
			continue
		}
		i := slices.IndexFunc(a.needs, func(n *need) bool { return n.shard == p.Shard })
		if i < 0 || a.needs[i].covered {
			continue
		}
		r.cover(a.needs[i], p)
	}
}

// fail notes why the uncovered shards of an attempt are still missing.
func (a *attempt) fail(reason fault.Reason) {
	for _, n := range a.needs {
		if !n.covered {
			n.reason = reason
		}
	}
}

// coverage lists what is covered and what is missing. A shard whose attempts
// are still open is missing because of the deadline.
func (r *record) coverage() Coverage {
	c := Coverage{Total: len(r.needs)}
	for _, n := range r.needs {
		if n.covered {
			c.Covered++
			continue
		}
		reason := n.reason
		if reason == "" || n.open > 0 {
			reason = fault.ReasonDeadline
		}
		c.Missing = append(c.Missing, Missing{Service: n.service.Name, Shard: n.shard, Reason: reason})
	}
	return c
}

// finish computes the answer and wakes the caller.
func (r *record) finish(now time.Time) {
	if r.finished {
		return
	}
	r.finished = true
	r.answer = Answer{
		Request:  r.request.ID,
		Snapshot: r.version,
		Coverage: r.coverage(),
		Hits:     Merge(r.parts, r.request.Limit),
		Took:     now.Sub(r.started),
		Subs:     r.subs,
		Extra:    r.extra,
	}
	close(r.done)
}
