package member

import (
	"slices"
	"time"
)

// reachAge is the age up to which a store confirmation counts as reaching the
// store. It covers one watch of 500 ms. A larger value would leave hosts not
// fresh for a while at the start of an outage, because the reports that the
// zones lost the store would arrive after the freshness bound of 1.5 s.
const reachAge = 700 * time.Millisecond

// reportPause is the time between two rounds that carry the other zones'
// reports. Hosts need them for freshness only while the store does not
// confirm; in every round they would double a watcher's traffic.
const reportPause = 4 * time.Second

// forget is the silence after which the record of an unlisted host is dropped.
const forget = 10 * time.Second

// HandleHeartbeat takes a heartbeat.
func (t *Table) HandleHeartbeat(b Heartbeat, now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.From.Name == t.self.Name {
		return nil
	}
	var actions []Action
	if t.learnReports(b, now) {
		t.index()
		actions = append(actions, OwnershipChanged{})
	}
	if b.From.Zone == t.self.Zone {
		actions = append(actions, t.hear(b, now)...)
	}
	switch {
	case b.Revision > t.status.Revision:
		actions = append(actions, FetchConfig{From: b.From.Name})
	case b.ConfirmationAge >= 0:
		actions = append(actions, ForwardConfirmation{Heartbeat: b})
	}
	return actions
}

// hear takes a heartbeat from the own zone.
func (t *Table) hear(b Heartbeat, now time.Time) []Action {
	id := b.From.ID()
	r, ok := t.peers[id]
	if !ok {
		r = &record{host: b.From}
		t.peers[id] = r
	}
	if b.Seq <= r.seq {
		return nil
	}
	r.seq, r.heard, r.epoch = b.Seq, now, b.Epoch
	r.leaving = r.leaving || b.Leaving
	r.known = b.RecipientAlive
	if b.From.HeartbeatAddr != "" {
		r.host = b.From
	}
	t.learnEcho(r, b)
	if !r.leaving {
		delete(t.down, id)
	}
	newer := b.Roster != nil && b.Roster.Epoch > t.roster.Epoch
	if newer {
		t.adopt(*b.Roster, now)
	}
	var actions []Action
	if t.settle(now) {
		actions = append(actions, OwnershipChanged{})
	}
	if newer || (b.Epoch < t.roster.Epoch && b.Epoch > 0) {
		actions = append(actions, t.send(now, []Host{t.address(r)})...)
	}
	return actions
}

func (t *Table) address(r *record) Host {
	if h, ok := t.find(r.host.Name); ok {
		return h
	}
	return r.host
}

// learnEcho extends the term by an echo of a heartbeat sent after the last
// pause.
func (t *Table) learnEcho(r *record, b Heartbeat) {
	if b.EchoIncarnation != t.self.Incarnation || b.EchoSeq > t.seq || b.EchoSeq+sentRing <= t.seq {
		return
	}
	sent := t.sent[b.EchoSeq%sentRing]
	if sent.After(r.echoed) && !sent.Before(t.resumed) {
		r.echoed = sent
	}
}

// learnReports keeps newer reports of other zones and returns true if the
// owners there changed.
func (t *Table) learnReports(b Heartbeat, now time.Time) bool {
	moved := false
	for _, report := range b.ZoneReports {
		at := now.Add(-report.Age)
		old, ok := t.zones[report.Zone]
		if report.Zone == t.self.Zone || (ok && !at.After(old.at)) {
			continue
		}
		if !slices.Equal(old.report.NonOwners, report.NonOwners) {
			// The zone's other hosts need new owners at once.
			moved, t.lastReport = true, time.Time{}
		}
		t.zones[report.Zone] = zoneReport{report: report, at: at}
	}
	return moved
}

// sendDue returns the heartbeats that are due.
func (t *Table) sendDue(now time.Time) []Action {
	interval := t.timing.HeartbeatInterval
	if len(t.roster.Members) > wideZone {
		interval = t.timing.SlowHeartbeatInterval
	}
	var to []Host
	// Half a tick absorbs the jitter of the ticks.
	if now.Sub(t.lastSend) >= interval-TickInterval/2 {
		t.lastSend = now
		t.prune(now)
		to = append(to, t.targets()...)
	}
	if now.Sub(t.lastWide) >= t.timing.SlowHeartbeatInterval-TickInterval/2 && t.watches() {
		t.lastWide = now
		t.rounds++
		to = append(to, t.abroad()...)
	}
	if len(to) == 0 {
		return nil
	}
	return t.send(now, to)
}

// prune drops records of hosts that are gone for good.
func (t *Table) prune(now time.Time) {
	for id, r := range t.peers {
		if _, rostered := t.roster.member(id); !rostered && !t.wait[id] && now.Sub(r.heard) > forget {
			delete(t.peers, id)
		}
	}
}

// targets returns the other hosts of the zone: members, listed hosts and
// those heard from.
func (t *Table) targets() []Host {
	seen := map[string]bool{t.self.Name: true}
	var to []Host
	add := func(name string) {
		if seen[name] {
			return
		}
		seen[name] = true
		if h, ok := t.find(name); ok && h.HeartbeatAddr != "" {
			to = append(to, h)
		}
	}
	for _, m := range t.roster.Members {
		add(m.Host.Name)
	}
	for name, h := range t.hints {
		if h.Zone == t.self.Zone {
			add(name)
		}
	}
	for id := range t.peers {
		add(id.Name)
	}
	slices.SortFunc(to, byName)
	return to
}

// abroad returns the watchers of the other zones.
func (t *Table) abroad() []Host {
	zones := make(map[string]bool)
	for _, h := range t.hints {
		zones[h.Zone] = h.Zone != t.self.Zone
	}
	var to []Host
	for zone, other := range zones {
		if !other {
			continue
		}
		w := t.watchers(zone)
		if len(w) == 0 {
			// Two zones that each reported no owners while they started would
			// otherwise never hear from each other again.
			w = t.listed(zone)
		}
		// The rounds alternate between the watchers of a zone.
		if h := w[t.rounds%uint64(len(w))]; h.HeartbeatAddr != "" {
			to = append(to, h)
		}
	}
	slices.SortFunc(to, byName)
	return to
}

func byName(a, b Host) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// send returns one round of heartbeats.
func (t *Table) send(now time.Time, to []Host) []Action {
	t.seq++
	t.sent[t.seq%sentRing] = now
	base := Heartbeat{
		From:            Host{Name: t.self.Name, Zone: t.self.Zone, Incarnation: t.self.Incarnation},
		Seq:             t.seq,
		Epoch:           t.roster.Epoch,
		Revision:        t.status.Revision,
		ConfirmationAge: -1,
		Leaving:         t.leaving,
	}
	if !t.status.ConfirmedAt.IsZero() {
		base.ConfirmationAge = now.Sub(t.status.ConfirmedAt)
	}
	if _, in := t.roster.member(t.self.ID()); !in {
		// Members may not know a newcomer's addresses yet.
		base.From = t.self
	}
	home, abroad := t.reports(now)
	actions := make([]Action, 0, len(to))
	for _, h := range to {
		b := base
		if h.Zone == t.self.Zone {
			b.ZoneReports = home
			t.answer(&b, h)
		} else {
			b.ZoneReports = abroad
		}
		actions = append(actions, SendHeartbeat{To: h, Heartbeat: b})
	}
	return actions
}

// answer adds what depends on the recipient: the echo, if it is a member, and
// the roster, if it has an older one.
func (t *Table) answer(b *Heartbeat, to Host) {
	r, ok := t.newest(to.Name)
	if !ok {
		return
	}
	b.RecipientAlive = t.lastTick.Sub(r.heard) < t.timing.SuspectAfter
	if _, in := t.roster.member(r.host.ID()); in {
		b.EchoIncarnation, b.EchoSeq = r.host.Incarnation, r.seq
	}
	if r.epoch < t.roster.Epoch {
		roster := t.roster
		b.Roster = &roster
	}
}

// reports returns what a watcher tells its own zone and the others.
func (t *Table) reports(now time.Time) (home, abroad []ZoneReport) {
	if !t.watches() {
		return nil, nil
	}
	confirmed := !t.status.ConfirmedAt.IsZero() && now.Sub(t.status.ConfirmedAt) < reachAge
	if !confirmed || now.Sub(t.lastReport) >= reportPause {
		t.lastReport = now
		for _, z := range t.zones {
			report := z.report
			report.Age = now.Sub(z.at)
			if report.Age < forget {
				home = append(home, report)
			}
		}
	}
	slices.SortFunc(home, func(a, b ZoneReport) int { return byName(Host{Name: a.Zone}, Host{Name: b.Zone}) })
	own := ZoneReport{Zone: t.self.Zone, StoreReachable: confirmed}
	live := t.live(t.self.Zone)
	for _, h := range t.hints {
		if h.Zone == t.self.Zone && !slices.ContainsFunc(live, func(l Host) bool { return l.Name == h.Name }) {
			own.NonOwners = append(own.NonOwners, h.Name)
		}
	}
	slices.Sort(own.NonOwners)
	return home, []ZoneReport{own}
}
