package once

import "hyssophub/fault"

// Record is the value of a request key in the store.
type Record struct {
	// Digest identifies the service and text that the key was first used with.
	Digest string
	State  State
}

// State is the state of a request key. The interface is sealed. A key without
// an entry in the store was never used or has expired.
type State interface {
	state()
	// claimID returns the id of the claim that wrote the state.
	claimID() string
}

type (
	// Claimed means that a host holds the claim and may have dispatched the
	// request.
	Claimed struct {
		ClaimID string
		Host    string
	}
	// Done means that the request ran. Receipt is the backend server's receipt.
	Done struct {
		ClaimID string
		Receipt string
	}
	// Released means that the request of the claim is proven not to have run, so
	// that a repeat may run.
	Released struct {
		ClaimID string
	}
)

func (Claimed) state()  {}
func (Done) state()     {}
func (Released) state() {}

func (s Claimed) claimID() string  { return s.ClaimID }
func (s Done) claimID() string     { return s.ClaimID }
func (s Released) claimID() string { return s.ClaimID }

// Entry is the decoded entry of a key in the store. Revision 0 means that the
// key is absent. A nil Record at another revision means that this host cannot
// decode the value.
type Entry struct {
	Revision uint64
	Record   *Record
}

// ClaimDecision is the consequence of a stored entry for a request that needs
// to claim the key. The interface is sealed.
type ClaimDecision interface{ claimDecision() }

type (
	// Claimable means that the key may be claimed by a swap at Revision.
	Claimable struct{ Revision uint64 }
	// ClaimInForce means that the request's own claim is in force at Revision.
	ClaimInForce struct{ Revision uint64 }
	// Resolved means that the request must not run on this host. Receipt is set
	// if Verdict is fault.Ran.
	Resolved struct {
		Verdict fault.Verdict
		Reason  fault.Reason
		Receipt string
	}
)

func (Claimable) claimDecision()    {}
func (ClaimInForce) claimDecision() {}
func (Resolved) claimDecision()     {}

// DecideClaim decides whether a request may claim a key over the stored entry.
// A repeat with another service or text is refused in every state. A record
// that cannot be decoded is treated as claimed.
func DecideClaim(entry Entry, claimID, digest string) ClaimDecision {
	if entry.Revision == 0 {
		return Claimable{}
	}
	if entry.Record == nil {
		return Resolved{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDuplicate}
	}
	if entry.Record.Digest != digest {
		return Resolved{Verdict: fault.NotRun{}, Reason: fault.ReasonConflict}
	}
	switch s := entry.Record.State.(type) {
	case Released:
		return Claimable{Revision: entry.Revision}
	case Done:
		return Resolved{Verdict: fault.Ran{}, Receipt: s.Receipt}
	case Claimed:
		if s.ClaimID == claimID {
			return ClaimInForce{Revision: entry.Revision}
		}
	}
	return Resolved{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDuplicate}
}

// FinalWriteDecision says whether the final state of a claim is still to be
// written. The interface is sealed.
type FinalWriteDecision interface{ finalWriteDecision() }

type (
	// WriteAt means that the final state is still to be written, by a swap at
	// Revision.
	WriteAt struct{ Revision uint64 }
	// NothingToWrite means that the key needs no further write.
	NothingToWrite struct{}
)

func (WriteAt) finalWriteDecision()        {}
func (NothingToWrite) finalWriteDecision() {}

// DecideFinalWrite decides how the final state of a claim is written over the
// stored entry. An absent key is written as well: a claim whose answer was lost
// could otherwise still take effect and block the key. A key with the claim of
// another request is not changed.
func DecideFinalWrite(entry Entry, claimID string) FinalWriteDecision {
	if entry.Revision == 0 {
		return WriteAt{}
	}
	if entry.Record == nil {
		return NothingToWrite{}
	}
	if s, ok := entry.Record.State.(Claimed); ok && s.ClaimID == claimID {
		return WriteAt{Revision: entry.Revision}
	}
	return NothingToWrite{}
}
