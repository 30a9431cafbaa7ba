package relay

import (
	"context"
	"time"

	"hyssophub/fault"
)

// CollectRequest asks another host to collect parts of a gathered request.
type CollectRequest struct {
	Message *Message
	Route   string
	// Version is the version of the rules on the host that asks, for logs.
	Version     uint64
	Services    []string
	TopK        int
	MaxAttempts int
	// Account is the name of the client account; empty if the request has none.
	Account  string
	Priority int
	// TargetLatency is the response-time objective of the request.
	TargetLatency time.Duration
	// TimeToAnswer is the time left until the answer is due, TimeToDeadline the
	// time left until the request ends.
	TimeToAnswer   time.Duration
	TimeToDeadline time.Duration
	// Spread lets the host delegate parts to other hosts of its availability zone.
	Spread bool
}

// PartialResult is what a helper has collected since it last reported.
type PartialResult struct {
	// Records are the greatest records of the answered parts, in descending
	// order.
	Records []byte
	Parts   []CollectedPart
	Missing []MissingPart
	// Request is what the collection is for, in the result after an early one. It is set
	// only on the host that collects, for its log.
	Request *CollectRequest
	// Token identifies the collection while further parts may be answered; zero
	// once it has ended.
	Token uint64
}

// CollectedPart is an answered part. Index is the index of its service in the
// CollectRequest.
type CollectedPart struct {
	Index int
	Seal  string
}

// MissingPart is a part without an answer. Index is the index of its service
// in the CollectRequest.
type MissingPart struct {
	Index int
	// PossibleRuns is the number of backend servers that may have run the part.
	PossibleRuns int
	Reason       fault.Reason
	// Tried lists the instances that the part was sent to, and Held is why no further
	// exchange was started; nil if one was. They are set only on the host that
	// collects.
	Tried []string
	Held  Hold
}

// HelperClient calls other hosts to collect parts. CollectMore waits for
// further parts of a collection that Collect started. Errors carry a verdict.
type HelperClient interface {
	Collect(ctx context.Context, address string, request CollectRequest) (PartialResult, error)
	CollectMore(ctx context.Context, address string, token uint64) (PartialResult, error)
}

// delegation is a set of parts that a helper collects.
type delegation struct {
	state  *requestState
	helper string
	zone   string
	// address is the network address for calls to the helper.
	address string
	// parts are indexes into the parts of the request.
	parts []int
	// spread lets the helper delegate parts to other hosts of its zone.
	spread bool
	// isNeighbour is set if the helper is in the zone of this host.
	isNeighbour bool
	// hasResult is set once the helper has answered, or counts as lost.
	hasResult bool
	// isSecond is set if another helper refused the parts before.
	isSecond bool
	// margin is the time by which the helper answers before this host does.
	margin time.Duration
	began  time.Time
	// token identifies the collection on the helper; zero before its first
	// partial result and once the collection has ended.
	token uint64
}

func (x *delegation) collectRequest() CollectRequest {
	r := x.state
	now := time.Now()
	s := CollectRequest{
		Message:        r.request.Message,
		Route:          r.request.Route.Name,
		Version:        r.request.View.Set.Version,
		Services:       make([]string, len(x.parts)),
		TopK:           r.gather.TopK,
		MaxAttempts:    r.attempts(),
		Account:        r.account(),
		Priority:       r.request.Priority(),
		TargetLatency:  r.request.Route.TargetLatency,
		TimeToAnswer:   r.answerAt.Sub(now) - x.margin,
		TimeToDeadline: r.end.Sub(now),
		Spread:         x.spread,
	}
	for i, p := range x.parts {
		s.Services[i] = r.parts[p].service
	}
	return s
}

// A helper answers before this host does by a margin that covers the network,
// helperMargin in another availability zone and neighbourMargin in the own one, and the
// processing of the results of all helpers, which arrive at the same time: resultTime
// on a whole core for each.
const (
	helperMargin    = 3 * time.Millisecond
	neighbourMargin = 1500 * time.Microsecond
	resultTime      = 300 * time.Microsecond
)

// setMargins sets the margins of the delegations of a request on a host with a
// processor share in thousandths of a core. A helper gets at least half of the time that
// is left, however slow this host is.
func setMargins(delegations []*delegation, weight int) {
	processing := timeOn(weight, time.Duration(len(delegations))*resultTime)
	for _, x := range delegations {
		x.margin = processing + helperMargin
		if x.isNeighbour {
			x.margin = processing + neighbourMargin
		}
		x.margin = min(x.margin, max(0, x.state.answerAt.Sub(x.began)/2))
	}
}

// recordPartialResult applies the result or the error of a call to a helper.
func (t *Table) recordPartialResult(x *delegation, c PartialResult, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := x.state
	t.judgeHelper(x, err, now)
	if r.finished {
		return
	}
	if err != nil {
		t.failDelegation(x, err, now)
	} else {
		t.acceptParts(x, c)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// judgeHelper records what a result says about a helper. No further parts are delegated
// to it for a while if it did not answer, or answered only when its parts were of no
// use any more. A late result on a host that is itself late says nothing, and neither
// does one of a request that was late before the call or nearly so, an error after the
// client has left or a call that this host did not make.
func (t *Table) judgeHelper(x *delegation, err error, now time.Time) {
	r := x.state
	isFirst := !x.hasResult
	x.hasResult = true
	switch {
	case err == nil && !isFirst:
		t.recordReach(x.zone, true, now)
	case err == nil:
		t.recordReach(x.zone, true, now)
		if now.After(r.answerAt) && x.began.Add(lateAnswerTime).Before(r.answerAt) && t.recentLag(now) < lateLagLimit {
			t.hosts.Suspect(x.helper, now)
		} else {
			t.hosts.ClearSuspect(x.helper)
		}
	case fault.ReasonOf(err) == fault.ReasonOverload:
	case r.ctx.Err() == nil || !now.Before(r.answerAt):
		t.hosts.Suspect(x.helper, now)
		t.recordReach(x.zone, false, now)
	}
}

// lateLagLimit is the lag of this host up to which a late result is the helper's fault.
const lateLagLimit = 5 * time.Millisecond

// helperPatience is the time after the answer was due, and after the parts were delegated,
// at which a helper without any result counts as lost. Its parts would else be waited for
// until the deadline.
const helperPatience = 100 * time.Millisecond

// releaseLost takes back the parts of helpers that count as lost. A helper may have used
// all attempts of its parts, also if its zone does not answer: it may be slow and not cut
// off, or have sent them to other zones before.
func (t *Table) releaseLost(r *requestState, now time.Time, a *actions) {
	for i := range r.parts {
		x := r.parts[i].delegation
		if x == nil || x.hasResult {
			continue
		}
		// The answer of a request that reached this host late may be due already.
		lostAt := r.answerAt.Add(helperPatience)
		if earliest := x.began.Add(helperPatience); lostAt.Before(earliest) {
			lostAt = earliest
		}
		if now.Before(lostAt) {
			a.wakeBy(lostAt)
			continue
		}
		x.hasResult = true
		t.hosts.Suspect(x.helper, now)
		t.recordReach(x.zone, false, now)
		t.releaseParts(x, r.attempts(), fault.ReasonDeadline)
	}
}

// acceptParts applies a partial result. If one of its parts cannot be used, all
// are rejected, because their records are already merged. A helper that has ended
// the collection without a word on a part may have used all its attempts. What a helper
// reports of parts that were taken back from it is ignored: it may go on with them.
func (t *Table) acceptParts(x *delegation, c PartialResult) {
	r := x.state
	if !r.isAcceptable(x, c.Parts) {
		t.releaseParts(x, r.attempts(), fault.ReasonTruncated)
		return
	}
	for _, p := range c.Parts {
		part := &r.parts[x.parts[p.Index]]
		part.answer = &Answered{Seal: p.Seal}
		part.delegation = nil
		r.answered++
		r.mayHaveRun = true
	}
	if len(c.Parts) > 0 {
		r.collectedRecords = append(r.collectedRecords, c.Records)
		r.hasNew = true
	}
	x.token = c.Token
	isOpen := false
	for _, m := range c.Missing {
		if m.Index < 0 || m.Index >= len(x.parts) || r.parts[x.parts[m.Index]].delegation != x {
			continue
		}
		isOpen = true
		part := &r.parts[x.parts[m.Index]]
		part.reason = m.Reason
		part.possibleRuns, part.deliveries = m.PossibleRuns, m.PossibleRuns
		r.mayHaveRun = r.mayHaveRun || m.PossibleRuns > 0
		if c.Token == 0 {
			part.delegation = nil
		}
	}
	if c.Token != 0 && isOpen {
		r.incomplete = append(r.incomplete, x)
		return
	}
	t.releaseParts(x, r.attempts(), fault.ReasonInternal)
}

// isAcceptable reports whether all parts that a helper reports as answered belong to
// its delegation, are still open, and have different seals.
func (r *requestState) isAcceptable(x *delegation, parts []CollectedPart) bool {
	seals := make(map[string]bool, len(parts))
	indexes := make(map[int]bool, len(parts))
	for _, p := range parts {
		if p.Index < 0 || p.Index >= len(x.parts) || indexes[p.Index] || seals[p.Seal] {
			return false
		}
		if r.parts[x.parts[p.Index]].delegation != x || r.isDuplicate(p.Seal) {
			return false
		}
		indexes[p.Index], seals[p.Seal] = true, true
	}
	return true
}

// failDelegation takes back the parts of a helper that did not answer. The helper may
// have used all attempts, however early the call failed: it asks a second server as soon
// as the first one fails.
func (t *Table) failDelegation(x *delegation, err error, now time.Time) {
	possibleRuns := x.state.attempts()
	// With a token, the helper has sent parts before this call.
	if _, unsent := fault.VerdictOf(err).(fault.NotRun); unsent && x.token == 0 {
		if t.redelegate(x, now) {
			return
		}
		possibleRuns = 0
	}
	t.releaseParts(x, possibleRuns, fault.ReasonOf(err))
}

// redelegate delegates the parts of a helper that refused them to another host of its
// zone, once, and reports whether there is one. Sending them all from this host would
// take longer and, from another zone, many times the bytes.
func (t *Table) redelegate(x *delegation, now time.Time) bool {
	helpers := t.hosts.AvailableHosts(x.zone, now)
	if x.isSecond || len(helpers) == 0 || len(x.parts) < minRemoteParts {
		return false
	}
	second := t.delegate(x.state, x.parts, t.selectCoordinator(x.zone, helpers), now)
	second.spread, second.isSecond, second.margin = x.spread, true, x.margin
	x.state.redelegations = append(x.state.redelegations, second)
	return true
}

// releaseParts takes back the unanswered parts of a delegation, so that this
// host sends them itself. possibleRuns is the number of servers that may have
// run each of them.
func (t *Table) releaseParts(x *delegation, possibleRuns int, reason fault.Reason) {
	r := x.state
	for _, i := range x.parts {
		p := &r.parts[i]
		if p.delegation != x {
			continue
		}
		p.delegation = nil
		p.possibleRuns, p.deliveries = possibleRuns, possibleRuns
		p.reason = reason
		r.mayHaveRun = r.mayHaveRun || possibleRuns > 0
	}
}

// nextPartialResult returns the parts that were answered since the last partial
// result, for the host that asked for them.
func (t *Table) nextPartialResult(r *requestState) PartialResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c PartialResult
	top := newTopRecords(r.gather.TopK)
	for i := range r.parts {
		p := &r.parts[i]
		switch {
		case p.answer == nil:
			c.Missing = append(c.Missing, MissingPart{Index: i, PossibleRuns: r.possibleRuns(p), Reason: p.missingReason(), Tried: p.tried, Held: p.held})
		case !p.reported:
			p.reported = true
			c.Parts = append(c.Parts, CollectedPart{Index: i, Seal: p.answer.Seal})
			top.addAll(p.answer.Body)
		}
	}
	for _, records := range r.collectedRecords[r.reportedRecords:] {
		top.addAll(records)
	}
	r.reportedRecords = len(r.collectedRecords)
	c.Records = top.encode()
	if r.reported {
		c.Request, r.collected = r.collected, nil
	}
	r.hasNew, r.reported = false, true
	return c
}
