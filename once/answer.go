package once

import (
	"errors"

	"hyssophub/store"
)

// claimAnswer is what a store call says. The interface is sealed.
type storeAnswer interface{ storeAnswer() }

type (
	// swapDone means that the swap took effect at revision.
	swapSucceeded struct{ revision uint64 }
	// swapMissed means that the key had another revision.
	swapConflicted struct{ entry Entry }
	// swapUntaken means that the swap had no effect. retry is true if another
	// attempt can succeed at once.
	swapRejected struct{ retry bool }
	// swapLost means that the effect of the swap, or the value of the key, is
	// unknown.
	outcomeUnknown struct{}
	// keyRead is the answer of a read.
	keyRead struct{ entry Entry }
)

func (swapSucceeded) storeAnswer()  {}
func (swapConflicted) storeAnswer() {}
func (swapRejected) storeAnswer()   {}
func (outcomeUnknown) storeAnswer() {}
func (keyRead) storeAnswer()        {}

// Codec converts records of request keys to and from values of the store.
type Codec interface {
	Encode(record Record) ([]byte, error)
	Decode(data []byte) (Record, error)
}

// swapAnswer converts the answer of a swap.
func swapAnswer(codec Codec, e store.Entry, err error) storeAnswer {
	switch {
	case err == nil:
		return swapSucceeded{revision: e.Revision}
	case errors.Is(err, store.ErrConflict):
		return swapConflicted{entry: decodeEntry(codec, e)}
	case errors.Is(err, store.ErrLease):
		return swapRejected{retry: true}
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
		return swapRejected{}
	default:
		return outcomeUnknown{}
	}
}

// readAnswer converts the answer of a read.
func readAnswer(codec Codec, e store.Entry, err error) storeAnswer {
	if err != nil {
		return outcomeUnknown{}
	}
	return keyRead{entry: decodeEntry(codec, e)}
}

func decodeEntry(codec Codec, e store.Entry) Entry {
	entry := Entry{Revision: e.Revision}
	if e.Revision == 0 {
		return entry
	}
	if record, err := codec.Decode(e.Value); err == nil {
		entry.Record = &record
	}
	return entry
}
