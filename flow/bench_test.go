package flow

import (
	"fmt"
	"testing"
	"time"
)

// benchTable returns a table of a host among others of its zone, which knows servers
// with a rate limit.
func benchTable(hosts, servers int, now time.Time) *Table {
	t := NewTable("h0", now.Add(-time.Minute))
	var members []Member
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		members = append(members, Member{Name: name, Zone: "a", Address: name, Live: true, Joined: true})
	}
	t.SetMembers(members, now)
	for i := range servers {
		t.Learn(Server{ID: fmt.Sprintf("s%d", i), Zone: "a"}, Notice{Limited: true, Rate: 100}, now, now)
	}
	return t
}

// BenchmarkCheck measures the admission of a request to one server, which each choice
// of a server makes for each replica.
func BenchmarkCheck(b *testing.B) {
	for _, servers := range []int{0, 1, 4400} {
		b.Run(fmt.Sprintf("limited=%d", servers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := benchTable(73, servers, now)
			b.ReportAllocs()
			for b.Loop() {
				t.Check(Server{ID: "s0", Zone: "a"}, now)
			}
		})
	}
}

// BenchmarkAnswer measures the answer of an owner to a full batch of asks.
func BenchmarkAnswer(b *testing.B) {
	for _, hosts := range []int{3, 73} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := benchTable(hosts, maxAsks, now)
			var asks []Ask
			for i := range maxAsks {
				asks = append(asks, Ask{Server: Server{ID: fmt.Sprintf("s%d", i), Zone: "a"}, Limit: Limit{Named: true, Rate: 100, SaidAt: now}, Want: 2})
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				t.Answer("h1", asks, now)
			}
		})
	}
}

// BenchmarkAsks measures a round of asks of a host for servers with a rate limit, all of
// which it wants to send to.
func BenchmarkAsks(b *testing.B) {
	for _, servers := range []int{16, 450} {
		b.Run(fmt.Sprintf("limited=%d", servers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := benchTable(73, servers, now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * askInterval)
				for i := range servers {
					t.Want(Server{ID: fmt.Sprintf("s%d", i), Zone: "a"}, false, now)
				}
				t.Asks(now)
			}
		})
	}
}
