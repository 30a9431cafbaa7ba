package codec

import (
	"bytes"
	"encoding/json"

	"github.com/samber/oops"

	"hyssophub/once"
)

// Names of the states of a request key in its stored record.
const (
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateReleased = "released"
)

type recordJSON struct {
	Digest  string `json:"digest"`
	State   string `json:"state"`
	Claim   string `json:"claim"`
	Host    string `json:"host,omitempty"`
	Receipt string `json:"receipt,omitempty"`
}

// Once implements once.Codec. It encodes the records of request keys.
type Once struct{}

// Encode implements once.Codec.
func (Once) Encode(record once.Record) ([]byte, error) {
	w := recordJSON{Digest: record.Digest}
	switch s := record.State.(type) {
	case once.Claimed:
		w.State, w.Claim, w.Host = stateClaimed, s.ClaimID, s.Host
	case once.Done:
		w.State, w.Claim, w.Receipt = stateDone, s.ClaimID, s.Receipt
	case once.Released:
		w.State, w.Claim = stateReleased, s.ClaimID
	default:
		return nil, oops.Errorf("record of request key has no state")
	}
	return json.Marshal(w)
}

// Decode implements once.Codec. Unknown fields are an error, since a newer version
// of the software could use them to give the record another meaning.
func (Once) Decode(data []byte) (once.Record, error) {
	var w recordJSON
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return once.Record{}, oops.Wrapf(err, "decode record of request key")
	}
	record := once.Record{Digest: w.Digest}
	switch w.State {
	case stateClaimed:
		record.State = once.Claimed{ClaimID: w.Claim, Host: w.Host}
	case stateDone:
		record.State = once.Done{ClaimID: w.Claim, Receipt: w.Receipt}
	case stateReleased:
		record.State = once.Released{ClaimID: w.Claim}
	default:
		return once.Record{}, oops.Errorf("record of request key has unknown state %q", w.State)
	}
	return record, nil
}
