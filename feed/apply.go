package feed

import (
	"time"

	"github.com/rs/zerolog"

	"hyssophub/rules"
)

// origin says who answered.
type origin int

const (
	fromStore origin = iota
	fromPeer
)

// apply takes over an answer.
func (k *Syncer) apply(state Update, from origin, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.history.revision
	contact := time.Time{}
	if from == fromStore {
		contact = now
		k.contacted(state, now)
	}
	switch {
	case state.Full:
		k.replace(state, now)
		k.position = state.Revision
		k.loaded = k.loaded || from == fromPeer
	default:
		k.changeAll(state, from, now)
		k.position = max(k.position, state.Revision)
		k.loaded = true
	}
	k.publish(contact)
	if k.history.revision > before && from == fromStore {
		k.peers.Announce()
	}
}

// contacted records an answer of the store.
func (k *Syncer) contacted(state Update, now time.Time) {
	if !k.failing.IsZero() {
		k.log.Info().Dur("lost_for", now.Sub(k.failing)).Uint64("revision", state.Revision).Msg("the store is back")
		k.failing, k.back = time.Time{}, now
	}
	if !k.watching {
		k.watching = true
		k.log.Info().Msg("this host follows the store")
	}
}

func (k *Syncer) publish(contact time.Time) {
	k.peers.ReportApplied(k.history.revision, max(k.position, k.history.revision), k.watching, contact)
}

// changeAll applies changes in their order.
func (k *Syncer) changeAll(state Update, from origin, now time.Time) {
	gone := 0
	for _, item := range state.Items {
		if item.Deleted {
			gone++
		}
	}
	away := from == fromStore && (gone >= lapsedAtOnce || (!k.back.IsZero() && now.Sub(k.back) < returnTime))
	var applied []Item
	for _, item := range state.Items {
		item.MayReturn = item.Deleted && (item.MayReturn || away)
		if k.history.add(item) {
			k.change(item, now)
			applied = append(applied, item)
		}
	}
	k.logItems(applied)
}

// loggedItems bounds the entries that one line names.
const loggedItems = 12

// logItems writes one line for all entries that changed together.
func (k *Syncer) logItems(items []Item) {
	if len(items) == 0 {
		return
	}
	gone, away := 0, 0
	names := zerolog.Arr()
	for i, item := range items {
		if item.Deleted {
			gone++
		}
		if item.MayReturn {
			away++
		}
		if i < loggedItems {
			names.Str(item.Key)
		}
	}
	k.log.Info().Int("entries", len(items)).Int("gone", gone).Int("may_return", away).Array("keys", names).
		Uint64("revision", k.history.revision).Msg("entries changed in the store")
}

// change applies one change.
func (k *Syncer) change(item Item, now time.Time) {
	switch c := k.source.Decode(item).(type) {
	case nil:
	case RulesChanged:
		k.accept(c.Set)
	case ZoneChanged:
		if k.rules.SetOut(c.Zone, c.Out) {
			if view := k.rules.View(); !c.Out && view != nil {
				k.fleet.MarkZoneCold(view, c.Zone, now)
			}
			k.log.Info().Str("zone", c.Zone).Bool("out", c.Out).Uint64("revision", item.Revision).Msg("availability zone changed")
		}
	case ServerRegistered:
		delete(k.lapsed, c.Instance.ID)
		k.fleet.Register(c.Instance, now)
	case ServerRemoved:
		if item.MayReturn {
			k.lapsed[c.ID] = lapse{revision: c.Revision, until: now.Add(returnTime)}
			return
		}
		k.fleet.Remove(c.ID, c.Revision)
	case Malformed:
		k.fleet.Remove(c.ID, c.Revision)
		k.log.Warn().Str("key", c.Key).Err(c.Err).Msg("entry cannot be read and is ignored")
	}
}

func (k *Syncer) accept(set rules.Set) {
	if k.rules.Accept(set) {
		k.log.Info().Uint64("version", set.Version).Int("routes", len(set.Routes)).Msg("rules in force")
	} else {
		k.log.Debug().Uint64("version", set.Version).Msg("rules that are not newer ignored")
	}
}

// replace takes over a whole state. Registrations that are not in it may have
// lapsed in an outage, so they get the time to return.
func (k *Syncer) replace(state Update, now time.Time) {
	gone := k.history.replace(state)
	for _, item := range state.Items {
		// The tables ignore what is older than what they hold.
		if k.history.items[item.Key].Revision == item.Revision {
			k.change(item, now)
		}
	}
	for _, item := range gone {
		k.change(item, now)
	}
	k.log.Info().Uint64("revision", state.Revision).Int("items", len(state.Items)).Int("gone", len(gone)).Msg("whole state taken over")
}

// expire removes the registrations that did not come back. While the store
// does not answer, nothing can come back.
func (k *Syncer) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	gone, names := 0, zerolog.Arr()
	for id, l := range k.lapsed {
		if now.Before(l.until) {
			continue
		}
		if !k.failing.IsZero() {
			k.lapsed[id] = lapse{revision: l.revision, until: now.Add(returnTime)}
			continue
		}
		delete(k.lapsed, id)
		k.fleet.Remove(id, l.revision)
		if gone++; gone <= loggedItems {
			names.Str(id)
		}
	}
	if gone > 0 {
		k.log.Info().Int("servers", gone).Array("ids", names).Msg("registrations did not return, backend servers gone")
	}
}
