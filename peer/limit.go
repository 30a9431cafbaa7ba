package peer

import (
	"errors"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"

	"hyssophub/fault"
	"hyssophub/heads"
	"hyssophub/limits"
)

// Bounds of the messages between hosts, in bytes. A whole state of the store, the
// largest message, has some megabytes at the design size.
const (
	maxRequestBytes  = 8 << 20
	maxResponseBytes = 32 << 20
	maxHeaderBytes   = 64 << 10
)

// errNoLength is the error of a request without a length.
var errNoLength = errors.New("peer: request without Content-Length")

// errResponseTooLarge is the error of reading a response beyond its bound.
var errResponseTooLarge = errors.New("peer: response too large")

// limitRequests bounds the bodies of the requests to a handler. A request for whose body
// there is no memory is refused as not run. So is one without a length, which no host sends:
// the memory for its body would not be known before it is read.
func limitRequests(handler http.Handler) http.Handler {
	limited := http.MaxBytesHandler(handler, maxRequestBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength < 0 {
			w.Header().Set("Connection", "close")
			_ = twirp.WriteError(w, encodeError(&fault.Error{Verdict: fault.NotRun{}, Reason: fault.ReasonBadRequest, Err: errNoLength}))
			return
		}
		var refused *limits.Refusal
		if errors.As(limits.Reserve(r), &refused) {
			w.Header().Set("Connection", "close")
			_ = twirp.WriteError(w, encodeError(&fault.Error{Verdict: fault.NotRun{}, Reason: fault.ReasonOverload, Err: refused}))
			return
		}
		limited.ServeHTTP(w, r)
	})
}

// limitedTransport bounds the bodies of responses, because the twirp client reads
// them whole.
type limitedTransport struct{ heads.Transport }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: maxResponseBytes}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
