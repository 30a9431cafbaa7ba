package feed

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hyssophub/fleet"
)

// rewriteDelay is the time after which what a drill has lost is written again.
const rewriteDelay = 1500 * time.Millisecond

// drill brings the store back without its last changes, which the operator and the
// backend servers write again later.
func (w *world) drill(t *testing.T, lost string) {
	number, err := strconv.Atoi(lost)
	if err != nil {
		t.Fatal(err)
	}
	w.mu.Lock()
	hosts := slices.Collect(maps.Values(w.hosts))
	// A version that came back in an earlier drill is not written again.
	written := slices.DeleteFunc(w.store.content(), func(i Item) bool { return !i.isEqual(w.intended[i.Key]) })
	w.mu.Unlock()
	inForce := make(map[*worldHost][]Item)
	for _, h := range hosts {
		for _, item := range written {
			held, isKnown := h.known(item)
			// Hosts that keep few deletions may forget one before the drill.
			if (!item.Deleted || w.maxDeleted == maxDeletions) && isKnown && h.obeys(item) {
				inForce[h] = append(inForce[h], held)
			}
		}
	}
	w.store.drill(number)
	w.mu.Lock()
	for h, known := range inForce {
		for _, item := range known {
			if !w.store.holds(item) {
				h.lost[item.Key] = item
			}
		}
	}
	w.mu.Unlock()
	w.checks.Go(func() {
		time.Sleep(rewriteDelay)
		w.mu.Lock()
		intended := slices.Collect(maps.Values(w.intended))
		w.mu.Unlock()
		slices.SortFunc(intended, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
		for _, item := range intended {
			if !w.store.holds(item) {
				w.write([]Item{item})
			}
		}
	})
}

// holdPoll is the time between checks whether a host holds a version that the store lost.
const holdPoll = 100 * time.Millisecond

// isHeld reports whether a host holds another version of an item, which the store has lost.
func (w *world) isHeld(item Item) bool {
	w.mu.Lock()
	hosts := slices.Collect(maps.Values(w.hosts))
	w.mu.Unlock()
	return slices.ContainsFunc(hosts, func(h *worldHost) bool {
		h.syncer.mu.Lock()
		defer h.syncer.mu.Unlock()
		_, isHeld := h.syncer.history.lost[item.Key]
		return isHeld
	})
}

// checkLost records a change that is no longer in force because the store has lost it.
func (h *worldHost) checkLost(now time.Time) {
	h.world.mu.Lock()
	var undone []Item
	for key, item := range h.lost {
		if !h.obeys(item) {
			undone = append(undone, item)
			delete(h.lost, key)
		}
	}
	h.world.mu.Unlock()
	for _, item := range undone {
		if !h.isOvertaken(item) {
			h.world.violate("%s undid %s at %s", h.name, formatItem(item), now.Sub(h.world.start))
		}
	}
}

// known returns the version of an item that the host has, and whether it is the newest one.
// One that was written before in an earlier era, at the same revision, is another version.
func (h *worldHost) known(item Item) (Item, bool) {
	h.syncer.mu.Lock()
	defer h.syncer.mu.Unlock()
	held, ok := h.syncer.history.items[item.Key]
	return held, ok && held.Position.Revision == item.Position.Revision && held.Position.Era >= item.Position.Era && !held.MayReturn && held.isEqual(item)
}

// isOvertaken reports whether the host has learned a later change of the era in which it
// knew an item, from an answer that was under way during the drill.
func (h *worldHost) isOvertaken(item Item) bool {
	held, _ := h.known(item)
	return held.Position.Era == item.Position.Era && held.Position.IsAfter(item.Position)
}

// obeys reports whether the content of an item is in force on the host.
func (h *worldHost) obeys(item Item) bool {
	kind, name, _ := strings.Cut(item.Key, "/")
	if kind != "server" {
		return h.has(item)
	}
	instances := h.fleet.Instances()
	at := slices.IndexFunc(instances, func(i fleet.Instance) bool { return i.ID == name })
	return item.Deleted == (at < 0) && (at < 0 || instances[at].State == stateOf(item))
}
