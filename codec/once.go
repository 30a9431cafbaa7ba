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
func (Once) Encode(stored once.Stored) ([]byte, error) {
	w := recordJSON{Digest: stored.Digest}
	switch s := stored.State.(type) {
	case once.Claimed:
		w.State, w.Claim, w.Host = stateClaimed, s.Claim, s.Host
	case once.Done:
		w.State, w.Claim, w.Receipt = stateDone, s.Claim, s.Receipt
	case once.Released:
		w.State, w.Claim = stateReleased, s.Claim
	default:
		return nil, oops.Errorf("record of request key has no state")
	}
	return json.Marshal(w)
}

// Decode implements once.Codec. Unknown fields are an error, since a newer version
// of the software could use them to give the record another meaning.
func (Once) Decode(data []byte) (once.Stored, error) {
	var w recordJSON
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return once.Stored{}, oops.Wrapf(err, "decode record of request key")
	}
	stored := once.Stored{Digest: w.Digest}
	switch w.State {
	case stateClaimed:
		stored.State = once.Claimed{Claim: w.Claim, Host: w.Host}
	case stateDone:
		stored.State = once.Done{Claim: w.Claim, Receipt: w.Receipt}
	case stateReleased:
		stored.State = once.Released{Claim: w.Claim}
	default:
		return once.Stored{}, oops.Errorf("record of request key has unknown state %q", w.State)
	}
	return stored, nil
}
