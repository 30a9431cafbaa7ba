package feed

import (
	"time"

	"github.com/rs/zerolog"

	"hyssophub/store"
)

// enter replaces the state by that of a full update of a later era. Versions that the store
// has lost stay in force until it has them written again, if holds is set. enter returns
// deletions of the other items that it lacks.
func (h *history) enter(update Update, now time.Time, holds bool) []Item {
	before, previous, changed := h.items, h.position, newMoved(h, update)
	if update.Era.Before > previous.Era {
		// Another host that has read an era which this one has missed knows the order of the
		// changes there, and which of them are lost.
		holds, previous.Revision = false, 0
	}
	*h = history{
		items: make(map[string]Item, len(update.Items)), lost: make(map[string]Item), maxDeleted: h.maxDeleted,
		since: update.Position, position: update.Position, previous: previous, moved: changed, era: update.Era,
	}
	h.era.Before = max(h.era.Before, previous.Era)
	if h.era.Start == 0 {
		h.era.Start = update.Position.Revision
	}
	if h.era.Since.IsZero() {
		h.era.Since = now
	}
	for _, item := range update.Items {
		h.put(item)
	}
	// When the store removed what it lacks, if it ever had it, is not known.
	missing := store.Position{Era: update.Position.Era}
	var removed []Item
	for key, item := range before {
		_, ok := h.items[key]
		switch {
		case !ok && item.Deleted:
			// A further change of era may lose the deletion.
			at := store.Position{Era: missing.Era, Revision: min(item.Position.Revision, update.Position.Revision)}
			h.put(Item{Key: key, Position: at, Deleted: true, MayReturn: item.MayReturn})
		case !ok && !holds:
			deletion := Item{Key: key, Position: missing, Deleted: true, MayReturn: true}
			h.put(deletion)
			removed = append(removed, deletion)
		case holds:
			h.hold(item)
		}
	}
	h.dropDeletions()
	return removed
}

// hold puts a version of an earlier era in force if the store has lost it, and reports
// whether it did. A version is not lost if the store has the same content, or one that was
// written later: at a greater revision, or after the era was first read. A deletion in doubt
// is none that it lost.
func (h *history) hold(item Item) bool {
	current, ok := h.items[item.Key]
	if lost, isLost := h.lost[item.Key]; isLost {
		if !item.Position.IsAfter(current.Position) {
			return false
		}
		current = lost
	}
	switch {
	case item.Position.Era >= h.position.Era || (item.Deleted && (!ok || item.MayReturn)):
		return false
	case !ok:
		current = Item{Key: item.Key, Position: store.Position{Era: h.position.Era}, Deleted: true, MayReturn: true}
	case current.isEqual(item):
		return false
	case current.Position.Revision > h.era.Start || current.Position.Revision >= item.Position.Revision:
		return false
	}
	h.put(item)
	h.lost[item.Key] = current
	return true
}

// holdFrom is hold for a version that another host holds. One that this host knew when the
// era changed is not lost if this host does not hold it.
func (h *history) holdFrom(item Item) bool { return item.Position.IsAfter(h.previous) && h.hold(item) }

// learn takes over what another host knows of the beginning of the present era, and returns
// the items that turn out to have been written since.
func (h *history) learn(era Era) []Item {
	if era.Start > 0 && (h.era.Start == 0 || era.Start < h.era.Start) {
		h.era.Start = era.Start
	}
	if !era.Since.IsZero() && (h.era.Since.IsZero() || era.Since.Before(h.era.Since)) {
		h.era.Since = era.Since
	}
	var written []Item
	for _, item := range h.lost {
		if item.Position.Revision > h.era.Start {
			written = append(written, item)
		}
	}
	for _, item := range written {
		h.put(item)
	}
	return written
}

// settle records that a deletion is no longer in doubt.
func (h *history) settle(key string, position store.Position) {
	if item, ok := h.items[key]; ok && item.Deleted && item.Position == position {
		item.MayReturn = false
		h.items[key] = item
	}
}

// held returns the lost versions that are in force.
func (h *history) held() []Item {
	var list []Item
	for key := range h.lost {
		list = append(list, h.items[key])
	}
	return list
}

// release ends the force of a lost version and returns what the store has in its place.
func (h *history) release(key string) Item {
	item := h.lost[key]
	item.MayReturn = false
	h.put(item)
	return item
}

// applyLost takes over what another host of the same era knows of its beginning: when it
// was, and which versions are in force that the store has lost.
func (s *Syncer) applyLost(update Update, now time.Time) {
	for _, item := range s.history.learn(update.Era) {
		s.applyChange(item, now)
	}
	if !s.holdsLost(now) {
		return
	}
	for _, item := range update.Lost {
		if !s.history.holdFrom(item) {
			continue
		}
		// The table may hold the registration that the store has, at a newer position.
		if removed, ok := s.decode(Item{Key: item.Key, Deleted: true}).(ServerRemoved); ok {
			s.fleet.Remove(removed.ID, s.history.lost[item.Key].Position)
		}
		s.applyChange(item, now)
	}
}

// holdsLost reports whether versions that the store has lost stay in force.
func (s *Syncer) holdsLost(now time.Time) bool {
	since := s.history.era.Since
	return since.IsZero() || now.Sub(since) < s.options.rewriteTime()
}

// lostUntil returns the time until which a lost version stays in force. Servers whose
// registrations are missing have the time that they have after an outage.
func (s *Syncer) lostUntil(key string) time.Time {
	since := s.history.era.Since
	if _, isServer := s.decode(Item{Key: key, Deleted: true}).(ServerRemoved); !isServer || !s.history.lost[key].Deleted {
		return since.Add(s.options.rewriteTime())
	}
	if s.outage.returnedAt.After(since) {
		since = s.outage.returnedAt
	}
	return since.Add(renewalGrace)
}

// releaseLost ends the force of versions that were not written again in time. Nobody can
// write them while the store does not answer, so none is released then.
func (s *Syncer) releaseLost(now time.Time, isFailing bool) {
	released, keys := 0, zerolog.Arr()
	for key := range s.history.lost {
		until := s.lostUntil(key)
		if now.Before(until) || (isFailing && s.outage.heardAt.Before(until)) {
			continue
		}
		s.applyChange(s.history.release(key), now)
		if released++; released <= maxLoggedKeys {
			keys.Str(key)
		}
	}
	if released > 0 {
		s.log.Warn().Int("entries", released).Array("keys", keys).Stringer("position", s.history.position).Msg("entries lost by the store were not written again, its content is in force")
	}
}
