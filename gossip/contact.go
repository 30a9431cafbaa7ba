package gossip

import (
	"slices"
	"time"
)

const (
	// contactRetention is how long answers of the store and its return after an outage are
	// remembered.
	contactRetention = 15 * time.Second
	// contactSpacing is the least time between two answers that are remembered apart.
	contactSpacing = 50 * time.Millisecond
	// returnSpread is the time within which several hosts find the store back at the end
	// of the same outage, with the error of times in heartbeats.
	returnSpread = 500 * time.Millisecond
)

// recordContact remembers an answer of the store to any host.
func (t *Table) recordContact(at time.Time) {
	last := len(t.contacts) - 1
	if at.IsZero() || (last >= 0 && t.contacts[last].Sub(at) > contactRetention) {
		return
	}
	i, _ := slices.BinarySearchFunc(t.contacts, at, time.Time.Compare)
	if (i > 0 && at.Sub(t.contacts[i-1]) < contactSpacing) || (i < len(t.contacts) && t.contacts[i].Sub(at) < contactSpacing) {
		return
	}
	t.contacts = slices.Insert(t.contacts, i, at)
	for len(t.contacts) > 1 && t.contacts[len(t.contacts)-1].Sub(t.contacts[0]) > contactRetention {
		t.contacts = t.contacts[1:]
	}
}

// dropOldReturn forgets a return of the store that explains no expiry any more.
func (r *Record) dropOldReturn(now time.Time) {
	if now.Sub(r.StoreReturned) > contactRetention {
		r.StoreReturned = time.Time{}
	}
}

// LastContact returns when the store last answered any host, as far as known; zero if that
// is not known.
func (t *Table) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.self.StoreContact
	for _, r := range t.hosts {
		if r.StoreContact.After(last) {
			last = r.StoreContact
		}
	}
	return last
}

// IsStoreFailing reports whether another host has said that the store left its last call
// without an answer.
func (t *Table) IsStoreFailing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.hosts {
		if r.StoreFailing {
			return true
		}
	}
	return false
}

// StoreReturned returns when another host last found the store back after it had answered
// none for the time silence; zero if none did lately. The word of a host that was cut off
// itself does not count: the store has answered others meanwhile.
func (t *Table) StoreReturned(silence time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var returned time.Time
	for _, r := range t.hosts {
		if r.StoreReturned.After(returned) && !t.answeredBetween(r.StoreReturned.Add(-silence), r.StoreReturned.Add(-returnSpread)) {
			returned = r.StoreReturned
		}
	}
	return returned
}

// answeredBetween reports whether the store is known to have answered any host between two
// times.
func (t *Table) answeredBetween(from, to time.Time) bool {
	return slices.ContainsFunc(t.contacts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
