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
	m := NewMembers("m", start)
	set := func(after time.Duration, isSearching bool, others ...Member) (time.Duration, bool) {
		m.Set(append(others, Member{Name: "m", Zone: "a", Live: true, Searching: isSearching}), start.Add(after))
		from, owns := m.OwnedFrom(Key{ID: "water", Zone: "a"})
		return from.Sub(start), owns
	}
	_, owns := set(time.Minute, true)
	require.False(t, owns || m.HasJoined(start.Add(time.Minute)))
	require.Equal(t, LargestTier, SharingHosts(1, false))

	// It learns what the others own, and they learn that it has joined, before it owns a rate.
	other := Member{Name: "n", Zone: "b", Live: true, Joined: true}
	from, owns := set(time.Minute, false, other)
	require.True(t, owns && m.HasJoined(start.Add(time.Minute+AnnounceDelay)))
	require.Equal(t, time.Minute+2*AnnounceDelay, from)
	require.Equal(t, 2, SharingHosts(2, true))

	// A host that finds others at once waits no longer than before.
	m = NewMembers("m", start)
	set(100*time.Millisecond, true)
	from, _ = set(400*time.Millisecond, false, other)
	require.Equal(t, JoinDelay+AnnounceDelay, from)
}
