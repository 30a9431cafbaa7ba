package gossip

import "time"

const (
	// announceAge is the age of a host at which it writes its address to the store if it
	// knows no host that has joined: hosts with live seeds know one by then.
	announceAge = 500 * time.Millisecond
	// answerTime is how long a host waits for others after the store has accepted its
	// address: the pause of their watches, a call and two rounds of heartbeats.
	answerTime = 1500 * time.Millisecond
	// repeatInterval is the time after which a host that has met no other one writes its
	// address again: a store that comes back from an older copy has lost it.
	repeatInterval = 10 * time.Second
)

// discovery is how far a host has found out which other hosts there are. The seeds of its
// settings may be gone, so that it finds nobody though others are serving.
type discovery struct {
	// hasMet is set once a heartbeat of another host has arrived.
	hasMet bool
	// announcedAt is when the store first accepted the address of this host for the others
	// to find, and repeatedAt when it did last; zero if it has not.
	announcedAt time.Time
	repeatedAt  time.Time
	// zoneLost is set if the last known host of a zone was removed. Both sides of a long cut
	// forget each other.
	zoneLost bool
}

// HasFoundTier reports whether the local host has found other hosts, or has reason to take
// itself for the only one: those that watch the store have had its address.
func (t *Table) HasFoundTier(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	announcedAt := t.discovery.announcedAt
	return t.discovery.hasMet || (!announcedAt.IsZero() && now.Sub(announcedAt) >= answerTime)
}

// ShouldAnnounce reports whether the local host is to write its address to the store, where
// the hosts that watch it find it. One host of a zone does so, if it knows no host that has
// joined or if all hosts of another zone are gone.
func (t *Table) ShouldAnnounce(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.self.Watching || now.Sub(t.started) < announceAge || !t.shouldWatch(now) {
		return false
	}
	if t.discovery.zoneLost {
		return true
	}
	if !t.discovery.announcedAt.IsZero() {
		return !t.discovery.hasMet && now.Sub(t.discovery.repeatedAt) >= repeatInterval
	}
	for _, r := range t.hosts {
		if r.Joined && t.isLive(r, now) {
			return false
		}
	}
	return true
}

// RecordAnnounced records that the store accepted the address of the local host.
func (t *Table) RecordAnnounced(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.discovery.announcedAt.IsZero() {
		t.discovery.announcedAt = now
	}
	t.discovery.repeatedAt, t.discovery.zoneLost = now, false
}
