package config

// Outcome says what became of a change whose store answer was lost. The
// interface is sealed.
type Outcome interface{ decision() }

type (
	// Applied means that the change was accepted at Revision.
	Applied struct{ Revision uint64 }
	// LostRace means that another change was accepted from the same revision, so
	// that this one has no effect and never will.
	LostRace struct{ Winner Winner }
	// Open means that no change has followed the revision yet. The change may
	// be sent again with the same id.
	Open struct{}
	// Unknown means that the window of recent changes no longer reaches back
	// to the revision that the change was made from.
	Unknown struct{ Revision uint64 }
)

func (Applied) decision()  {}
func (LostRace) decision() {}
func (Open) decision()     {}
func (Unknown) decision()  {}

// Winner names the change that was accepted in place of another one. Author
// and ID are empty if the window of recent changes does not hold it.
type Winner struct {
	Revision uint64
	Author   string
	ID       string
}

// FindOutcome tells from a value read later what became of the change with the
// given id that was made from revision base.
func FindOutcome(value Value, id string, base uint64) Outcome {
	for i, c := range value.Changes {
		if c.ID == id {
			return Applied{Revision: revisionOf(value, i)}
		}
	}
	if value.Revision == base {
		return Open{}
	}
	winner, ok := winnerOver(value, base)
	if !ok {
		return Unknown{Revision: value.Revision}
	}
	return LostRace{Winner: winner}
}

// winnerOver returns the change that was accepted from revision base. The
// window is complete for base exactly if it holds that change, because every
// accepted change records the revision that it replaced.
func winnerOver(value Value, base uint64) (Winner, bool) {
	for i, c := range value.Changes {
		if c.From == base {
			return Winner{Revision: revisionOf(value, i), Author: c.Author, ID: c.ID}, true
		}
	}
	return Winner{Revision: value.Revision}, false
}

// revisionOf returns the revision that the i-th recent change led to, which is
// the one that the next change was made from.
func revisionOf(value Value, i int) uint64 {
	if i+1 < len(value.Changes) {
		return value.Changes[i+1].From
	}
	return value.Revision
}
