package canary

import "time"

// Plan says which version a send goes to.
type Plan struct {
	// Target is the version that the send goes to as a trial; empty if it is none.
	Target string
	// Fallback is the target version if the send may go there when no other server can
	// be chosen: the verdict is due, and the old servers may have stopped. Spare is set if
	// the old ones may be used when no server of the target can be chosen.
	Fallback string
	Spare    bool
}

// Ticket identifies a send that is counted. The zero value is not counted.
type Ticket struct {
	Service  string
	Revision uint64
	Key      Key
	// IsCold is set if the server was cold, or the move has just begun, so that the time
	// says nothing.
	IsCold bool
}

// Plan returns which version the next send of a service goes to.
func (t *Table) Plan(name string, now time.Time) Plan {
	if t.active.Load() == 0 {
		return Plan{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.rollout == nil || s.isDecided() {
		return Plan{}
	}
	r := s.rollout
	switch r.stage.(type) {
	case Moving:
		return Plan{Spare: !r.isHalted}
	case Observing:
		var p Plan
		if !now.Before(r.completeBy()) && !r.isHalted {
			p.Fallback = r.order.Target
		}
		if !r.isHalted && r.takesTarget(t.sharing(r), now) {
			p.Target = r.order.Target
		}
		return p
	}
	return Plan{}
}

// settleTime is the time from the beginning of the move in which all hosts open their
// connections to the servers of the target version.
const settleTime = 500 * time.Millisecond

// Begin counts a send to a server and returns its ticket.
func (t *Table) Begin(service, route, server, zone, version string, isCold bool, now time.Time) Ticket {
	if t.active.Load() == 0 {
		return Ticket{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil || s.rollout == nil || s.isDecided() {
		return Ticket{}
	}
	r := s.rollout
	_, isMove := r.stage.(Moving)
	key := Key{Server: server, Zone: zone, IsTarget: version == r.order.Target, Route: route, IsNear: zone == t.zone, IsMove: isMove}
	r.row(key).Sent++
	r.sent++
	if key.IsTarget {
		r.sentTarget++
	} else {
		r.open++
	}
	return Ticket{Service: service, Revision: r.order.Revision, Key: key, IsCold: isCold || isMove && now.Sub(r.changedAt) < settleTime}
}

func (r *rollout) row(key Key) *row {
	c := r.rows[key]
	if c == nil {
		c = &row{}
		r.rows[key] = c
	}
	return c
}

// End records the result of a send.
func (t *Table) End(ticket Ticket, result Result) {
	if ticket.Revision == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[ticket.Service]
	if s == nil || s.rollout == nil || s.rollout.order.Revision != ticket.Revision {
		return
	}
	r := s.rollout
	if !ticket.Key.IsTarget {
		r.open--
	}
	c := r.row(ticket.Key)
	switch result := result.(type) {
	case Served:
		c.Answers++
		if !ticket.IsCold {
			c.Times[bucketOf(result.Took)]++
		}
	case Failed:
		c.Answers++
		c.Failed++
	case Lost:
		c.Lost++
	case GivenUp:
		if !ticket.IsCold {
			c.Waits[bucketOf(result.After)]++
		}
	case Neutral:
	}
	if ticket.Key.IsTarget && !r.isHalted {
		if judge(r.ownRows(), t.fleet.CountVersion(ticket.Service, r.order.Target)).Log >= logStop {
			r.isHalted = true
			t.publish()
		}
	}
}

func (r *rollout) ownRows() []Row {
	rows := make([]Row, 0, len(r.rows))
	for key, c := range r.rows {
		rows = append(rows, Row{Key: key, Tally: c.Tally})
	}
	return rows
}

// allRows returns the counts of all hosts that reported.
func (r *rollout) allRows() []Row {
	rows := r.ownRows()
	for key, tally := range r.sums {
		rows = append(rows, Row{Key: key, Tally: tally})
	}
	return rows
}

func total(rows []Row) totals {
	var sum totals
	for _, r := range rows {
		sum.sent += int(r.Sent)
		if r.IsTarget {
			sum.sentTarget += int(r.Sent)
			sum.good += int(r.Answers - r.Failed)
		}
	}
	return sum
}
