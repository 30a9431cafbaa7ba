package codec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/samber/oops"

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

// maxPlain bounds a configuration after decompression, in bytes.
const maxPlain = 16 << 20

// DecodeValue reads a stored configuration. The revision is the store's.
func DecodeValue(data []byte, revision uint64) (config.Value, error) {
	plain, err := decompress(data)
	if err != nil {
		return config.Value{}, err
	}
	return decodePlain(plain, revision)
}

func decodePlain(plain []byte, revision uint64) (config.Value, error) {
	var w wireValue
	if err := decodeStrict(plain, &w); err != nil {
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

// EncodeValue writes a configuration as the store holds it: JSON compressed
// with gzip. Each change sends the whole value to each host; at 3,000 changes a
// day and 4,400 servers the plain text would take most of the 28 KB/s that
// control may use.
func EncodeValue(value config.Value) ([]byte, error) {
	w := wireValue{Manifest: toWire(value.Manifest), Out: value.Out}
	for _, c := range value.Changes {
		w.Changes = append(w.Changes, wireChange(c))
	}
	plain, err := json.Marshal(w)
	if err != nil {
		return nil, oops.Wrapf(err, "configuration")
	}
	return compress(plain)
}

func compress(plain []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(plain); err != nil {
		return nil, oops.Wrapf(err, "compress configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, oops.Wrapf(err, "compress configuration")
	}
	return buffer.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, oops.Wrapf(err, "configuration is not compressed with gzip")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxPlain+1))
	if err != nil {
		return nil, oops.Wrapf(err, "decompress configuration")
	}
	if len(plain) > maxPlain {
		return nil, oops.Errorf("configuration exceeds %d bytes after decompression", maxPlain)
	}
	return plain, nil
}

// Config implements config.Codec.
type Config struct{}

// Encode implements config.Codec.
func (Config) Encode(value config.Value) ([]byte, error) { return EncodeValue(value) }

// Decode implements config.Codec.
func (Config) Decode(data []byte, revision uint64) (config.Value, error) {
	return DecodeValue(data, revision)
}
