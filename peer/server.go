package peer

import (
	"context"
	"net/http"
	"time"

	"hyssophub/event"
	"hyssophub/owner"
	"hyssophub/peer/peerpb"
	"hyssophub/shard"

	"github.com/twitchtv/twirp"
)

// Handler executes the calls of other entry hosts.
type Handler interface {
	// Submit executes a batch on this host, the owner of the batch's backend
	// servers.
	Submit(ctx context.Context, batch shard.Batch) []shard.Result
	// Deliver receives results that were not ready when Submit returned.
	Deliver(results []shard.Result)
	// FetchConfig returns the stored configuration and its revision if it is
	// newer than revision.
	FetchConfig(revision uint64) (value []byte, newest uint64)
	// Catalogs returns the catalogs of the backend servers that this host owns.
	Catalogs() []shard.Catalog
	// Handover receives the state of backend servers from their previous owner.
	Handover(from string, states []owner.HandoverState)
	// Notify receives an event from another host of the availability zone.
	Notify(from string, e event.Event)
}

// NewHandler returns the HTTP handler of the twirp service. Mount it at "/".
func NewHandler(handler Handler) http.Handler {
	return limitRequests(peerpb.NewPeerServer(&server{handler: handler}))
}

type server struct{ handler Handler }

// Submit implements peerpb.Peer.
func (s *server) Submit(ctx context.Context, msg *peerpb.Batch) (*peerpb.Results, error) {
	return encodeResults(s.handler.Submit(ctx, decodeBatch(msg, time.Now()))), nil
}

// Deliver implements peerpb.Peer.
func (s *server) Deliver(_ context.Context, msg *peerpb.Results) (*peerpb.Ack, error) {
	s.handler.Deliver(decodeResults(msg))
	return &peerpb.Ack{}, nil
}

// Fetch implements peerpb.Peer.
func (s *server) Fetch(_ context.Context, msg *peerpb.FetchRequest) (*peerpb.Configuration, error) {
	value, revision := s.handler.FetchConfig(msg.GetRevision())
	return &peerpb.Configuration{Revision: revision, Value: value}, nil
}

// List implements peerpb.Peer.
func (s *server) List(context.Context, *peerpb.ListRequest) (*peerpb.Catalogs, error) {
	return encodeCatalogs(s.handler.Catalogs()), nil
}

// Handover implements peerpb.Peer.
func (s *server) Handover(_ context.Context, msg *peerpb.State) (*peerpb.Ack, error) {
	s.handler.Handover(msg.GetFrom(), decodeStates(msg))
	return &peerpb.Ack{}, nil
}

// Notify implements peerpb.Peer.
func (s *server) Notify(_ context.Context, msg *peerpb.Event) (*peerpb.Ack, error) {
	e, ok := event.DecodeFromPeer(msg.GetKind(), msg.GetSubject())
	if !ok {
		return nil, twirp.InvalidArgumentError("kind", "is unknown")
	}
	s.handler.Notify(msg.GetFrom(), e)
	return &peerpb.Ack{}, nil
}
