// Package kvhttp implements the interfaces of package store over HTTP: the
// platform's key-value service and its list of hosts. It owns the encoding of
// calls, the mapping of HTTP statuses to the errors of package store, and the
// call counters. Retries are left to the callers.
package kvhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/samber/oops"

	"hyssophub/heads"
	"hyssophub/store"
)

// Headers of the platform's HTTP interface.
const (
	headerRevision = "Revision"
	headerLease    = "Lease"
)

// DefaultWatchWait is how long a watch waits for a change before the platform
// answers with the current entry. Each answer confirms that the configuration
// is still the newest.
const DefaultWatchWait = 500 * time.Millisecond

// callTimeout bounds each call to the platform.
const callTimeout = 2 * time.Second

// maxHeaderBytes bounds the head of a response.
const maxHeaderBytes = 64 << 10

// Client implements store.KV and store.HostLister over HTTP.
type Client struct {
	base      string
	http      *http.Client
	watchWait time.Duration
	calls     callCounters
}

// NewClient returns a client for the platform at an IP address and port.
func NewClient(address string) *Client {
	return &Client{
		base:      "http://" + address,
		http:      &http.Client{Transport: heads.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes})},
		watchWait: DefaultWatchWait,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements store.KV.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return c.callEntry(ctx, KindGet, http.MethodGet, key, "", nil, nil)
}

// Swap implements store.KV.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	if len(value) > store.MaxValueBytes {
		return store.Entry{}, store.ErrTooLarge
	}
	header := http.Header{headerRevision: {strconv.FormatUint(revision, 10)}}
	if lease != 0 {
		header.Set(headerLease, strconv.FormatUint(uint64(lease), 10))
	}
	return c.callEntry(ctx, KindSwap, http.MethodPut, key, "", header, value)
}

// Watch implements store.KV.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {strconv.FormatInt(c.watchWait.Milliseconds(), 10)}}
	return c.callEntry(ctx, KindWatch, http.MethodGet, key, "?"+query.Encode(), nil, nil)
}

// GrantLease implements store.KV.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	r, err := c.call(ctx, KindGrant, http.MethodPost, "/lease?ttl="+strconv.FormatInt(ttl.Milliseconds(), 10), nil, nil)
	if err != nil {
		return 0, err
	}
	id, err := strconv.ParseUint(r.header.Get(headerLease), 10, 64)
	if err != nil {
		return 0, store.ErrUnknown
	}
	return store.LeaseID(id), nil
}

// RenewLease implements store.KV.
func (c *Client) RenewLease(ctx context.Context, lease store.LeaseID) error {
	_, err := c.call(ctx, KindRenew, http.MethodPut, "/lease/"+strconv.FormatUint(uint64(lease), 10), nil, nil)
	return err
}

// List implements store.HostLister.
func (c *Client) List(ctx context.Context) ([]store.HostInfo, error) {
	r, err := c.call(ctx, KindHosts, http.MethodGet, "/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	return decodeHosts(r.body)
}

// answer is a complete HTTP response of the platform.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// callEntry makes a call that is answered with an entry. With ErrConflict it
// returns the current entry.
func (c *Client) callEntry(ctx context.Context, kind CallKind, method, key, query string, header http.Header, value []byte) (store.Entry, error) {
	r, err := c.call(ctx, kind, method, "/kv/"+escapeKey(key)+query, header, value)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return store.Entry{}, err
	}
	entry, parseErr := decodeEntry(key, r)
	if parseErr != nil {
		return store.Entry{}, parseErr
	}
	if kind == KindSwap && err == nil {
		entry.Value = value
	}
	return entry, err
}

// escapeKey escapes a key for use in a URL path. Slashes are not escaped.
func escapeKey(key string) string { return (&url.URL{Path: key}).EscapedPath() }

// call makes one HTTP call and counts it. On an error status it returns the
// answer together with the error.
func (c *Client) call(ctx context.Context, kind CallKind, method, path string, header http.Header, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, oops.Wrapf(err, "platform request")
	}
	for k, v := range header {
		request.Header[k] = v
	}
	defer c.calls.begin(kind)()
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, callError(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, store.MaxValueBytes+1))
	if err != nil {
		return answer{}, errors.Join(store.ErrUnknown, err)
	}
	if len(content) > store.MaxValueBytes {
		return answer{}, errors.Join(store.ErrUnknown, errors.New("kvhttp: answer exceeds one megabyte"))
	}
	r := answer{status: response.StatusCode, header: response.Header, body: content}
	return r, statusError(r.status)
}

// callError converts a transport error. Only a refused connection proves that
// the call had no effect.
func callError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Join(store.ErrUnavailable, err)
	}
	return errors.Join(store.ErrUnknown, err)
}

// statusError converts an HTTP status to an error of package store. A status
// that the key-value service does not define, such as the status of an
// intermediate proxy, leaves the effect of the call unknown.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return store.ErrConflict
	case http.StatusGone:
		return store.ErrLease
	case http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case http.StatusServiceUnavailable:
		return store.ErrUnavailable
	default:
		return store.ErrUnknown
	}
}
