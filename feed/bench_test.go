package feed

import (
	"fmt"
	"testing"

	"hyssophub/store"
)

// BenchmarkChangesAfter measures serving a host that lacks the newest change, at the
// number of registrations of the design size and after each of them was written twice.
func BenchmarkChangesAfter(b *testing.B) {
	const servers = 4400
	h := newHistory()
	for i := range 2 * servers {
		position := store.Position{Revision: uint64(i + 1)}
		h.add(Item{Key: fmt.Sprintf("server/%d", i%servers), Value: make([]byte, 200), Position: position})
		h.complete(position)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(h.after(store.Position{Revision: h.position.Revision - 1}).Items) != 1 {
			b.Fatal("one change expected")
		}
	}
}
