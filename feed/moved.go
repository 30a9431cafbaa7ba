package feed

import (
	"math"

	"hyssophub/store"
)

// moved is what a change of era has changed. Hosts that have not followed it yet get that
// in place of the full state, which all hosts of a zone would fetch at once.
type moved struct {
	// from is the position before the change, up to which everything was known, and since
	// the one after which all deletions were known. to is the position after it.
	from, since, to store.Position
	// changed holds, by key, the greatest revision before the change at which another host
	// may not know what the store has now: that of a deletion, or any.
	changed map[string]uint64
}

// newMoved compares the state of a history with a full update of a later era.
func newMoved(h *history, update Update) moved {
	m := moved{from: h.position, since: h.since, to: update.Position, changed: make(map[string]uint64)}
	listed := make(map[string]bool, len(update.Items))
	for _, item := range update.Items {
		listed[item.Key] = true
		if known, ok := h.stored(item.Key); !ok || known.Position.Revision != item.Position.Revision || !known.isEqual(item) {
			m.changed[item.Key] = math.MaxUint64
		}
	}
	for key := range h.items {
		known, _ := h.stored(key)
		switch {
		case listed[key]:
		case known.Deleted:
			m.changed[key] = known.Position.Revision
		default:
			m.changed[key] = math.MaxUint64
		}
	}
	return m
}

// stored returns what the store has for a key, as far as known.
func (h *history) stored(key string) (Item, bool) {
	if item, isLost := h.lost[key]; isLost {
		return item, true
	}
	item, ok := h.items[key]
	return item, ok
}

// covers reports whether a host that knew everything up to a position of the era before
// gets the full state with what differs.
func (m *moved) covers(position store.Position, h *history) bool {
	return position.Revision > 0 && position.Era == m.from.Era && !position.IsAfter(m.from) && !m.since.IsAfter(position) &&
		h.since == m.to && h.previous == m.from
}

// differing returns what differs from the state at a covered position.
func (m *moved) differing(position store.Position, h *history) []Item {
	var list []Item
	for key := range h.items {
		item, _ := h.stored(key)
		if m.changed[key] > position.Revision || item.Position.Revision > min(position.Revision, m.to.Revision) {
			list = append(list, item)
		}
	}
	return list
}

// complement adds the items that do not differ to an update of a later era, and reports
// whether all of them are known to be in the store.
func (h *history) complement(update *Update) bool {
	listed := make(map[string]bool, len(update.Items))
	for _, item := range update.Items {
		listed[item.Key] = true
	}
	for key := range h.items {
		item, _ := h.stored(key)
		if listed[key] || item.Deleted {
			continue
		}
		if item.Position.Era != h.position.Era || item.Position.IsAfter(h.position) {
			return false
		}
		item.Position.Era = update.Position.Era
		update.Items = append(update.Items, item)
	}
	update.Full, update.Differs = true, false
	return true
}
