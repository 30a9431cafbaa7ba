package relay

import (
	"context"
	"time"

	"hyssophub/fault"
)

// Share is the part of a gathered request that a host asks another one to
// collect.
type Share struct {
	Message  *Message
	Route    string
	Version  uint64
	Services []string
	Top      int
	Attempts int
	Priority int
	// Goal is the response-time objective of the request.
	Goal time.Duration
	// Answer and Left are the times to the answer and to the deadline.
	Answer time.Duration
	Left   time.Duration
}

// Collected is what another host collected of a share.
type Collected struct {
	// Records are the greatest records of the parts, greatest first.
	Records []byte
	Parts   []CollectedPart
	Missing []MissingPart
	// Token names the collection while the missing parts are still asked for;
	// zero once nothing more will come.
	Token uint64
}

// CollectedPart is a part by the index of its service in the share.
type CollectedPart struct {
	Service int
	Seal    string
}

// MissingPart is a part without an answer.
type MissingPart struct {
	Service int
	// Ran is the number of backend servers that may have run it.
	Ran    int
	Reason fault.Reason
	// Tried are the instances that were asked; only the collecting host knows
	// them.
	Tried []string
}

// Link asks other hosts to collect. Its errors carry a verdict.
type Link interface {
	Collect(ctx context.Context, address string, share Share) (Collected, error)
	Rest(ctx context.Context, address string, token uint64) (Collected, error)
}

// delegation is a share that another host collects.
type delegation struct {
	record *record
	helper string
	zone   string
	// address is the helper's address of calls.
	address string
	// parts are the indexes of the record's parts.
	parts []int
	began time.Time
	token uint64
}

func (x *delegation) share() Share {
	r := x.record
	now := time.Now()
	s := Share{
		Message:  r.request.Message,
		Route:    r.request.Route.Name,
		Version:  r.request.View.Set.Version,
		Services: make([]string, len(x.parts)),
		Top:      r.gather.Top,
		Attempts: r.attempts(),
		Priority: r.request.Route.Priority,
		Goal:     r.request.Route.Goal,
		Answer:   r.answerAt.Sub(now) - shareMargin,
		Left:     r.end.Sub(now),
	}
	for i, p := range x.parts {
		s.Services[i] = r.parts[p].service
	}
	return s
}

// shareMargin is the time before the own answer at which a helper answers: the
// way between availability zones and the decoding.
const shareMargin = 4 * time.Millisecond

// settle takes in what a helper collected, or its error.
func (t *Table) settle(x *delegation, c Collected, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := x.record
	// A helper that does not answer in time is left alone for a moment. When
	// the client left early, that shows nothing of the helper.
	if err != nil && (r.ctx.Err() == nil || !now.Before(r.answerAt)) {
		t.hosts.Suspect(x.helper, now)
		t.reach(x.zone, false, now)
	}
	if err == nil {
		t.hosts.ClearSuspect(x.helper)
		t.reach(x.zone, true, now)
	}
	if r.finished {
		return
	}
	if err != nil {
		t.abandon(x, err, now)
	} else {
		t.accept(x, c)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// accept takes over collected parts. If one of them cannot be used, none can:
// their records are merged.
func (t *Table) accept(x *delegation, c Collected) {
	r := x.record
	for _, p := range c.Parts {
		if p.Service < 0 || p.Service >= len(x.parts) || r.parts[x.parts[p.Service]].answer != nil || r.isDuplicate(p.Seal) {
			t.release(x, r.attempts(), fault.ReasonTruncated)
			return
		}
	}
	for _, p := range c.Parts {
		part := &r.parts[x.parts[p.Service]]
		part.answer = &Answered{Seal: p.Seal}
		part.delegation = nil
		r.covered++
		r.ran = true
	}
	if len(c.Parts) > 0 {
		r.collected = append(r.collected, c.Records)
	}
	x.token = c.Token
	for _, m := range c.Missing {
		if m.Service < 0 || m.Service >= len(x.parts) {
			continue
		}
		part := &r.parts[x.parts[m.Service]]
		part.reason = m.Reason
		part.ran, part.arrivals = m.Ran, m.Ran
		r.ran = r.ran || m.Ran > 0
		if c.Token == 0 {
			part.delegation = nil
		}
	}
	if c.Token != 0 {
		r.resting = append(r.resting, x)
	}
}

// abandon gives up on a helper that did not answer. Before the first hedge it
// can have asked one server for each part; later it may have used up all
// attempts.
func (t *Table) abandon(x *delegation, err error, now time.Time) {
	ran := x.record.attempts()
	if _, unsent := fault.VerdictOf(err).(fault.NotRun); unsent {
		ran = 0
	} else if now.Sub(x.began) < time.Duration(hedgeShareMin*float64(x.record.request.Route.Goal)) && x.token == 0 {
		ran = min(1, ran)
	}
	t.release(x, ran, fault.ReasonOf(err))
}

// release hands the open parts of a delegation back to the record.
func (t *Table) release(x *delegation, ran int, reason fault.Reason) {
	r := x.record
	for _, i := range x.parts {
		p := &r.parts[i]
		if p.delegation != x {
			continue
		}
		p.delegation = nil
		p.ran, p.arrivals = ran, ran
		p.reason = reason
		r.ran = r.ran || ran > 0
	}
}

// handOut returns the parts that came in since the last call, for the host that
// asked for them.
func (t *Table) handOut(r *record) Collected {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Collected
	top := newTopRecords(r.gather.Top)
	for i := range r.parts {
		p := &r.parts[i]
		switch {
		case p.answer == nil:
			c.Missing = append(c.Missing, MissingPart{Service: i, Ran: p.ran + len(p.open), Reason: p.lostBy(), Tried: p.tried})
		case !p.handed:
			p.handed = true
			c.Parts = append(c.Parts, CollectedPart{Service: i, Seal: p.answer.Seal})
			top.addAll(p.answer.Body)
		}
	}
	c.Records = top.encode()
	r.progress, r.handedOut = false, true
	return c
}
