package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/heads"
	"hyssophub/owner"
	"hyssophub/peer/peerpb"
	"hyssophub/shard"
)

// maxIdleConns bounds the idle connections to one host in each class. Urgent and
// routine calls use separate connections, so that neither class waits for the
// other.
const maxIdleConns = 16

// idleTimeout is the idle time after which a connection is closed.
const idleTimeout = 30 * time.Second

// Client calls other entry hosts. It is safe for concurrent use.
type Client struct {
	// resolve returns the peer address of a host.
	resolve     func(host string) (address string, ok bool)
	httpClients [shard.ClassCount]*http.Client

	mu sync.Mutex
	// stubs holds the generated client for each address and class.
	stubs map[stubKey]peerpb.Peer
}

type stubKey struct {
	address string
	class   shard.Class
}

// NewClient returns a client with its own connections. resolve returns the peer
// address of a host.
func NewClient(resolve func(host string) (string, bool)) *Client {
	c := &Client{resolve: resolve, stubs: make(map[stubKey]peerpb.Peer)}
	for i := range c.httpClients {
		c.httpClients[i] = &http.Client{Transport: limitedTransport{heads.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		})}}
	}
	return c
}

// Submit sends a batch of sub-requests to a host and returns the results that
// are ready when the call ends.
func (c *Client) Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error) {
	stub, err := c.stub(host, batch.Class)
	if err != nil {
		return nil, err
	}
	msg, err := stub.Submit(ctx, encodeBatch(batch, time.Now()))
	if err != nil {
		return nil, callError(host, err)
	}
	return decodeResults(msg), nil
}

// Deliver sends results that were not ready when Submit returned.
func (c *Client) Deliver(ctx context.Context, host string, results []shard.Result) error {
	stub, err := c.stub(host, shard.Urgent)
	if err != nil {
		return err
	}
	if _, err := stub.Deliver(ctx, encodeResults(results)); err != nil {
		return callError(host, err)
	}
	return nil
}

// FetchConfig requests a configuration newer than revision from a host. The value is
// empty if the host has none.
func (c *Client) FetchConfig(ctx context.Context, host string, revision uint64) (value []byte, newest uint64, err error) {
	stub, err := c.stub(host, shard.Routine)
	if err != nil {
		return nil, 0, err
	}
	msg, err := stub.Fetch(ctx, &peerpb.FetchRequest{Revision: revision})
	if err != nil {
		return nil, 0, callError(host, err)
	}
	return msg.GetValue(), msg.GetRevision(), nil
}

// Catalogs returns the catalogs of the backend servers that a host owns.
func (c *Client) Catalogs(ctx context.Context, host string) ([]shard.Catalog, error) {
	stub, err := c.stub(host, shard.Routine)
	if err != nil {
		return nil, err
	}
	msg, err := stub.List(ctx, &peerpb.ListRequest{})
	if err != nil {
		return nil, callError(host, err)
	}
	return decodeCatalogs(msg), nil
}

// Handover sends the state of backend servers to the host that owns them next.
func (c *Client) Handover(ctx context.Context, host, from string, states []owner.HandoverState) error {
	stub, err := c.stub(host, shard.Urgent)
	if err != nil {
		return err
	}
	if _, err := stub.Handover(ctx, encodeStates(from, states)); err != nil {
		return callError(host, err)
	}
	return nil
}

// Notify sends an event to a host. Events that are not meant for other hosts are
// ignored.
func (c *Client) Notify(ctx context.Context, host, from string, e event.Event) error {
	kind, subject, ok := event.EncodeForPeers(e)
	if !ok {
		return nil
	}
	stub, err := c.stub(host, shard.Urgent)
	if err != nil {
		return err
	}
	if _, err := stub.Notify(ctx, &peerpb.Event{Kind: kind, Subject: subject, From: from}); err != nil {
		return callError(host, err)
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	for _, h := range c.httpClients {
		h.CloseIdleConnections()
	}
}

func (c *Client) stub(host string, class shard.Class) (peerpb.Peer, error) {
	address, ok := c.resolve(host)
	if !ok {
		return nil, fault.New(fault.NotRun{}, fault.ReasonNotOwner, "no peer address known for host %s", host)
	}
	key := stubKey{address: address, class: class}
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[key]
	if !ok {
		stub = peerpb.NewPeerProtobufClient("http://"+address, c.httpClients[class])
		c.stubs[key] = stub
	}
	return stub, nil
}

// callError adds a verdict to the error of a call. Only a refused connection
// proves that the call did not arrive.
func callError(host string, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fault.New(fault.NotRun{}, fault.ReasonOwnerDown, "host %s: %w", host, err)
	}
	return fault.New(fault.MayHaveRun{}, fault.ReasonConnection, "host %s: %w", host, err)
}
