package store

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of a store. A store that comes back from an older
// copy begins a new era: its revisions go back to that of the copy, and are given out
// again. Every position of a later era is newer than those of the eras before.
type Position struct {
	// Era counts how often the store came back from a copy; 0 if it does not say.
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 if the position is older than another one, the same or newer.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsAfter reports whether the position is newer than another one.
func (p Position) IsAfter(other Position) bool { return p.Compare(other) > 0 }

// String returns the revision, with the era before it unless that is 0.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(p.Revision)
	}
	return fmt.Sprintf("%d.%d", p.Era, p.Revision)
}

// Later returns the newer one of two positions.
func Later(a, b Position) Position {
	if b.IsAfter(a) {
		return b
	}
	return a
}
