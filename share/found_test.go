package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSearchingHostOwnsNothing guards against a host that takes itself for the only one
// because its seeds are gone: every rate and budget would be granted twice.
func TestSearchingHostOwnsNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	self := Member{Name: "m", Zone: "a", Live: true}
	key := Key{ID: "water", Zone: "a"}
	m := NewMembers("m", start)
	set := func(after time.Duration, isSearching bool, others ...Member) (time.Duration, bool) {
		self.Searching = isSearching
		self.Joined = m.HasJoined(start.Add(after))
		m.Set(append(others, self), start.Add(after))
		from, owns := m.OwnedFrom(key)
		return from.Sub(start), owns
	}
	_, owns := set(time.Minute, true)
	require.False(t, owns)
	require.False(t, m.HasJoined(start.Add(time.Minute)))
	require.Equal(t, LargestTier, SharingHosts(1, false))

	// It finds the others. It learns what they own, and they learn that it has joined,
	// before it owns a rate.
	other := Member{Name: "n", Zone: "b", Live: true, Joined: true}
	from, owns := set(time.Minute+time.Second, false, other)
	require.True(t, owns)
	require.Equal(t, time.Minute+time.Second+2*AnnounceDelay, from)
	require.False(t, m.HasJoined(start.Add(time.Minute+time.Second)))
	require.True(t, m.HasJoined(start.Add(time.Minute+2*time.Second)))
	require.Equal(t, 2, SharingHosts(2, true))

	// A host that finds others at once waits no longer than before.
	m = NewMembers("m", start)
	set(100*time.Millisecond, true)
	from, owns = set(400*time.Millisecond, false, other)
	require.True(t, owns)
	require.Equal(t, JoinDelay+AnnounceDelay, from)
}
