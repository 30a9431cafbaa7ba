package query

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// need is one shard that a query must cover, with the attempts made for the
// shard. reason is why the shard is not covered.
type need struct {
	service *config.Service
	shard   string
	reason  fault.Reason
	// tried holds the indexes, in the service's list of servers, of the servers
	// that were tried since the last pause; triedCount is their number.
	tried      [maxAttempts]uint16
	triedCount uint8
	// attempts counts all attempts, and inFlight those in progress.
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
	// openIndex is the index in the query's list of open attempts.
	openIndex int
	isHedge   bool
	// probe marks an attempt at a replica that was slow before. Such an attempt
	// is hedged at once.
	probe   bool
	overdue bool
	hedged  bool
}

// queryState is the state of a query in progress. It is guarded by Table.mu.
type queryState struct {
	request  Request
	started  time.Time
	version  shard.Version
	needs    []*need
	parts    []shard.PartialAnswer
	open     []*attempt
	prealloc []attempt
	// pending counts the uncovered needs with attempts in progress, and
	// activePauses the pauses in progress. With these counters the cost of a
	// result does not depend on the number of needs.
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

// settled reports whether no attempt for an uncovered need and no pause is in
// progress.
func (q *queryState) settled() bool { return q.activePauses == 0 && q.pending == 0 }

// beginAttempt counts an attempt for a need. The position is the index of the
// server in the service's list.
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

// endAttempt counts the end of an attempt for a need.
func (q *queryState) endAttempt(n *need) {
	n.inFlight--
	if !n.covered && n.inFlight == 0 {
		q.pending--
	}
}

// addPart adds the partial answer for a need and marks the need as covered.
func (q *queryState) addPart(n *need, p shard.PartialAnswer) {
	if n.inFlight > 0 {
		q.pending--
	}
	n.covered = true
	q.parts = append(q.parts, p)
}

// addParts adds those partial answers that belong to the query's version and to
// the shards that were asked for. All other parts are ignored, so that their
// shards count as not covered.
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

// setReason sets the reason why the uncovered shards of an attempt are missing.
func (a *attempt) setReason(reason fault.Reason) {
	for _, n := range a.needs {
		if !n.covered {
			n.reason = reason
		}
	}
}

// coverage counts the covered shards and lists the missing ones. A shard with
// attempts in progress is missing because of the deadline.
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

// finish computes the answer and notifies the caller. Further calls do nothing.
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
