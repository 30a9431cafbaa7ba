package limits

import (
	"errors"
	"io"
	"net/http"
)

// Reserve reserves the memory for the announced length of a request's body. Its error is
// that of reading the body.
func Reserve(r *http.Request) error {
	if r.Body == nil || r.ContentLength <= 0 {
		return nil
	}
	_, err := r.Body.Read(nil)
	return err
}

// ReadBody reads the body of a request of at most limit bytes. A longer one is an
// http.MaxBytesError. The memory for a body with a length is allocated once, after it has
// been reserved.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 {
		return io.ReadAll(reader)
	}
	if err := Reserve(r); err != nil {
		return nil, err
	}
	content := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(reader, content); err != nil {
		return nil, err
	}
	// The end of the body ends its entry in the account.
	if n, err := reader.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return content, nil
}
