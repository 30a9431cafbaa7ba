package codec

import (
	"encoding/json"
	"time"

	"hyssophub/config"
)

type wireValue struct {
	Manifest wireManifest `json:"manifest"`
	Out      []string     `json:"out"`
	Changes  []wireChange `json:"changes"`
}

type wireChange struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	From   uint64    `json:"from"`
	Note   string    `json:"note"`
}

// DecodeValue reads a stored configuration. The revision is the store's.
func DecodeValue(data []byte, revision uint64) (config.Value, error) {
	var w wireValue
	if err := decodeStrict(data, &w); err != nil {
		return config.Value{}, err
	}
	manifest, err := fromWire(w.Manifest)
	if err != nil {
		return config.Value{}, err
	}
	value := config.Value{Revision: revision, Manifest: manifest, Out: w.Out}
	for _, c := range w.Changes {
		value.Changes = append(value.Changes, config.Change(c))
	}
	return value, nil
}

// EncodeValue writes a configuration as the store holds it.
func EncodeValue(value config.Value) ([]byte, error) {
	w := wireValue{Manifest: toWire(value.Manifest), Out: value.Out}
	for _, c := range value.Changes {
		w.Changes = append(w.Changes, wireChange(c))
	}
	return json.Marshal(w)
}

// JSON implements config.Codec.
type JSON struct{}

// Encode implements config.Codec.
func (JSON) Encode(value config.Value) ([]byte, error) { return EncodeValue(value) }

// Decode implements config.Codec.
func (JSON) Decode(data []byte, revision uint64) (config.Value, error) {
	return DecodeValue(data, revision)
}
