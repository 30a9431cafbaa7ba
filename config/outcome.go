package config

// Outcome is the outcome of a change whose store answer was lost. The interface
// is sealed.
type Outcome interface{ outcome() }

type (
	// Applied means that the change was accepted at Revision.
	Applied struct{ Revision uint64 }
	// LostRace means that another change was accepted from the same revision.
	// The change passed to FindOutcome has no effect and cannot take effect
	// later.
	LostRace struct{ Winner Winner }
	// Open means that no change has replaced the base revision yet. The change
	// may be sent again with the same ID.
	Open struct{}
	// Unknown means that the list of recent changes, which is limited in length,
	// no longer covers the revision that the change was made from.
	Unknown struct{ Revision uint64 }
)

func (Applied) outcome()  {}
func (LostRace) outcome() {}
func (Open) outcome()     {}
func (Unknown) outcome()  {}

// Winner is the change that was accepted when two changes conflicted. Author and
// ID are empty if the list of recent changes does not hold it.
type Winner struct {
	Revision uint64
	Author   string
	ID       string
}

// FindOutcome returns the outcome of the change with the given ID that was made
// from revision base. The value has to be read after the change was sent.
func FindOutcome(value Value, id string, base uint64) Outcome {
	for i, c := range value.Changes {
		if c.ID == id {
			return Applied{Revision: revisionOf(value, i)}
		}
	}
	if value.Revision == base {
		return Open{}
	}
	winner, ok := findWinner(value, base)
	if !ok {
		return Unknown{Revision: value.Revision}
	}
	return LostRace{Winner: winner}
}

// findWinner returns the change that was accepted from revision base. The list
// of recent changes covers base exactly if it holds that change, because every
// accepted change records the revision that it replaced.
func findWinner(value Value, base uint64) (Winner, bool) {
	for i, c := range value.Changes {
		if c.From == base {
			return Winner{Revision: revisionOf(value, i), Author: c.Author, ID: c.ID}, true
		}
	}
	return Winner{Revision: value.Revision}, false
}

// revisionOf returns the revision that the i-th recent change created. The next
// change in the list was made from that revision.
func revisionOf(value Value, i int) uint64 {
	if i+1 < len(value.Changes) {
		return value.Changes[i+1].From
	}
	return value.Revision
}
