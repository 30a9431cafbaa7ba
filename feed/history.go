package feed

// historyItems bounds the changes that are kept for other hosts. One that is
// further behind gets the whole state.
const historyItems = 4096

// history holds the present items and the last changes, for other hosts.
type history struct {
	items map[string]Item
	log   []Item
	// since is the revision after which the log is complete.
	since uint64
	// revision is that of the newest change.
	revision uint64
}

func newHistory() *history { return &history{items: make(map[string]Item)} }

// add takes in a change and reports whether it is new.
func (h *history) add(item Item) bool {
	known, ok := h.items[item.Key]
	if ok && item.Revision <= known.Revision {
		return false
	}
	h.items[item.Key] = item
	h.log = append(h.log, item)
	if len(h.log) > historyItems {
		cut := len(h.log) - historyItems/2
		h.since = h.log[cut-1].Revision
		h.log = append([]Item(nil), h.log[cut:]...)
	}
	h.revision = max(h.revision, item.Revision)
	return true
}

// replace takes over a whole state and returns the keys that are no longer in
// it.
func (h *history) replace(state Update) []Item {
	listed := make(map[string]bool, len(state.Items))
	for _, item := range state.Items {
		listed[item.Key] = true
	}
	var gone []Item
	for key, item := range h.items {
		if !listed[key] && !item.Deleted && item.Revision <= state.Revision {
			gone = append(gone, Item{Key: key, Revision: state.Revision, Deleted: true, MayReturn: true})
		}
	}
	// Items that are newer than the state's revision stay in the log, because
	// other hosts may know the state but not them.
	var newer []Item
	for _, item := range state.Items {
		if known, ok := h.items[item.Key]; !ok || item.Revision >= known.Revision {
			h.items[item.Key] = item
		}
		if item.Revision > state.Revision {
			newer = append(newer, item)
		}
	}
	for _, item := range gone {
		h.items[item.Key] = item
	}
	if state.Revision >= h.revision {
		h.log = newer
		h.since, h.revision = state.Revision, state.Revision
	}
	return gone
}

// after returns the changes after a revision, or the whole state if the log
// does not reach back that far.
func (h *history) after(revision uint64) Update {
	if revision >= h.since && revision > 0 {
		state := Update{Revision: h.revision}
		for _, item := range h.log {
			if item.Revision > revision {
				state.Items = append(state.Items, item)
			}
		}
		return state
	}
	state := Update{Revision: h.revision, Full: true}
	for _, item := range h.items {
		if !item.Deleted {
			state.Items = append(state.Items, item)
		}
	}
	return state
}
