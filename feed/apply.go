package feed

import (
	"time"

	"github.com/rs/zerolog"

	"hyssophub/rules"
	"hyssophub/store"
	"hyssophub/work"
)

// origin is the source of an update.
type origin int

const (
	fromStore origin = iota
	fromPeer
)

// apply applies an update to the history and to the tables. Updates of an earlier era are
// not applied, and changes of a later one only after its full state.
func (s *Syncer) apply(update Update, from origin, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.history.position
	if update.Position.Era < before.Era {
		return errEarlierEra
	}
	isNewEra := update.Position.Era > before.Era
	if isNewEra && update.Differs && !s.history.complement(&update) {
		return errNotCovered
	}
	if isNewEra && !update.Full {
		return ErrEraChanged
	}
	contact := time.Time{}
	if from == fromStore {
		contact = now
		s.recordContact(update, now)
	}
	switch {
	case update.Full:
		s.applyFull(update, now)
		s.caughtUp = s.caughtUp || from == fromStore || now.Sub(update.CheckedAt) <= maxStateAge
	default:
		s.applyChanges(update, from, now)
		s.caughtUp = true
	}
	s.applyLost(update, now)
	if isNewEra {
		s.progress = update.Position.Revision
	}
	s.progress = max(s.progress, update.Position.Revision)
	s.reportApplied(contact)
	if s.history.position.IsAfter(before) && from == fromStore {
		s.peers.Announce()
	}
	return nil
}

// reportApplied reports to peers what this host has applied. contact is the time of
// the store's answer; zero if the store did not answer.
func (s *Syncer) reportApplied(contact time.Time) {
	position := s.history.position
	s.peers.ReportApplied(position, max(s.progress, position.Revision)-position.Revision, s.watching, contact)
}

// applyChanges applies the changes of an update in order. Deletions from the store may be
// expiries if it returned from an outage less than renewalGrace ago; their items are marked
// MayReturn.
func (s *Syncer) applyChanges(update Update, from origin, now time.Time) {
	mayReturn := from == fromStore && s.mayHaveExpired(now)
	var applied []Item
	var newest store.Position
	for _, item := range update.Items {
		item.MayReturn = item.Deleted && (item.MayReturn || mayReturn)
		if s.history.add(item) {
			s.applyChange(item, now)
			applied = append(applied, item)
		}
		if !item.Position.IsAfter(update.Position) {
			newest = store.Later(newest, item.Position)
		}
	}
	if from == fromPeer {
		newest = update.Position
	}
	// The position that other hosts learn is that of the newest change up to which this
	// host knows all, whether the item was known before, from a page that was read after
	// the change, or not.
	s.history.complete(newest)
	s.logItems(applied)
}

// maxLoggedKeys is the maximum number of keys in one log line.
const maxLoggedKeys = 12

// logItems writes one log line for all items that changed in one update.
func (s *Syncer) logItems(items []Item) {
	if len(items) == 0 {
		return
	}
	removed, mayReturn := 0, 0
	keys := zerolog.Arr()
	for i, item := range items {
		if item.Deleted {
			removed++
		}
		if item.MayReturn {
			mayReturn++
		}
		if i < maxLoggedKeys {
			keys.Str(item.Key)
		}
	}
	s.log.Info().Int("entries", len(items)).Int("gone", removed).Int("may_return", mayReturn).Array("keys", keys).
		Stringer("position", s.history.position).Msg("entries changed in the store")
}

// applyChange applies one item to the tables. A registration that may return stays
// in use until removeExpired removes it.
func (s *Syncer) applyChange(item Item, now time.Time) {
	switch c := s.decode(item).(type) {
	case nil:
	case RulesChanged:
		s.acceptRules(c.Set)
	case ZoneChanged:
		if s.rules.SetZoneOut(c.Zone, c.Out) {
			if view := s.rules.View(); !c.Out && view != nil {
				s.fleet.MarkZoneCold(view, c.Zone, now)
			}
			s.log.Info().Str("zone", c.Zone).Bool("out", c.Out).Stringer("position", item.Position).Msg("availability zone changed")
		}
	case ServerRegistered:
		delete(s.outage.expiring, c.Instance.ID)
		s.fleet.Register(c.Instance, now)
	case ServerRemoved:
		if item.MayReturn {
			s.outage.expiring[c.ID] = expiry{key: item.Key, position: c.Position, until: s.renewalDeadline(now)}
			return
		}
		s.fleet.Remove(c.ID, c.Position)
	case Malformed:
		s.malformed++
		s.fleet.Remove(c.ID, c.Position)
		s.log.Warn().Str("key", c.Key).Err(c.Err).Msg("malformed store entry ignored")
	default:
		s.applyRollout(c, now)
	}
}

// decode converts an item. An item whose decoding panics is malformed; the decoding of
// its deletion, which ignores the value, tells which instance it is about.
func (s *Syncer) decode(item Item) Change {
	var change Change
	completed := false
	work.Guard(s.options.OnPanic, func() {
		change = s.source.Decode(item)
		completed = true
	})
	if completed {
		return change
	}
	malformed := Malformed{Key: item.Key, Position: item.Position, Err: errPanicked}
	work.Guard(s.options.OnPanic, func() {
		if removed, ok := s.source.Decode(Item{Key: item.Key, Position: item.Position, Deleted: true}).(ServerRemoved); ok {
			malformed.ID = removed.ID
		}
	})
	return malformed
}

func (s *Syncer) acceptRules(set rules.Set) {
	if s.rules.Apply(set) {
		s.log.Info().Uint64("version", set.Version).Int("routes", len(set.Routes)).Msg("rules in force")
	} else {
		s.log.Debug().Uint64("version", set.Version).Msg("rules ignored, version is not newer")
	}
}

// applyFull replaces the known items by those of a full update. Registrations that
// it lacks stay in use until their deadline if they may have expired in an outage.
func (s *Syncer) applyFull(update Update, now time.Time) {
	var removed []Item
	isNewEra := update.Position.Era > s.history.position.Era
	if isNewEra {
		holds := update.Era.Since.IsZero() || now.Sub(update.Era.Since) < s.options.rewriteTime()
		if known := s.history.position; known.Revision > 0 {
			s.log.Warn().Uint64("from", known.Era).Stringer("position", update.Position).Msg("era of the store has changed")
			if s.rollouts != nil {
				s.rollouts.EnterEra()
			}
		}
		removed = s.history.enter(update, now, holds)
	} else {
		removed = s.history.replace(update, s.mayHaveExpired(now))
	}
	for _, item := range update.Items {
		// Items that the history holds in a newer version are skipped. The tables
		// ignore what they already hold. The history may have dropped a deletion already.
		if held, ok := s.history.items[item.Key]; held.Position == item.Position || (!ok && item.Deleted) {
			s.applyChange(item, now)
		}
	}
	for _, item := range removed {
		s.applyChange(item, now)
	}
	if isNewEra {
		s.restartGrace(now)
	}
	s.log.Info().Stringer("position", update.Position).Int("items", len(update.Items)).Int("gone", len(removed)).Msg("full state applied")
}
