package config

import (
	"slices"
	"time"
)

// FreshnessBound is how long a host stays fresh after its configuration was
// confirmed. A host is fresh while it may send requests to other zones on the basis
// of its configuration. Property P4: an availability zone that operators take out
// receives no new work 2 s after the change was accepted. A host that is cut off
// cannot know of the change, so it may send to other zones only while its
// configuration was confirmed within FreshnessBound. The bound leaves 0.5 s of the
// 2 s for the check and the dispatch of a request.
const FreshnessBound = 1500 * time.Millisecond

// ZoneReport is the newest state of an availability zone that a host received.
// Both times are on the clock of the receiving host.
type ZoneReport struct {
	// LastMessageAt is the arrival time of the newest message from the zone.
	LastMessageAt time.Time
	// LastConfirmedAt is when the newest store answer that the zone has was
	// received: the arrival time of the message less the age that it states.
	LastConfirmedAt time.Time
}

// FreshUntil returns until when a host is fresh. zones are the zones that have
// hosts. reports has the zone as its key.
//
// A host is fresh for FreshnessBound after a store answer that it received
// directly or from any zone. After that time, no zone whose messages arrive
// reaches the store. Messages from a majority of the zones within FreshnessBound
// then prove that the host is not in a partition that could miss a change.
func FreshUntil(zones []string, reports map[string]ZoneReport) time.Time {
	var newest time.Time
	for _, r := range reports {
		if r.LastConfirmedAt.After(newest) {
			newest = r.LastConfirmedAt
		}
	}
	messageTimes := make([]time.Time, len(zones))
	for i, z := range zones {
		messageTimes[i] = reports[z].LastMessageAt
	}
	slices.SortFunc(messageTimes, func(a, b time.Time) int { return b.Compare(a) })
	// The zone at index half completes a majority.
	if half := len(messageTimes) / 2; half < len(messageTimes) && messageTimes[half].After(newest) {
		newest = messageTimes[half]
	}
	return newest.Add(FreshnessBound)
}

// RecordReport merges a report on a zone. Earlier times than the recorded ones
// are ignored, so reports may arrive out of order. A host also records reports on
// its own zone: messageAt at each heartbeat tick, confirmedAt at each store
// answer.
func (t *Table) RecordReport(zone string, messageAt, confirmedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reports[zone]
	if messageAt.After(r.LastMessageAt) {
		r.LastMessageAt = messageAt
	}
	if confirmedAt.After(r.LastConfirmedAt) {
		r.LastConfirmedAt = confirmedAt
	}
	t.reports[zone] = r
	t.updateFreshness()
}

// Fresh reports whether the host is fresh at time now, from the reports received
// so far. It is called for each sub-request to another zone, so RecordReport
// computes the end of the freshness in advance.
func (t *Table) Fresh(now time.Time) bool {
	return !now.After(*t.freshUntil.Load())
}

// Reports returns a copy of the zone reports.
func (t *Table) Reports() map[string]ZoneReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make(map[string]ZoneReport, len(t.reports))
	for z, r := range t.reports {
		reports[z] = r
	}
	return reports
}
