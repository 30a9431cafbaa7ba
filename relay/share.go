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
	Priority    int
	// TargetLatency is the response-time objective of the request.
	TargetLatency time.Duration
	// TimeToAnswer is the time left until the answer is due, TimeToDeadline the
	// time left until the request ends.
	TimeToAnswer   time.Duration
	TimeToDeadline time.Duration
}

// PartialResult is what a helper has collected since it last reported.
type PartialResult struct {
	// Records are the greatest records of the answered parts, in descending
	// order.
	Records []byte
	Parts   []CollectedPart
	Missing []MissingPart
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
	// Tried lists the instances that the part was sent to. It is set only on
	// the host that collects.
	Tried []string
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
	began time.Time
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
		Priority:       r.request.Route.Priority,
		TargetLatency:  r.request.Route.TargetLatency,
		TimeToAnswer:   r.answerAt.Sub(now) - helperMargin,
		TimeToDeadline: r.end.Sub(now),
	}
	for i, p := range x.parts {
		s.Services[i] = r.parts[p].service
	}
	return s
}

// helperMargin is the time by which a helper answers before this host does. It
// covers the network between availability zones and the decoding.
const helperMargin = 4 * time.Millisecond

// recordPartialResult applies the result or the error of a call to a helper.
func (t *Table) recordPartialResult(x *delegation, c PartialResult, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := x.state
	// No further parts are delegated to a helper for a while if it did not
	// answer in time. If the client left before the answer was due, the error
	// says nothing about the helper.
	if err != nil && (r.ctx.Err() == nil || !now.Before(r.answerAt)) {
		t.hosts.Suspect(x.helper, now)
		t.recordReach(x.zone, false, now)
	}
	if err == nil {
		t.hosts.ClearSuspect(x.helper)
		t.recordReach(x.zone, true, now)
	}
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

// acceptParts applies a partial result. If one of its parts cannot be used, all
// are rejected, because their records are already merged.
func (t *Table) acceptParts(x *delegation, c PartialResult) {
	r := x.state
	for _, p := range c.Parts {
		if p.Index < 0 || p.Index >= len(x.parts) || r.parts[x.parts[p.Index]].answer != nil || r.isDuplicate(p.Seal) {
			t.releaseParts(x, r.attempts(), fault.ReasonTruncated)
			return
		}
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
	}
	x.token = c.Token
	for _, m := range c.Missing {
		if m.Index < 0 || m.Index >= len(x.parts) {
			continue
		}
		part := &r.parts[x.parts[m.Index]]
		part.reason = m.Reason
		part.possibleRuns, part.deliveries = m.PossibleRuns, m.PossibleRuns
		r.mayHaveRun = r.mayHaveRun || m.PossibleRuns > 0
		if c.Token == 0 {
			part.delegation = nil
		}
	}
	if c.Token != 0 {
		r.incomplete = append(r.incomplete, x)
	}
}

// failDelegation takes back the parts of a helper that did not answer. Before
// the earliest time of a hedge, the helper can have sent each part to one
// server only; later it may have used all attempts.
func (t *Table) failDelegation(x *delegation, err error, now time.Time) {
	possibleRuns := x.state.attempts()
	if _, unsent := fault.VerdictOf(err).(fault.NotRun); unsent {
		possibleRuns = 0
	} else if now.Sub(x.began) < time.Duration(hedgeMinShare*float64(x.state.request.Route.TargetLatency)) && x.token == 0 {
		possibleRuns = min(1, possibleRuns)
	}
	t.releaseParts(x, possibleRuns, fault.ReasonOf(err))
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
			c.Missing = append(c.Missing, MissingPart{Index: i, PossibleRuns: p.possibleRuns + len(p.open), Reason: p.missingReason(), Tried: p.tried})
		case !p.reported:
			p.reported = true
			c.Parts = append(c.Parts, CollectedPart{Index: i, Seal: p.answer.Seal})
			top.addAll(p.answer.Body)
		}
	}
	c.Records = top.encode()
	r.hasNew, r.reported = false, true
	return c
}
