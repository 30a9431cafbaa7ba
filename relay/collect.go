package relay

import (
	"context"
	"time"

	"hyssophub/fault"
	"hyssophub/rules"
)

// lingerTime is how long the missing parts of a collection are asked for
// without the other host waiting for them.
const lingerTime = 40 * time.Millisecond

// lingering is a collection whose rest was not asked for yet.
type lingering struct {
	record *record
	timer  *time.Timer
}

// Collect gathers the parts of a share for another host. It returns at the
// time of the answer with what is in; the missing parts are asked for on as
// long as the other host calls Rest.
func (e *Engine) Collect(ctx context.Context, share Share) (Collected, error) {
	view := e.rules.View()
	now := time.Now()
	switch {
	case view == nil:
		return Collected{}, fault.New(fault.NotRun{}, fault.ReasonStaleConfiguration, "host %s has no rules", e.options.Host)
	case share.Left <= 0:
		return Collected{}, fault.New(fault.NotRun{}, fault.ReasonDeadline, "deadline is past")
	case !e.active.Enter():
		return Collected{}, fault.New(fault.NotRun{}, fault.ReasonStopping, "host %s is stopping", e.options.Host)
	}
	r := e.newRecord(e.ctx, Request{
		Message: share.Message,
		View:    view,
		Route: &rules.Route{
			Name:     share.Route,
			Target:   rules.Gather{Services: share.Services, Top: share.Top},
			Repeat:   rules.Idempotent{},
			Goal:     share.Goal,
			Attempts: share.Attempts,
			Priority: share.Priority,
		},
		Arrived:  now,
		Deadline: now.Add(share.Left + endMargin),
	})
	r.collecting = true
	r.answerAt = now.Add(share.Answer)
	return e.collect(ctx, r, e.table.begin(r, now)), nil
}

// Rest waits for the next of the missing parts of a collection.
func (e *Engine) Rest(ctx context.Context, token uint64) (Collected, error) {
	e.mu.Lock()
	l := e.lingers[token]
	delete(e.lingers, token)
	e.mu.Unlock()
	if l == nil || !l.timer.Stop() {
		return Collected{}, fault.New(fault.MayHaveRun{}, fault.ReasonUnknownService, "collection %d has ended", token)
	}
	return e.collect(ctx, l.record, e.table.step(l.record, time.Now())), nil
}

// collect runs a collection until parts are to be handed out.
func (e *Engine) collect(ctx context.Context, r *record, step effects) Collected {
	stop := context.AfterFunc(ctx, r.cancel)
	_ = e.run(r, step)
	c := e.table.handOut(r)
	if !stop() || len(c.Missing) == 0 || e.table.isOver(r, time.Now()) {
		e.end(r)
		return c
	}
	c.Token = e.linger(r)
	return c
}

// linger keeps a collection until its rest is asked for.
func (e *Engine) linger(r *record) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.token++
	token := e.token
	l := &lingering{record: r}
	l.timer = time.AfterFunc(lingerTime, func() {
		e.mu.Lock()
		delete(e.lingers, token)
		e.mu.Unlock()
		e.end(r)
	})
	e.lingers[token] = l
	return token
}

// end cancels what a collection still asks for.
func (e *Engine) end(r *record) {
	_ = e.table.finish(r)
	r.endCalls()
	r.cancel()
	e.active.Leave()
}

// isOver reports whether no more parts can come in.
func (t *Table) isOver(r *record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(r.end) || r.lost() == len(r.parts)-r.covered || r.ctx.Err() != nil
}
