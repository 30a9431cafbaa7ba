package limits

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// pieces are the buffers in which bodies without a length arrive. They are used again, so
// that the bodies of a crowd leave no garbage of their size.
var pieces = sync.Pool{New: func() any { return new([step]byte) }}

// Reserve reserves the memory for the next bytes of a request's body: for its announced
// length if it has one. Its error is that of reading the body.
func Reserve(r *http.Request) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	_, err := r.Body.Read(nil)
	return err
}

// ReadBody reads the body of a request of at most limit bytes. A longer one is an
// http.MaxBytesError. All memory is allocated after it has been reserved, that for a body
// with a length at once.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 {
		return readPieces(r, reader)
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

// readPieces reads a body without a length piece by piece, and joins the pieces once the
// length is known. A buffer that grows would take more memory than was reserved.
func readPieces(r *http.Request, reader io.Reader) ([]byte, error) {
	var list []*[step]byte
	defer func() {
		for _, p := range list {
			pieces.Put(p)
		}
	}()
	size, err := 0, error(nil)
	for err == nil {
		if size == step*len(list) {
			if err := Reserve(r); err != nil {
				return nil, err
			}
			list = append(list, pieces.Get().(*[step]byte))
		}
		n := 0
		n, err = reader.Read(list[len(list)-1][size%step:])
		size += n
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	if b, ok := r.Body.(*body); ok {
		if err := b.reserveCopy(); err != nil {
			return nil, err
		}
		defer b.releasePieces()
	}
	content := make([]byte, 0, size)
	for _, p := range list {
		content = append(content, p[:min(step, size-len(content))]...)
	}
	return content, nil
}
