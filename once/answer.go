package once

import (
	"errors"

	"hyssophub/store"
)

// storeAnswer is the answer of a store call. The interface is sealed.
type storeAnswer interface{ storeAnswer() }

type (
	// swapSucceeded means that the swap took effect and gave the key revision.
	swapSucceeded struct{ revision uint64 }
	// swapConflicted means that the swap had no effect, since the key has another
	// revision than expected. entry is the current entry.
	swapConflicted struct{ entry Entry }
	// swapRejected means that the swap had no effect for a reason other than a
	// conflict. retry is true if another attempt can succeed at once.
	swapRejected struct{ retry bool }
	// outcomeUnknown means that the effect of the swap, or the value of the key
	// to read, is unknown.
	outcomeUnknown struct{}
	// keyRead is the answer of a successful read.
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

// swapAnswer converts the result of KV.Swap.
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

// readAnswer converts the result of KV.Get.
func readAnswer(codec Codec, e store.Entry, err error) storeAnswer {
	if err != nil {
		return outcomeUnknown{}
	}
	return keyRead{entry: decodeEntry(codec, e)}
}

// decodeEntry decodes an entry of the store. The record is nil if the key is
// absent or its value cannot be decoded.
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
