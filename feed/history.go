package feed

import (
	"slices"

	"hyssophub/store"
)

const (
	// maxDeletions is the number of deletions that are kept for other hosts. A host
	// that needs an older one gets the full state.
	maxDeletions = 4096
	// orderSlack is the number of overwritten versions at which they are dropped from
	// the order, if they are also more than the items.
	orderSlack = 64
)

// history holds the newest known version of each item, from which other hosts are
// served: one that has a newer version does not need the overwritten ones. Its memory
// follows the size of the state. Deleted items stay in it for a while, so that other
// hosts learn of them and older updates do not restore them.
type history struct {
	// items holds the version of each item in force. Versions that the store has lost
	// in a change of era have positions of an earlier era.
	items map[string]Item
	// order lists the versions by position. Those that were overwritten are dropped
	// from time to time.
	order []version
	// deleted is the number of deleted items, and maxDeleted its bound.
	deleted    int
	maxDeleted int
	// since is the position after which all deletions are kept.
	since store.Position
	// position is that up to which every change is known. Items above it are known from
	// pages of a full update or from another host; a change between the two may still be
	// unknown.
	position store.Position
	// previous is the position at the end of the era before, as far as this host read it.
	previous store.Position
	// moved tells what the change of era has changed, for hosts that have not followed it.
	moved moved
	// era is what is known of the beginning of the present era.
	era Era
	// lost holds, by key, what the store has in place of the lost versions in force.
	lost map[string]Item
}

// version is a position of an item.
type version struct {
	key      string
	position store.Position
}

func newHistory() *history {
	return &history{items: make(map[string]Item), lost: make(map[string]Item), maxDeleted: maxDeletions}
}

// add records a change and reports whether it is newer than the known item. A change up to
// the history's position is known or was followed by another one: the history may hold
// less of a deleted item than its last versions.
func (h *history) add(item Item) bool {
	if !item.Position.IsAfter(h.position) || !item.Position.IsAfter(h.items[item.Key].Position) {
		return false
	}
	h.put(item)
	h.dropDeletions()
	return true
}

// put sets the version of an item in force.
func (h *history) put(item Item) {
	if h.items[item.Key].Deleted {
		h.deleted--
	}
	if item.Deleted {
		h.deleted++
	}
	h.items[item.Key] = item
	delete(h.lost, item.Key)
	v := version{key: item.Key, position: item.Position}
	at := len(h.order)
	if at > 0 && h.order[at-1].position.IsAfter(v.position) {
		at = h.firstAfter(v.position)
	}
	h.order = slices.Insert(h.order, at, v)
	if len(h.order) > 2*len(h.items)+orderSlack {
		h.dropOverwritten()
	}
}

// firstAfter returns the index in the order of the first version after a position.
func (h *history) firstAfter(position store.Position) int {
	position.Revision++
	at, _ := slices.BinarySearchFunc(h.order, position, func(v version, target store.Position) int {
		return v.position.Compare(target)
	})
	return at
}

func (h *history) dropOverwritten() {
	h.order = slices.DeleteFunc(h.order, func(v version) bool {
		item, ok := h.items[v.key]
		return !ok || item.Position != v.position
	})
}

// dropDeletions drops the older half of the deletions if there are more than
// maxDeleted. Lost deletions stay.
func (h *history) dropDeletions() {
	if h.deleted <= h.maxDeleted {
		return
	}
	for _, v := range h.order {
		if v.position.IsAfter(h.position) || h.deleted <= h.maxDeleted/2 {
			break
		}
		_, isLost := h.lost[v.key]
		if item, ok := h.items[v.key]; ok && item.Deleted && item.Position == v.position && !isLost {
			delete(h.items, v.key)
			h.deleted--
			h.since = store.Later(h.since, v.position)
		}
	}
	h.dropOverwritten()
}

// complete records that every change up to a position is known.
func (h *history) complete(position store.Position) { h.position = store.Later(h.position, position) }

// replace replaces the items by those of a full update of the same era and returns
// deletions of the items that the update lacks, which may have expired if mayReturn is set.
// Items that are newer than the update, and lost versions that were not written again, stay.
func (h *history) replace(update Update, mayReturn bool) []Item {
	listed := make(map[string]bool, len(update.Items))
	for _, item := range update.Items {
		listed[item.Key] = true
	}
	var removed, gone []Item
	for key, item := range h.items {
		current, isLost := h.lost[key]
		switch {
		case listed[key] || item.Position.IsAfter(update.Position) || (isLost && current.Deleted):
		case isLost && item.Deleted:
			gone = append(gone, Item{Key: key, Position: update.Position, Deleted: true})
		case !item.Deleted:
			removed = append(removed, Item{Key: key, Position: update.Position, Deleted: true, MayReturn: mayReturn})
		}
	}
	isCurrent := !h.position.IsAfter(update.Position)
	for _, item := range update.Items {
		if current, isLost := h.lost[item.Key]; isLost && !item.Position.IsAfter(current.Position) {
			continue
		}
		if item.Position.IsAfter(h.items[item.Key].Position) && (isCurrent || item.Position.IsAfter(h.position)) {
			h.put(item)
		}
	}
	removed = append(removed, gone...)
	for _, item := range removed {
		h.put(item)
	}
	if isCurrent {
		// Items that were registered and deleted before the update are not known.
		h.since, h.position = update.Position, update.Position
	}
	h.dropDeletions()
	return removed
}

// after returns the changes after a position, or a full update if it is of another era or
// deletions after it were dropped.
func (h *history) after(position store.Position) Update {
	if position.Era == PresentEra {
		position.Era = h.position.Era
	}
	update := Update{Position: h.position, Era: h.era, Lost: h.held()}
	if position.Era > h.position.Era {
		return update
	}
	if position.Era == h.position.Era && !h.since.IsAfter(position) && position.Revision > 0 {
		for _, v := range h.order[h.firstAfter(position):] {
			if item := h.items[v.key]; item.Position == v.position {
				update.Items = append(update.Items, item)
			}
		}
		return update
	}
	if h.moved.covers(position, h) {
		update.Differs, update.Items = true, h.moved.differing(position, h)
		return update
	}
	update.Full = true
	for key, item := range h.items {
		if current, isLost := h.lost[key]; isLost {
			item = current
		}
		// Another host may have a version of an earlier era that was deleted in this one.
		if !item.Deleted || (position.Era < h.position.Era && position.Revision > 0 && item.Position.Revision > h.era.Start) {
			update.Items = append(update.Items, item)
		}
	}
	return update
}
