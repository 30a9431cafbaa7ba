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
	"hyssophub/owner"
	"hyssophub/peer/peerpb"
	"hyssophub/shard"
)

// connectionsPerHost bounds the connections to one daemon. Urgent and routine
// calls use separate connections, so that neither waits behind the other.
const connectionsPerHost = 16

// idleTimeout closes connections to daemons that are no longer called.
const idleTimeout = 30 * time.Second

// Client calls other daemons. Resolve maps a host name to its peer address.
type Client struct {
	resolve func(host string) (address string, ok bool)
	classes [shard.Classes]*http.Client

	mu    sync.Mutex
	stubs map[stubKey]peerpb.Peer
}

type stubKey struct {
	address string
	class   shard.Class
}

// NewClient returns a client with its own connections.
func NewClient(resolve func(host string) (string, bool)) *Client {
	c := &Client{resolve: resolve, stubs: make(map[stubKey]peerpb.Peer)}
	for i := range c.classes {
		c.classes[i] = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: connectionsPerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}}
	}
	return c
}

// Submit sends a batch to a host.
func (c *Client) Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error) {
	stub, err := c.stub(host, batch.Class)
	if err != nil {
		return nil, err
	}
	w, err := stub.Submit(ctx, encodeBatch(batch, time.Now()))
	if err != nil {
		return nil, callError(host, err)
	}
	return decodeResults(w), nil
}

// Deliver sends late results to a host.
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

// FetchConfig asks a host for a configuration newer than revision. The value is
// empty if it has none.
func (c *Client) FetchConfig(ctx context.Context, host string, revision uint64) (value []byte, newest uint64, err error) {
	stub, err := c.stub(host, shard.Routine)
	if err != nil {
		return nil, 0, err
	}
	w, err := stub.Fetch(ctx, &peerpb.FetchRequest{Revision: revision})
	if err != nil {
		return nil, 0, callError(host, err)
	}
	return w.GetValue(), w.GetRevision(), nil
}

// Catalogs asks a host for the catalogs of the servers that it owns.
func (c *Client) Catalogs(ctx context.Context, host string) ([]shard.Catalog, error) {
	stub, err := c.stub(host, shard.Routine)
	if err != nil {
		return nil, err
	}
	w, err := stub.List(ctx, &peerpb.ListRequest{})
	if err != nil {
		return nil, callError(host, err)
	}
	return decodeCatalogs(w), nil
}

// Handover passes the state of servers to their next owner.
func (c *Client) Handover(ctx context.Context, host, from string, states []owner.State) error {
	stub, err := c.stub(host, shard.Urgent)
	if err != nil {
		return err
	}
	if _, err := stub.Handover(ctx, encodeStates(from, states)); err != nil {
		return callError(host, err)
	}
	return nil
}

// Notify passes an event on to a host. Events that stay in the process are
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

// Close closes idle connections.
func (c *Client) Close() {
	for _, h := range c.classes {
		h.CloseIdleConnections()
	}
}

func (c *Client) stub(host string, class shard.Class) (peerpb.Peer, error) {
	address, ok := c.resolve(host)
	if !ok {
		return nil, fault.New(fault.NotRun{}, fault.ReasonNotOwner, "no address of host %s", host)
	}
	key := stubKey{address: address, class: class}
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[key]
	if !ok {
		stub = peerpb.NewPeerProtobufClient("http://"+address, c.classes[class])
		c.stubs[key] = stub
	}
	return stub, nil
}

// callError gives an error of a call its verdict. Only a refused connection
// proves that the call did not arrive.
func callError(host string, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fault.New(fault.NotRun{}, fault.ReasonDown, "host %s: %w", host, err)
	}
	return fault.New(fault.MayHaveRun{}, fault.ReasonConnection, "host %s: %w", host, err)
}
