package canary

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

var (
	logStop  = math.Log(stopEvidence)
	logFinal = math.Log(finalEvidence)
)

const (
	// takeoverDelay is the time after which the second host in order decides what the
	// first one did not.
	takeoverDelay = 700 * time.Millisecond
	// writeStagger is the time between the first writes of two hosts that follow each
	// other in order, while the status is not in the store.
	writeStagger = 1500 * time.Millisecond
	// writePause is the time between two writes of a host.
	writePause = 600 * time.Millisecond
	// reportPause is the least time between two reports of a host, and reportTime the
	// time between two reports of all counts. perHost and perHostFull are added to them for
	// each host, so that the deciding hosts are not flooded.
	reportPause = 250 * time.Millisecond
	reportTime  = time.Second
	perHost     = time.Millisecond
	perHostFull = 10 * time.Millisecond
	// deciders is the number of hosts that get the reports.
	deciders = 2
	// writers is the number of hosts that may write the status.
	writers = 8
)

// duty is what this host does for a roll-out beyond its own requests.
type duty struct {
	// ranks are the live hosts in the order in which they decide, as of epoch.
	ranks []Member
	epoch uint64
	// self is the index of this host in ranks; -1 if it has not joined.
	self       int
	nextReport time.Time
	lastReport time.Time
	nextWrite  time.Time
	// decidesSince is when this host became one of those that get the reports; zero while
	// it is none.
	decidesSince time.Time
	// told is the stage that all hosts were told of by this one, and shown the one that
	// was logged.
	told  int
	shown int
}

// Action is what is to be done for a roll-out. The interface is sealed.
type Action interface{ action() }

type (
	// Tell sends a report to other hosts.
	Tell struct {
		Addresses []string
		Report    Report
	}
	// Write writes a status to the store, on the condition that the order and the status
	// there have the given revisions. A revision of zero means that there is none.
	Write struct {
		Status         Status
		OrderRevision  uint64
		StatusRevision uint64
	}
	// Entered says, for logs, that the roll-out has entered a stage on this host.
	Entered struct{ Summary Summary }
)

func (Tell) action()    {}
func (Write) action()   {}
func (Entered) action() {}

// Tick returns what is to be done now. It is to be called several times a second.
func (t *Table) Tick(now time.Time) []Action {
	if t.active.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var actions []Action
	for _, name := range t.sortedServices() {
		s := t.services[name]
		if s.rollout == nil || s.isDecided() {
			continue
		}
		actions = append(actions, t.tick(s, now)...)
	}
	t.publish()
	return actions
}

func (t *Table) sortedServices() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *Table) tick(s *service, now time.Time) []Action {
	r := s.rollout
	t.rank(r, now)
	var actions []Action
	t.decide(r, now)
	if rank := rankOf(r.stage); rank > r.duty.shown {
		r.duty.shown = rank
		actions = append(actions, Entered{Summary: t.summary(s, now)})
	}
	if w, ok := t.write(s, now); ok {
		actions = append(actions, w)
	}
	return append(actions, t.report(r, now)...)
}

// rank sets the order in which the hosts decide.
func (t *Table) rank(r *rollout, now time.Time) {
	d := &r.duty
	if d.ranks != nil && d.epoch == t.epoch {
		return
	}
	d.epoch, d.self = t.epoch, -1
	d.ranks = slices.DeleteFunc(slices.Clone(t.members), func(m Member) bool { return !m.Live || !m.Joined })
	slices.SortFunc(d.ranks, func(a, b Member) int {
		left, right := hash(r.order.Service, a.Name), hash(r.order.Service, b.Name)
		return cmp.Or(cmp.Compare(right, left), strings.Compare(a.Name, b.Name))
	})
	d.self = slices.IndexFunc(d.ranks, func(m Member) bool { return m.Name == t.host })
	switch isDecider := d.self >= 0 && d.self < deciders; {
	case !isDecider:
		d.decidesSince = time.Time{}
	case d.decidesSince.IsZero():
		d.decidesSince = now
	}
}

// decide changes the stage if it is this host's duty.
func (t *Table) decide(r *rollout, now time.Time) {
	d := &r.duty
	if d.self < 0 || d.self >= deciders || rankOf(r.stage) >= rankOf(RolledBack{}) {
		return
	}
	rows := r.allRows()
	servers := t.fleet.CountVersion(r.order.Service, r.order.Target)
	evidence := judge(rows, servers)
	if evidence.Log >= logStop {
		r.enter(RolledBack{}, evidence.String(), now)
		return
	}
	if _, isMoving := r.stage.(Moving); isMoving {
		if t.isMoved(r, now) && evidence.Log >= logFinal {
			r.enter(RolledBack{}, "at the end of the move, "+evidence.String(), now)
		}
		return
	}
	wait := time.Duration(d.self) * takeoverDelay
	sum := total(rows)
	moveAt := r.completeBy().Add(-r.moveTime(sum, now)).Add(wait)
	switch deadline := r.since.Add(r.order.Duration).Add(wait); {
	case now.Before(moveAt), now.Before(d.decidesSince.Add(t.fullReportTime())):
	case evidence.Log >= logFinal:
		r.enter(RolledBack{}, "at the end of the observation, "+evidence.String(), now)
	case servers > 0 && (sum.good > 0 || sum.sent == 0):
		r.enter(Moving{}, "", now)
	case now.Before(deadline):
		// The first answers of the target version may still come.
	default:
		r.enter(RolledBack{}, fmt.Sprintf("no good answer of %d servers of the target version", servers), now)
	}
}

// write returns the status that this host is to write to the store.
func (t *Table) write(s *service, now time.Time) (Write, bool) {
	r := s.rollout
	d := &r.duty
	if d.self < 0 || d.self >= writers || now.Before(d.nextWrite) {
		return Write{}, false
	}
	stage, due := r.stage, r.changedAt
	switch r.stage.(type) {
	case Observing:
		if s.isOfOrder() {
			return Write{}, false
		}
		due = r.since
	case Moving:
		if !t.isMoved(r, now) {
			return Write{}, false
		}
		stage, due = Complete{}, r.changedAt.Add(moveMin)
	case RolledBack, Complete:
	}
	if now.Before(due.Add(time.Duration(d.self) * writeStagger)) {
		return Write{}, false
	}
	d.nextWrite = now.Add(writePause)
	return Write{
		Status:         Status{Service: r.order.Service, Target: r.order.Target, Stage: stage},
		OrderRevision:  r.order.Revision,
		StatusRevision: s.status.Revision,
	}, true
}

// isMoved reports whether the verdict is due, and no request is on its way to an old server
// as far as the hosts reported, or confirmTime has passed. Until then the old servers can
// take the requests back.
func (t *Table) isMoved(r *rollout, now time.Time) bool {
	due := r.completeBy()
	if earliest := r.changedAt.Add(moveMin); due.Before(earliest) {
		due = earliest
	}
	if !now.Before(due.Add(confirmTime)) {
		return true
	}
	if now.Before(due) || r.open > 0 || r.duty.self >= deciders {
		return false
	}
	confirmed := make(map[string]bool, len(r.peers))
	for from, p := range r.peers {
		if _, isMoving := p.stage.(Moving); isMoving && p.open == 0 {
			confirmed[from.host] = true
		}
	}
	for _, m := range t.members {
		if m.Live && m.Name != t.host && !confirmed[m.Name] {
			return false
		}
	}
	return true
}

// Conflict applies the result of a Write whose conditions did not hold: the revision of the
// order in the store, and the status there, whose Stage is nil if there is none.
func (t *Table) Conflict(w Write, orderRevision uint64, status Status, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[w.Status.Service]
	if s == nil || s.rollout == nil || s.rollout.order.Revision != w.OrderRevision || orderRevision != w.OrderRevision {
		// The change of the order arrives with those of the store.
		return
	}
	if status.Stage == nil {
		// There is none, or one that cannot be read.
		s.status.Revision = status.Revision
		return
	}
	// Of a store that was restored, the revision may be below the known one.
	s.status.Revision = 0
	t.setStatus(status, now)
}

// Written applies the result of a Write that took effect: the status has the given
// revision. A write without this result is repeated.
func (t *Table) Written(w Write, revision uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Status.Revision = revision
	t.setStatus(w.Status, now)
}

// report returns the reports to send: counts to the deciding hosts, and a new stage to all.
func (t *Table) report(r *rollout, now time.Time) []Action {
	d := &r.duty
	var actions []Action
	if rank := rankOf(r.stage); rank > d.told {
		d.told = rank
		if d.self >= 0 && d.self < deciders {
			var all []string
			for _, m := range t.members {
				if m.Live && m.Name != t.host && m.Address != "" {
					all = append(all, m.Address)
				}
			}
			actions = append(actions, Tell{Addresses: all, Report: t.bare(r, now)})
		} else {
			// The deciding hosts learn at once that this host has followed.
			d.nextReport = now
		}
	}
	if now.Before(d.nextReport) {
		return actions
	}
	var addresses []string
	for i, m := range d.ranks[:min(deciders, len(d.ranks))] {
		if i != d.self && m.Address != "" {
			addresses = append(addresses, m.Address)
		}
	}
	isFull := now.Sub(d.lastReport) >= t.fullReportTime()
	rows := r.changedRows(isFull)
	_, isMoving := r.stage.(Moving)
	if len(addresses) == 0 || (len(rows) == 0 && !isFull && !isMoving) {
		return actions
	}
	d.nextReport = now.Add(reportPause + time.Duration(len(t.members))*perHost)
	if isFull {
		d.lastReport = now
	}
	for first := true; first || len(rows) > 0; first = false {
		n := min(maxRows, len(rows))
		report := t.bare(r, now)
		report.Rows, rows = rows[:n], rows[n:]
		actions = append(actions, Tell{Addresses: addresses, Report: report})
	}
	return actions
}

// fullReportTime is the time in which each host reports all of its counts: a host that has
// decided for less may not have them.
func (t *Table) fullReportTime() time.Duration {
	return reportTime + time.Duration(len(t.members))*perHostFull
}

// maxRows is the number of rows of which a report fits into a datagram of 1,400 bytes.
const maxRows = 10

// changedRows returns the rows that changed since the last report, or all of them.
func (r *rollout) changedRows(all bool) []Row {
	var rows []Row
	for key, c := range r.rows {
		if all || c.Tally != c.reported {
			c.reported = c.Tally
			rows = append(rows, Row{Key: key, Tally: c.Tally})
		}
	}
	return rows
}

// bare returns a report without counts.
func (t *Table) bare(r *rollout, now time.Time) Report {
	return Report{
		Host:        t.host,
		Incarnation: t.incarnation,
		Service:     r.order.Service,
		Target:      r.order.Target,
		Revision:    r.order.Revision,
		Age:         now.Sub(r.since),
		Stage:       r.stage,
		Reason:      r.reason,
		Open:        r.open,
		Senders:     t.countSenders(r),
	}
}

// countSenders returns the number of hosts that send to the service; zero on a host that
// gets no reports.
func (t *Table) countSenders(r *rollout) int {
	if r.duty.self < 0 || r.duty.self >= deciders {
		return 0
	}
	count := 0
	if r.sent > 0 {
		count++
	}
	for _, p := range r.peers {
		if p.sent > 0 {
			count++
		}
	}
	return max(1, count)
}

// Hear applies a report of another host. It returns the reply to send, if the other host
// is at an earlier stage, or reports to this one as a deciding host.
func (t *Table) Hear(report Report, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[report.Service]
	if s == nil || s.rollout == nil || s.rollout.order.Revision != report.Revision || s.rollout.order.Target != report.Target {
		// The order, or its end, is not known here yet; the store tells.
		return Report{}, false
	}
	r := s.rollout
	if since := now.Add(-report.Age); since.Before(r.since) {
		r.since = since
	}
	from := source{host: report.Host, incarnation: report.Incarnation}
	p := r.peers[from]
	if p == nil {
		p = &peer{rows: make(map[Key]Tally)}
		r.peers[from] = p
	}
	p.stage, p.open = report.Stage, report.Open
	for _, row := range report.Rows {
		before := p.rows[row.Key]
		after := before.max(row.Tally)
		p.rows[row.Key] = after
		p.sent += after.Sent - before.Sent
		r.sums[row.Key] = r.sums[row.Key].plus(after, before)
	}
	if _, isComplete := report.Stage.(Complete); !isComplete && !s.isDecided() && r.enter(report.Stage, report.Reason, now) {
		t.publish()
	}
	r.senders = max(r.senders, report.Senders)
	isDecider := r.duty.self >= 0 && r.duty.self < deciders
	return t.bare(r, now), rankOf(report.Stage) < rankOf(r.stage) || (isDecider && report.Senders == 0)
}
