package member

import (
	"slices"
	"time"
)

// maxConfirmationAge is the age up to which a store confirmation shows that the
// store is reachable. It covers one watch of 500 ms. With a larger value, hosts
// would lack a fresh configuration for a while at the start of an outage,
// because the reports that the zones lost the store would arrive after the
// freshness bound of 1.5 s.
const maxConfirmationAge = 700 * time.Millisecond

// reportInterval is the time between two rounds within the zone that carry the
// other zones' reports. Hosts need the reports for freshness only while the
// store does not confirm the configuration; in every round the reports would
// double a watcher's traffic.
const reportInterval = 4 * time.Second

// peerRetention is the time without a heartbeat after which the state of a host
// that is not in the roster is dropped, and the age after which the report of
// another zone is no longer relayed.
const peerRetention = 10 * time.Second

// HandleHeartbeat processes a heartbeat from any zone and returns the resulting
// actions.
func (t *Table) HandleHeartbeat(b Heartbeat, now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.From.Name == t.self.Name {
		return nil
	}
	var actions []Action
	if t.recordReports(b, now) {
		t.computeOwners()
		actions = append(actions, OwnershipChanged{})
	}
	if b.From.Zone == t.self.Zone {
		actions = append(actions, t.handleZoneHeartbeat(b, now)...)
	}
	switch {
	case b.Revision > t.config.Revision:
		actions = append(actions, FetchConfig{From: b.From.Name})
	case b.ConfirmationAge >= 0:
		actions = append(actions, ForwardConfirmation{Heartbeat: b})
	}
	return actions
}

// handleZoneHeartbeat processes a heartbeat from a host of this zone.
// Heartbeats that arrive out of order are ignored.
func (t *Table) handleZoneHeartbeat(b Heartbeat, now time.Time) []Action {
	id := b.From.ID()
	p, ok := t.peers[id]
	if !ok {
		p = &peerState{host: b.From}
		t.peers[id] = p
	}
	if b.Seq <= p.lastSeq {
		return nil
	}
	p.lastSeq, p.receivedAt, p.epoch = b.Seq, now, b.Epoch
	p.leaving = p.leaving || b.Leaving
	p.selfAlive = b.RecipientAlive
	if b.From.HeartbeatAddr != "" {
		p.host = b.From
	}
	t.recordEcho(p, b)
	if !p.leaving {
		delete(t.excluded, id)
	}
	newer := b.Roster != nil && b.Roster.Epoch > t.roster.Epoch
	if newer {
		t.adoptRoster(*b.Roster, now)
	}
	var actions []Action
	if t.updateOwnership(now) {
		actions = append(actions, OwnershipChanged{})
	}
	if newer || (b.Epoch < t.roster.Epoch && b.Epoch > 0) {
		actions = append(actions, t.heartbeatRound(now, []Host{t.addressOf(p)})...)
	}
	return actions
}

func (t *Table) addressOf(p *peerState) Host {
	if h, ok := t.findHost(p.host.Name); ok {
		return h
	}
	return p.host
}

// recordEcho records an echo of a heartbeat that this host sent after its last
// pause, which extends this host's lease.
func (t *Table) recordEcho(p *peerState, b Heartbeat) {
	if b.EchoIncarnation != t.self.Incarnation || b.EchoSeq > t.seq || b.EchoSeq+sentRounds <= t.seq {
		return
	}
	sent := t.sentAt[b.EchoSeq%sentRounds]
	if sent.After(p.echoSentAt) && !sent.Before(t.resumedAt) {
		p.echoSentAt = sent
	}
}

// recordReports stores the reports of other zones that are newer than the
// stored ones, and returns true if the owners in any of those zones changed.
func (t *Table) recordReports(b Heartbeat, now time.Time) bool {
	changed := false
	for _, report := range b.ZoneReports {
		madeAt := now.Add(-report.Age)
		old, ok := t.zones[report.Zone]
		if report.Zone == t.self.Zone || (ok && !madeAt.After(old.madeAt)) {
			continue
		}
		if !slices.Equal(old.report.NonOwners, report.NonOwners) {
			// The other hosts of this zone need the report at once, because the
			// owners in the reported zone changed.
			changed, t.lastReportRound = true, time.Time{}
		}
		t.zones[report.Zone] = receivedReport{report: report, madeAt: madeAt}
	}
	return changed
}

// dueHeartbeats returns the heartbeats that are due.
func (t *Table) dueHeartbeats(now time.Time) []Action {
	interval := t.timing.HeartbeatInterval
	if len(t.roster.Members) > largeZone {
		interval = t.timing.SlowHeartbeatInterval
	}
	var to []Host
	// Half a tick interval tolerates jitter of the ticks.
	if now.Sub(t.lastZoneRound) >= interval-TickInterval/2 {
		t.lastZoneRound = now
		t.prunePeers(now)
		to = append(to, t.zoneRecipients()...)
	}
	if now.Sub(t.lastCrossZoneRound) >= t.timing.SlowHeartbeatInterval-TickInterval/2 && t.isWatcher() {
		t.lastCrossZoneRound = now
		t.crossZoneRounds++
		to = append(to, t.crossZoneRecipients()...)
	}
	if len(to) == 0 {
		return nil
	}
	return t.heartbeatRound(now, to)
}

// prunePeers drops the state of hosts that are not in the roster and have sent
// no heartbeat for peerRetention.
func (t *Table) prunePeers(now time.Time) {
	for id, p := range t.peers {
		if _, listed := t.roster.member(id); !listed && !t.unfenced[id] && now.Sub(p.receivedAt) > peerRetention {
			delete(t.peers, id)
		}
	}
}

// zoneRecipients returns the other hosts of the zone: roster members, hosts on
// the platform list and hosts that sent a heartbeat.
func (t *Table) zoneRecipients() []Host {
	seen := map[string]bool{t.self.Name: true}
	var to []Host
	add := func(name string) {
		if seen[name] {
			return
		}
		seen[name] = true
		if h, ok := t.findHost(name); ok && h.HeartbeatAddr != "" {
			to = append(to, h)
		}
	}
	for _, m := range t.roster.Members {
		add(m.Host.Name)
	}
	for name, h := range t.discovered {
		if h.Zone == t.self.Zone {
			add(name)
		}
	}
	for id := range t.peers {
		add(id.Name)
	}
	slices.SortFunc(to, compareNames)
	return to
}

// crossZoneRecipients returns one watcher of each other zone.
func (t *Table) crossZoneRecipients() []Host {
	zones := make(map[string]bool)
	for _, h := range t.discovered {
		zones[h.Zone] = h.Zone != t.self.Zone
	}
	var to []Host
	for zone, isOther := range zones {
		if !isOther {
			continue
		}
		watchers := t.watchers(zone)
		if len(watchers) == 0 {
			// Two zones that each reported no owners during their start would
			// otherwise never send each other heartbeats again.
			watchers = t.discoveredIn(zone)
		}
		// Successive rounds alternate between the watchers of a zone.
		if h := watchers[t.crossZoneRounds%uint64(len(watchers))]; h.HeartbeatAddr != "" {
			to = append(to, h)
		}
	}
	slices.SortFunc(to, compareNames)
	return to
}

func compareNames(a, b Host) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// heartbeatRound returns one round of heartbeats, which all have the same
// sequence number.
func (t *Table) heartbeatRound(now time.Time, to []Host) []Action {
	t.seq++
	t.sentAt[t.seq%sentRounds] = now
	base := Heartbeat{
		From:            Host{Name: t.self.Name, Zone: t.self.Zone, Incarnation: t.self.Incarnation},
		Seq:             t.seq,
		Epoch:           t.roster.Epoch,
		Revision:        t.config.Revision,
		ConfirmationAge: -1,
		Leaving:         t.leaving,
	}
	if !t.config.ConfirmedAt.IsZero() {
		base.ConfirmationAge = now.Sub(t.config.ConfirmedAt)
	}
	if _, in := t.roster.member(t.self.ID()); !in {
		// Roster members may not have the addresses of a host outside the
		// roster yet.
		base.From = t.self
	}
	inZone, crossZone := t.outgoingReports(now)
	actions := make([]Action, 0, len(to))
	for _, h := range to {
		b := base
		if h.Zone == t.self.Zone {
			b.ZoneReports = inZone
			t.addRecipientFields(&b, h)
		} else {
			b.ZoneReports = crossZone
		}
		actions = append(actions, SendHeartbeat{To: h, Heartbeat: b})
	}
	return actions
}

// addRecipientFields sets the fields that depend on the recipient: the echo, if
// the recipient is in the roster, and the roster, if the recipient has an older
// one.
func (t *Table) addRecipientFields(b *Heartbeat, to Host) {
	p, ok := t.newestPeer(to.Name)
	if !ok {
		return
	}
	b.RecipientAlive = t.lastTick.Sub(p.receivedAt) < t.timing.SuspectAfter
	if _, in := t.roster.member(p.host.ID()); in {
		b.EchoIncarnation, b.EchoSeq = p.host.Incarnation, p.lastSeq
	}
	if p.epoch < t.roster.Epoch {
		roster := t.roster
		b.Roster = &roster
	}
}

// outgoingReports returns the reports that a watcher sends within its zone and
// to other zones. Other hosts send none.
func (t *Table) outgoingReports(now time.Time) (inZone, crossZone []ZoneReport) {
	if !t.isWatcher() {
		return nil, nil
	}
	confirmed := !t.config.ConfirmedAt.IsZero() && now.Sub(t.config.ConfirmedAt) < maxConfirmationAge
	if !confirmed || now.Sub(t.lastReportRound) >= reportInterval {
		t.lastReportRound = now
		for _, z := range t.zones {
			report := z.report
			report.Age = now.Sub(z.madeAt)
			if report.Age < peerRetention {
				inZone = append(inZone, report)
			}
		}
	}
	slices.SortFunc(inZone, func(a, b ZoneReport) int { return compareNames(Host{Name: a.Zone}, Host{Name: b.Zone}) })
	own := ZoneReport{Zone: t.self.Zone, StoreReachable: confirmed}
	live := t.liveHosts(t.self.Zone)
	for _, h := range t.discovered {
		if h.Zone == t.self.Zone && !slices.ContainsFunc(live, func(l Host) bool { return l.Name == h.Name }) {
			own.NonOwners = append(own.NonOwners, h.Name)
		}
	}
	slices.Sort(own.NonOwners)
	return inZone, []ZoneReport{own}
}
