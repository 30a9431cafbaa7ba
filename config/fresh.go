package config

import "time"

// FreshnessBound is how long a host stays fresh after a confirmation. It leaves
// 0.5 s of the 2 s target of P4 for the check and the dispatch.
const FreshnessBound = 1500 * time.Millisecond

// ZoneReport is what a host knows of an availability zone's view of the store.
// Both times are on the clock of the host that holds the report.
type ZoneReport struct {
	// Heard is when the newest message from the zone arrived.
	Heard time.Time
	// Confirmed is when the newest store answer known in the zone was received:
	// the arrival of the message less the age that it names.
	Confirmed time.Time
}

// Fresh decides whether a host may act on its configuration outside its own
// zone. zones are those that have hosts, and reports are by zone.
//
// A host is fresh if a store answer is within the bound, received directly or
// through any zone. If there is none, no zone that was heard reaches the
// store, and a majority of the zones that were heard within the bound proves
// that the host is not in a partition that a change could pass by.
func Fresh(zones []string, reports map[string]ZoneReport, now time.Time) bool {
	for _, r := range reports {
		if now.Sub(r.Confirmed) <= FreshnessBound {
			return true
		}
	}
	heard := 0
	for _, z := range zones {
		if r, ok := reports[z]; ok && now.Sub(r.Heard) <= FreshnessBound {
			heard++
		}
	}
	return 2*heard > len(zones)
}

// Report merges a report on a zone: only later times count, so reports may
// arrive out of order. A host reports on its own zone as well: heard at each
// heartbeat tick, confirmed at each store answer.
func (t *Table) Report(zone string, heard, confirmed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reports[zone]
	if heard.After(r.Heard) {
		r.Heard = heard
	}
	if confirmed.After(r.Confirmed) {
		r.Confirmed = confirmed
	}
	t.reports[zone] = r
}

// Fresh reports whether the host is fresh by the reports received so far.
func (t *Table) Fresh(now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return Fresh(t.view.homeZones, t.reports, now)
}

// Reports returns a copy of the zone reports.
func (t *Table) Reports() map[string]ZoneReport {
	t.mu.RLock()
	defer t.mu.RUnlock()
	reports := make(map[string]ZoneReport, len(t.reports))
	for z, r := range t.reports {
		reports[z] = r
	}
	return reports
}
