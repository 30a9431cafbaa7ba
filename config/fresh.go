package config

import (
	"slices"
	"time"
)

// FreshnessBound is how long a host stays fresh after a confirmation. It leaves
// 0.5 s of the 2 s target of P4 for the check and the dispatch.
const FreshnessBound = 1500 * time.Millisecond

// ZoneReport is what a host knows of an availability zone's view of the store.
// Both times are on the clock of the host that holds the report.
type ZoneReport struct {
	// LastMessageAt is when the newest message from the zone arrived.
	LastMessageAt time.Time
	// LastConfirmedAt is when the newest store answer known in the zone was received:
	// the arrival of the message less the age that it names.
	LastConfirmedAt time.Time
}

// FreshUntil decides until when a host may act on its configuration outside
// its own zone. zones are those that have hosts, and reports are by zone.
//
// A host is fresh for the bound after a store answer, received directly or
// through any zone. Past that, no zone that was heard reaches the store, and
// messages within the bound from a majority of the zones prove that the host
// is in no partition that a change could pass by.
func FreshUntil(zones []string, reports map[string]ZoneReport) time.Time {
	var last time.Time
	for _, r := range reports {
		if r.LastConfirmedAt.After(last) {
			last = r.LastConfirmedAt
		}
	}
	heard := make([]time.Time, len(zones))
	for i, z := range zones {
		heard[i] = reports[z].LastMessageAt
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	// The zone at this index completes a majority.
	if half := len(heard) / 2; half < len(heard) && heard[half].After(last) {
		last = heard[half]
	}
	return last.Add(FreshnessBound)
}

// RecordReport merges a report on a zone: only later times count, so reports may
// arrive out of order. A host reports on its own zone as well: heard at each
// heartbeat tick, confirmed at each store answer.
func (t *Table) RecordReport(zone string, heard, confirmed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reports[zone]
	if heard.After(r.LastMessageAt) {
		r.LastMessageAt = heard
	}
	if confirmed.After(r.LastConfirmedAt) {
		r.LastConfirmedAt = confirmed
	}
	t.reports[zone] = r
	t.judge()
}

// Fresh reports whether the host is fresh by the reports received so far. It
// is called for each sub-request to another zone, so Report does the work.
func (t *Table) Fresh(now time.Time) bool {
	return !now.After(*t.until.Load())
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
