package feed

import (
	"time"

	"hyssophub/store"
)

// Times that bound how long a backend server stays in use whose registration is gone. An
// outage of the store that lets registrations expire lasts expiryReports report intervals
// or longer, and every host that watches the store gets an answer, or no answer on a fresh
// connection, more often than that. So an outage is told from silent connections and from
// watchers that are lost, and removals that come with these take effect at once.
const (
	// renewalGrace is how long backend servers may take to register again after
	// their registrations expired in an outage of the store, counted from its next
	// answer to any host. The platform specifies about two seconds.
	renewalGrace = 2200 * time.Millisecond
	// defaultReportInterval is the time between two reports of a backend server to the
	// store if the settings do not say.
	defaultReportInterval = 1200 * time.Millisecond
	// expiryReports is the number of report intervals without an answer of the store from
	// which on registrations may have expired meanwhile. The store removes a registration
	// after three of them, the first of which may have passed before.
	expiryReports = 2
	// minExpirySilence is more than renewalGrace, so that a store that answers in between
	// cannot extend a grace period.
	minExpirySilence = renewalGrace + 200*time.Millisecond
	// peerDelay is the time by which the answers of the store to other hosts, known from
	// heartbeats, may be further apart: most of a watch and its batch.
	peerDelay = 1600 * time.Millisecond
	// watchTime is the longest time from an answer of the store to the end of the next
	// watch, and overdueTime that from there until the watch is given up because its
	// connection may be silent.
	watchTime   = 1600 * time.Millisecond
	overdueTime = 400 * time.Millisecond
	// noticeTime is the time after which a silent connection to the store is replaced.
	noticeTime = watchTime + overdueTime
	// probeWait is the wait of a watch after a failed call. It shows at once whether
	// the store answers again, also if it has no change. A slow store has probeTimeout.
	probeWait    = time.Millisecond
	probeTimeout = time.Second
	// drainTime is the time after the store confirmed that a server has left in which the
	// platform tolerates requests to it, and drainMargin the part of it that is left after
	// the loss of a watcher or a silent connection was noticed.
	drainTime   = 3 * time.Second
	drainMargin = 500 * time.Millisecond
)

// outage is what a host knows of outages of the store, and of the registrations that may
// have expired in one.
type outage struct {
	// failingSince is when the store stopped answering; zero while it answers or
	// while this host relies on peers.
	failingSince time.Time
	// heardAt is when the store last answered this or another host that knows nothing
	// newer.
	heardAt time.Time
	// returnedAt is when the store last answered after an outage.
	returnedAt time.Time
	// count is the number of outages that this host found or learned of.
	count uint64
	// expiring holds by instance ID the deleted registrations that may be renewed.
	expiring map[string]expiry
}

// expiry is a deleted registration whose instance stays in use until a deadline.
type expiry struct {
	// key and position are those of the deletion.
	key      string
	position store.Position
	until    time.Time
}

func (o *outage) isFailing() bool { return !o.failingSince.IsZero() }

// expirySilence is the time without an answer of the store from which on registrations may
// have expired meanwhile.
func (o Options) expirySilence() time.Duration {
	return max(minExpirySilence, expiryReports*o.ReportInterval)
}

// peerSilence is expirySilence for the answers of the store to other hosts.
func (o Options) peerSilence() time.Duration { return o.expirySilence() + peerDelay }

// recordContact records that the store answered. After a silence in which registrations
// may have expired, their servers have renewalGrace from now on. A shorter silence, as
// of a watch that was cut, extends no grace period.
func (s *Syncer) recordContact(update Update, now time.Time) {
	silence := s.silence(now)
	if s.outage.isFailing() {
		s.log.Info().Dur("lost_for", now.Sub(s.outage.failingSince)).Int("in_doubt", len(s.outage.expiring)).Stringer("position", update.Position).
			Dur("silence", silence).Msg("store reachable again")
	}
	if silence >= s.options.expirySilence() {
		s.recordReturn(now)
		s.log.Warn().Dur("silence", silence).Int("in_doubt", len(s.outage.expiring)).Msg("store back after an outage, registrations may have expired")
	}
	s.outage.failingSince, s.outage.heardAt = time.Time{}, now
	if !s.watching {
		s.watching = true
		s.log.Info().Msg("host watches the store")
	}
	s.peers.ReportStore(false, s.outage.returnedAt)
}

// recordReturn records the return of the store after an outage. Several hosts may find it
// back a moment apart.
func (s *Syncer) recordReturn(at time.Time) {
	if at.Sub(s.outage.returnedAt) >= renewalGrace {
		s.outage.count++
	}
	s.outage.returnedAt = at
	s.restartGrace(at)
}

// silence returns how long the store has left calls of the hosts without an answer. The
// loss of the hosts that watched it, without such a call, is no silence of the store.
func (s *Syncer) silence(now time.Time) time.Duration {
	if !s.watching && !s.outage.isFailing() && !s.peers.IsStoreFailing() {
		return 0
	}
	last := s.peers.LastContact()
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// recordFailure records that the store did not answer.
func (s *Syncer) recordFailure(err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = false
	if s.outage.isFailing() {
		return
	}
	s.outage.failingSince = now
	s.log.Warn().Err(err).Stringer("position", s.history.position).Msg("store unreachable")
	// Hosts that watch the store in place of this one must know of the outage.
	s.peers.ReportStore(true, s.outage.returnedAt)
}

// mayHaveExpired reports whether a deletion that is read now may be an expiry in an outage.
func (s *Syncer) mayHaveExpired(now time.Time) bool {
	s.learnReturn(now)
	return !s.outage.returnedAt.IsZero() && now.Sub(s.outage.returnedAt) < renewalGrace
}

// renewalDeadline returns the time until which a server stays in use whose registration may
// be renewed. All hosts count from the return of the store, also those that hear of the
// deletion later.
func (s *Syncer) renewalDeadline(now time.Time) time.Time {
	s.learnReturn(now)
	if s.outage.returnedAt.IsZero() || now.Sub(s.outage.returnedAt) >= returnRetention {
		return now.Add(renewalGrace)
	}
	return s.outage.returnedAt.Add(renewalGrace)
}

// returnRetention is how long the return of the store counts as the cause of an expiry that
// another host tells of.
const returnRetention = 10 * time.Second

// learnReturn takes over from other hosts when the store returned after an outage.
func (s *Syncer) learnReturn(now time.Time) {
	returned := s.peers.StoreReturned(s.options.expirySilence())
	if !returned.After(s.outage.returnedAt) {
		return
	}
	s.recordReturn(returned)
	s.log.Info().Dur("since", now.Sub(returned)).Int("in_doubt", len(s.outage.expiring)).Msg("another host found the store back after an outage")
}

// removeExpired removes the registrations that were not renewed within renewalGrace. No
// registration can be renewed while the store does not answer, so none is removed until it
// answers this host or, if it does not, another one.
func (s *Syncer) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isFailing := s.outage.isFailing()
	if isFailing {
		s.recordPeerContact(now)
	}
	s.learnReturn(now)
	s.releaseLost(now, isFailing)
	var removed []string
	for id, e := range s.outage.expiring {
		if now.Before(e.until) || (isFailing && s.outage.heardAt.Before(e.until)) {
			continue
		}
		delete(s.outage.expiring, id)
		s.fleet.Remove(id, e.position)
		s.history.settle(e.key, e.position)
		removed = append(removed, id)
	}
	if len(removed) > 0 {
		s.log.Info().Int("servers", len(removed)).Strs("ids", removed[:min(maxLoggedKeys, len(removed))]).Msg("registrations not renewed, backend servers removed")
	}
}

// recordPeerContact records when the store last answered another host that knows nothing
// newer, while it does not answer this one. If it answered none of them for peerSilence,
// registrations may have expired, and the grace periods start again.
func (s *Syncer) recordPeerContact(now time.Time) {
	checked := s.peers.CheckedAt(s.history.position)
	if !checked.After(s.outage.heardAt) {
		return
	}
	if checked.Sub(s.outage.heardAt) >= s.options.peerSilence() {
		s.restartGrace(now)
	}
	s.outage.heardAt = checked
}

// restartGrace gives the servers whose registrations may be renewed the whole of
// renewalGrace from a time on.
func (s *Syncer) restartGrace(from time.Time) {
	for id, e := range s.outage.expiring {
		if until := from.Add(renewalGrace); until.After(e.until) {
			e.until = until
			s.outage.expiring[id] = e
		}
	}
}
