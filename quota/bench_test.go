package quota

import (
	"fmt"
	"testing"
	"time"

	"hyssophub/share"
)

// BenchmarkAnswer measures the decision of an owner on a claim, for an account that was
// asked for before.
func BenchmarkAnswer(b *testing.B) {
	now := time.Unix(1000, 0)
	t := benchTable(660, now)
	claims := make([]Claim, 1)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		claims[0] = Claim{Number: 1, Cap: Cap{Account: fmt.Sprint("account-", n%100), Rate: 10, Burst: 10, Version: 1}, Want: 1}
		t.Answer(claims, now)
	}
}

// BenchmarkRanking measures the choice of the owners of an account after a change of the
// hosts.
func BenchmarkRanking(b *testing.B) {
	t := benchTable(660, time.Unix(1000, 0))
	b.ReportAllocs()
	for b.Loop() {
		t.members.Epoch++
		t.ranking("account")
	}
}

// benchTable returns the table of a host that has joined, among others in 9 zones.
func benchTable(hosts int, now time.Time) *Table {
	t := NewTable("h0", Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, now.Add(-time.Minute))
	var members []share.Member
	for i := range hosts {
		name := fmt.Sprint("h", i)
		members = append(members, share.Member{Name: name, Zone: fmt.Sprint("z", i%9), Address: name, Live: true, Joined: true})
	}
	t.SetMembers(members, now)
	return t
}
