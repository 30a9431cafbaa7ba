// Package strict decodes JSON that must be exactly one value without unknown
// fields, and finds keys that an object has twice. It leaves the wording of its
// errors for users to the callers.
package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// ErrTrailing means that more data follows after the JSON value.
var ErrTrailing = errors.New("more than one JSON value")

// Decode reads exactly one JSON value into target. It returns the offset in
// bytes at which decoding stopped, and the decoder's error or ErrTrailing.
func Decode(data []byte, target any) (offset int64, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decoder.InputOffset(), err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return decoder.InputOffset(), ErrTrailing
	}
	return decoder.InputOffset(), nil
}
