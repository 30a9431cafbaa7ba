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
	tried      [maxAttempts]uint16
	triedCount uint8
	// attempts counts all attempts, and open those in progress.
	attempts uint8
	inFlight uint8
	covered  bool
}

// attempt is a sub-request in progress.
type attempt struct {
	id      uint64
	server  string
	version shard.Version
	query   *queryState
	needs   []*need
	sent    time.Time
	// place is the position in the record's open attempts.
	openIndex int
	isHedge   bool
	// trial marks an attempt at a replica that was slow or down before. It is
	// hedged at once.
	probe   bool
	overdue bool
	hedged  bool
}

// record is a query in progress. The table's lock guards it.
type queryState struct {
	request  Request
	started  time.Time
	version  shard.Version
	needs    []*need
	parts    []shard.Part
	open     []*attempt
	prealloc []attempt
	// pending counts the uncovered needs with attempts in progress, and waiting
	// the pauses in progress. Counters keep the cost of a result flat.
	pending      int
	activePauses int
	runs         int
	pauses       int
	subs         int
	extra        int
	finished     bool
	answer       Answer
	done         chan struct{}
}

func newQueryState(request Request, now time.Time) *queryState {
	return &queryState{
		request: request,
		started: now,
		done:    make(chan struct{}),
	}
}

// settled reports whether nothing is left to wait for.
func (q *queryState) settled() bool { return q.activePauses == 0 && q.pending == 0 }

// try counts an attempt for a need at the server in the given place of the
// service.
func (q *queryState) beginAttempt(n *need, position int) {
	if !n.covered && n.inFlight == 0 {
		q.pending++
	}
	n.inFlight++
	n.attempts++
	if int(n.triedCount) < len(n.tried) {
		n.tried[n.triedCount] = uint16(position)
		n.triedCount++
	}
}

// end counts the end of an attempt for a need.
func (q *queryState) endAttempt(n *need) {
	n.inFlight--
	if !n.covered && n.inFlight == 0 {
		q.pending--
	}
}

// cover takes the part for a need.
func (q *queryState) addPart(n *need, p shard.Part) {
	if n.inFlight > 0 {
		q.pending--
	}
	n.covered = true
	q.parts = append(q.parts, p)
}

// accept takes the parts of an answer that belong to the pinned version and to
// the shards that were asked for. Everything else counts as not covered.
func (q *queryState) addParts(a *attempt, answered shard.Answered) {
	for _, p := range answered.Parts {
		if p.Version != q.version {
			continue
		}
		i := slices.IndexFunc(a.needs, func(n *need) bool { return n.shard == p.Shard })
		if i < 0 || a.needs[i].covered {
			continue
		}
		q.addPart(a.needs[i], p)
	}
}

// fail notes why the uncovered shards of an attempt are still missing.
func (a *attempt) setReason(reason fault.Reason) {
	for _, n := range a.needs {
		if !n.covered {
			n.reason = reason
		}
	}
}

// coverage lists what is covered and what is missing. A shard whose attempts
// are still open is missing because of the deadline.
func (q *queryState) coverage() Coverage {
	c := Coverage{Total: len(q.needs)}
	for _, n := range q.needs {
		if n.covered {
			c.Covered++
			continue
		}
		reason := n.reason
		if reason == "" || n.inFlight > 0 {
			reason = fault.ReasonDeadline
		}
		c.Missing = append(c.Missing, Missing{Service: n.service.Name, Shard: n.shard, Reason: reason})
	}
	return c
}

// finish computes the answer and wakes the caller.
func (q *queryState) finish(now time.Time) {
	if q.finished {
		return
	}
	q.finished = true
	q.answer = Answer{
		Request:  q.request.ID,
		Snapshot: q.version,
		Coverage: q.coverage(),
		Hits:     Merge(q.parts, q.request.Limit),
		Took:     now.Sub(q.started),
		Subs:     q.subs,
		Extra:    q.extra,
	}
	close(q.done)
}
