package once

import (
	"errors"

	"hyssophub/store"
)

// claimAnswer is what a store call says. The interface is sealed.
type claimAnswer interface{ claimAnswer() }

type (
	// swapDone means that the swap took effect at revision.
	swapDone struct{ revision uint64 }
	// swapMissed means that the key had another revision.
	swapMissed struct{ found Entry }
	// swapUntaken means that the swap had no effect. retry is true if another
	// attempt can succeed at once.
	swapUntaken struct{ retry bool }
	// swapLost means that the effect of the swap, or the value of the key, is
	// unknown.
	swapLost struct{}
	// keyRead is the answer of a read.
	keyRead struct{ found Entry }
)

func (swapDone) claimAnswer()    {}
func (swapMissed) claimAnswer()  {}
func (swapUntaken) claimAnswer() {}
func (swapLost) claimAnswer()    {}
func (keyRead) claimAnswer()     {}

// Codec converts records of request keys to and from values of the store.
type Codec interface {
	Encode(stored Record) ([]byte, error)
	Decode(data []byte) (Record, error)
}

// swapAnswer converts the answer of a swap.
func swapAnswer(codec Codec, e store.Entry, err error) claimAnswer {
	switch {
	case err == nil:
		return swapDone{revision: e.Revision}
	case errors.Is(err, store.ErrConflict):
		return swapMissed{found: find(codec, e)}
	case errors.Is(err, store.ErrLease):
		return swapUntaken{retry: true}
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
		return swapUntaken{}
	default:
		return swapLost{}
	}
}

// readAnswer converts the answer of a read.
func readAnswer(codec Codec, e store.Entry, err error) claimAnswer {
	if err != nil {
		return swapLost{}
	}
	return keyRead{found: find(codec, e)}
}

func find(codec Codec, e store.Entry) Entry {
	found := Entry{Revision: e.Revision}
	if e.Revision == 0 {
		return found
	}
	if stored, err := codec.Decode(e.Value); err == nil {
		found.Stored = &stored
	}
	return found
}
