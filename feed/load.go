package feed

import (
	"context"
	"time"

	"hyssophub/store"
)

const (
	// settleTime is how long a starting host waits for its neighbours before it loads
	// the full state from the store. Loading it takes dozens of calls at the
	// design size, and hosts that start together would all load the same pages; now
	// one host of a zone does.
	settleTime = 300 * time.Millisecond
	// neighbourTimeout is how long a starting host asks its neighbours at most.
	neighbourTimeout = 2500 * time.Millisecond
	// neighbourPause is the pause before neighbours are asked again.
	neighbourPause = 100 * time.Millisecond
	// neighboursAsked is the number of neighbours that are asked at a time.
	neighboursAsked = 2
	// maxStateAge is the greatest age of the last check of a state with the store at
	// which a starting host relies on the state of another host. Servers that have
	// left since and rules that were replaced would otherwise be in use again.
	maxStateAge = 4 * time.Second
)

// load reads the full state from the store, or from any host if the store does not
// answer. It returns the error of the store if none of them answers. If all hosts start
// together, a host waits for a neighbour whose state is up to date first; a restarted
// host is needed sooner.
func (s *Syncer) load(ctx context.Context) error {
	if s.together && !s.isCaughtUp() && s.loadFromNeighbours(ctx) {
		return nil
	}
	update, err := s.source.Load(ctx)
	if err == nil {
		update.Full = true
		return s.applyLoaded(ctx, update)
	}
	newest, address := s.newestState(ctx, s.peers.Seeds(time.Now()))
	if address == "" {
		return err
	}
	s.log.Info().Err(err).Str("peer", address).Stringer("position", newest.Position).Msg("full state loaded from another host")
	return s.apply(newest, fromPeer, time.Now())
}

// applyLoaded applies the full state of the store. A starting host, and one that has missed
// an era, learn from another host which versions stay in force that the store has lost.
func (s *Syncer) applyLoaded(ctx context.Context, update Update) error {
	s.mu.Lock()
	position := s.history.position
	s.mu.Unlock()
	var known Update
	if update.Position.Era > position.Era+1 || (position == store.Position{} && update.Position.Era > 0) {
		known = s.knownToPeer(ctx, update.Position)
	}
	if known.Full && known.Position.Era < update.Position.Era && time.Since(known.CheckedAt) <= maxStateAge {
		_ = s.apply(known, fromPeer, time.Now())
	}
	if known.Position.Era == update.Position.Era {
		update.Era, update.Lost = known.Era, known.Lost
	}
	err := s.apply(update, fromStore, time.Now())
	if err == nil && known.Position.Era >= update.Position.Era {
		err = s.apply(known, fromPeer, time.Now())
	}
	return err
}

// maxKnownAsked bounds the hosts that are asked for what the store has lost.
const maxKnownAsked = 2

// knownToPeer returns the changes after a position that another host knows, with the
// versions that the store has lost, or the full state of a host in an earlier era.
func (s *Syncer) knownToPeer(ctx context.Context, position store.Position) Update {
	addresses := s.peers.Seeds(time.Now())
	for _, address := range addresses[:min(maxKnownAsked, len(addresses))] {
		update, err := s.peerChanges(ctx, address, position)
		if err == nil && update.Position.Revision > 0 && update.Position.Era < position.Era {
			update, err = s.peerChanges(ctx, address, store.Position{})
		}
		if err == nil && update.Position.Revision > 0 {
			return update
		}
	}
	return Update{}
}

// loadFromNeighbours applies the state of a neighbour that was checked with the store
// recently, and reports whether there is one.
func (s *Syncer) loadFromNeighbours(ctx context.Context) bool {
	start := time.Now()
	for ctx.Err() == nil {
		addresses, isFirst := s.peers.Neighbours(time.Now())
		update, address := s.newestState(ctx, addresses[:min(neighboursAsked, len(addresses))])
		if address != "" && time.Since(update.CheckedAt) <= maxStateAge {
			s.log.Info().Str("peer", address).Stringer("position", update.Position).Dur("checked", time.Since(update.CheckedAt)).Msg("full state loaded from a neighbour")
			return s.apply(update, fromPeer, time.Now()) == nil
		}
		waited := time.Since(start)
		if waited >= neighbourTimeout || (waited >= settleTime && (isFirst || len(addresses) == 0)) {
			return false
		}
		sleep(ctx, neighbourPause)
	}
	return false
}

// maxStatesAsked bounds the hosts that are asked for their states one after the other.
const maxStatesAsked = 6

// newestState asks hosts for their full states and returns the newest one with the
// address of its host, or "" if none has a state.
func (s *Syncer) newestState(ctx context.Context, addresses []string) (Update, string) {
	var (
		newest Update
		from   string
	)
	for _, address := range addresses[:min(maxStatesAsked, len(addresses))] {
		update, err := s.peerChanges(ctx, address, store.Position{})
		if err != nil || len(update.Items) == 0 {
			continue
		}
		if from == "" || update.Position.IsAfter(newest.Position) {
			newest, from = update, address
		}
	}
	return newest, from
}
