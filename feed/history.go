package feed

// maxChanges is the maximum number of changes that are kept for other hosts. A host
// that needs older changes gets the full state.
const maxChanges = 4096

// history holds the latest revision of each item and a log of recent changes, from
// which other hosts are served. Deleted items stay in it, so that older updates do
// not restore them.
type history struct {
	items   map[string]Item
	changes []Item
	// since is the revision after which changes is complete.
	since uint64
	// revision is the store revision of the newest change, or of the newest full
	// update.
	revision uint64
}

func newHistory() *history { return &history{items: make(map[string]Item)} }

// add records a change and reports whether it is newer than the known item.
func (h *history) add(item Item) bool {
	current, ok := h.items[item.Key]
	if ok && item.Revision <= current.Revision {
		return false
	}
	h.items[item.Key] = item
	h.changes = append(h.changes, item)
	if len(h.changes) > maxChanges {
		dropped := len(h.changes) - maxChanges/2
		h.since = h.changes[dropped-1].Revision
		h.changes = append([]Item(nil), h.changes[dropped:]...)
	}
	h.revision = max(h.revision, item.Revision)
	return true
}

// replace replaces the items by those of a full update and returns deletions of the
// items that the update lacks. Items that are newer than the update stay.
func (h *history) replace(update Update) []Item {
	listed := make(map[string]bool, len(update.Items))
	for _, item := range update.Items {
		listed[item.Key] = true
	}
	var removed []Item
	for key, item := range h.items {
		if !listed[key] && !item.Deleted && item.Revision <= update.Revision {
			removed = append(removed, Item{Key: key, Revision: update.Revision, Deleted: true, MayReturn: true})
		}
	}
	// Items that are newer than the update's revision stay in the log, because
	// other hosts may have applied that revision but not these items.
	var newer []Item
	for _, item := range update.Items {
		if current, ok := h.items[item.Key]; !ok || item.Revision >= current.Revision {
			h.items[item.Key] = item
		}
		if item.Revision > update.Revision {
			newer = append(newer, item)
		}
	}
	for _, item := range removed {
		h.items[item.Key] = item
	}
	if update.Revision >= h.revision {
		h.changes = newer
		h.since, h.revision = update.Revision, update.Revision
	}
	return removed
}

// after returns the changes after a revision, or a full update if the log does not
// reach back that far.
func (h *history) after(revision uint64) Update {
	if revision >= h.since && revision > 0 {
		update := Update{Revision: h.revision}
		for _, item := range h.changes {
			if item.Revision > revision {
				update.Items = append(update.Items, item)
			}
		}
		return update
	}
	update := Update{Revision: h.revision, Full: true}
	for _, item := range h.items {
		if !item.Deleted {
			update.Items = append(update.Items, item)
		}
	}
	return update
}
