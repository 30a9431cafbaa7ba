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

type valueJSON struct {
	Manifest manifestJSON `json:"manifest"`
	Out      []string     `json:"out"`
	Changes  []changeJSON `json:"changes"`
}

type changeJSON struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	From   uint64    `json:"from"`
	Note   string    `json:"note"`
}

// maxDecompressedBytes is the maximum size of a configuration after decompression.
const maxDecompressedBytes = 16 << 20

// DecodeValue decodes a stored configuration. revision is the revision of the value
// in the store.
func DecodeValue(data []byte, revision uint64) (config.Value, error) {
	plain, err := decompress(data)
	if err != nil {
		return config.Value{}, err
	}
	return decodeUncompressed(plain, revision)
}

// decodeUncompressed decodes a configuration from its uncompressed JSON.
func decodeUncompressed(plain []byte, revision uint64) (config.Value, error) {
	var w valueJSON
	if err := decodeStrict(plain, &w); err != nil {
		return config.Value{}, err
	}
	manifest, err := manifestFromJSON(w.Manifest)
	if err != nil {
		return config.Value{}, err
	}
	value := config.Value{Revision: revision, Manifest: manifest, ZonesOut: w.Out}
	for _, c := range w.Changes {
		value.Changes = append(value.Changes, config.Change(c))
	}
	return value, nil
}

// EncodeValue encodes a configuration for the store, as JSON compressed with gzip.
// Each change sends the whole value to each host. At 3,000 changes a day and 4,400
// servers, uncompressed JSON would take most of the 28 KB/s that control traffic
// may use.
func EncodeValue(value config.Value) ([]byte, error) {
	w := valueJSON{Manifest: manifestToJSON(value.Manifest), Out: value.ZonesOut}
	for _, c := range value.Changes {
		w.Changes = append(w.Changes, changeJSON(c))
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
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, oops.Wrapf(err, "decompress configuration")
	}
	if len(plain) > maxDecompressedBytes {
		return nil, oops.Errorf("configuration exceeds %d bytes after decompression", maxDecompressedBytes)
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
