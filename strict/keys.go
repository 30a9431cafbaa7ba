package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// DuplicateKeyError is the error for a key that an object has twice. The decoder of
// encoding/json would use the last value without an error.
type DuplicateKeyError struct {
	Key string
	// Offset is the position after the second key, in bytes.
	Offset int64
}

// Error returns the key and the position of its second use.
func (e *DuplicateKeyError) Error() string {
	return fmt.Sprintf("key %q is given twice in one object, the second time before byte %d", e.Key, e.Offset)
}

// CheckKeys returns a *DuplicateKeyError for the first key that an object has
// twice, and the decoder's error for data that is not valid JSON.
func CheckKeys(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	return checkValue(decoder)
}

// CheckDuplicateKeys returns a *DuplicateKeyError for the first key that an object
// has twice. It ignores invalid JSON, which Decode reports.
func CheckDuplicateKeys(data []byte) error {
	var duplicate *DuplicateKeyError
	if err := CheckKeys(data); errors.As(err, &duplicate) {
		return err
	}
	return nil
}

func checkValue(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return checkObject(decoder)
	case json.Delim('['):
		for decoder.More() {
			if err := checkValue(decoder); err != nil {
				return err
			}
		}
		_, err := decoder.Token()
		return err
	}
	return nil
}

func checkObject(decoder *json.Decoder) error {
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		if seen[key] {
			return &DuplicateKeyError{Key: key, Offset: decoder.InputOffset()}
		}
		seen[key] = true
		if err := checkValue(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}
