package flow

import (
	"time"

	"hyssophub/share"
)

// Member is an entry host as this host knows it.
type Member = share.Member

// HasJoined reports whether this host may own limits. The other hosts are to be told.
func (t *Table) HasJoined(now time.Time) bool { return t.members.HasJoined(now) }

// SetMembers sets the hosts that are known now, the local one included.
func (t *Table) SetMembers(members []Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.Set(members, now)
	t.expire(now)
}

// key returns the key of the server's rate. Hosts of its zone own it first, since a host
// that reaches the server mostly reaches these too.
func (s *state) key() share.Key { return share.Key{ID: s.server.ID, Zone: s.server.Zone} }

// candidates returns the live hosts that own the limit of a server, in order: the
// owner and the host that follows it.
func (t *Table) candidates(s *state) []*share.Peer {
	if s.ask.epoch == t.members.Epoch && s.ask.candidates != nil {
		return s.ask.candidates
	}
	live := t.members.Candidates(s.key())
	s.ask.candidates, s.ask.epoch = live[:min(len(live), candidateCount)], t.members.Epoch
	return s.ask.candidates
}

// candidateCount is the number of hosts that are asked in turn while none answers.
const candidateCount = 2

// share returns the share, 0 to 1, of a server's limit that this host may grant now;
// zero unless it owns the limit. While hosts of the server's zone are lost, and may
// be serving where this host does not see them, their part is left to them.
func (t *Table) share(s *state, now time.Time) float64 {
	if from, owns := t.members.OwnedFrom(s.key()); !owns || now.Before(from) {
		return 0
	}
	live, lost := t.members.Count(s.server.Zone)
	if lost == 0 {
		return 1
	}
	return float64(live) / float64(live+lost)
}
