package share

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHash guards against a hash that differs from that of earlier builds: hosts of both
// would take different hosts for the owner of a rate.
func TestHash(t *testing.T) {
	h := fnv.New64a()
	_, _ = h.Write([]byte("server\x00host\x00"))
	require.Equal(t, mix(h.Sum64()), Hash("server", "host"))
}

// TestOwnersAreTheFirstCandidates guards against hosts that ask another host than the one
// that takes itself for the owner.
func TestOwnersAreTheFirstCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	var list []Member
	for i := range 40 {
		list = append(list, Member{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%4), Live: i%5 > 0, Joined: i%3 > 0})
	}
	for i := range 100 {
		key := Key{ID: fmt.Sprint("account-", i), Zone: "z1"}
		m := NewMembers("h1", now.Add(-time.Minute))
		m.Set(list, now)
		first := make(map[string]string)
		for _, p := range m.Candidates(key) {
			if first[p.Zone] == "" {
				first[p.Zone] = p.Name
			}
		}
		owners := m.Owners(key)
		require.Len(t, owners, 4)
		require.Equal(t, "z1", owners[0].Zone)
		for _, p := range owners {
			require.Equal(t, first[p.Zone], p.Name)
			member := NewMembers(p.Name, now.Add(-time.Minute))
			member.Set(list, now)
			_, owns := member.OwnedFrom(Key{ID: key.ID, Zone: p.Zone})
			require.True(t, owns)
		}
	}
}
