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

// Handler is what a daemon does for the other daemons.
type Handler interface {
	// Submit admits a batch at the owner of its servers.
	Submit(ctx context.Context, batch shard.Batch) []shard.Result
	// Deliver takes results that were not ready when Submit returned.
	Deliver(results []shard.Result)
	// FetchConfig returns the stored configuration and its revision if it is newer
	// than revision.
	FetchConfig(revision uint64) (value []byte, newest uint64)
	// Catalogs returns the catalogs of the owned servers.
	Catalogs() []shard.Catalog
	// Handover takes over the state of servers from their last owner.
	Handover(from string, states []owner.State)
	// Notify takes an event from another daemon of the zone.
	Notify(from string, e event.Event)
}

// NewHandler returns the HTTP handler of the twirp service. Mount it at "/".
func NewHandler(handler Handler) http.Handler {
	return peerpb.NewPeerServer(&server{handler: handler})
}

type server struct{ handler Handler }

// Submit implements peerpb.Peer.
func (s *server) Submit(ctx context.Context, w *peerpb.Batch) (*peerpb.Results, error) {
	return encodeResults(s.handler.Submit(ctx, decodeBatch(w, time.Now()))), nil
}

// Deliver implements peerpb.Peer.
func (s *server) Deliver(_ context.Context, w *peerpb.Results) (*peerpb.Ack, error) {
	s.handler.Deliver(decodeResults(w))
	return &peerpb.Ack{}, nil
}

// Fetch implements peerpb.Peer.
func (s *server) Fetch(_ context.Context, w *peerpb.FetchRequest) (*peerpb.Configuration, error) {
	value, revision := s.handler.FetchConfig(w.GetRevision())
	return &peerpb.Configuration{Revision: revision, Value: value}, nil
}

// List implements peerpb.Peer.
func (s *server) List(context.Context, *peerpb.ListRequest) (*peerpb.Catalogs, error) {
	return encodeCatalogs(s.handler.Catalogs()), nil
}

// Handover implements peerpb.Peer.
func (s *server) Handover(_ context.Context, w *peerpb.State) (*peerpb.Ack, error) {
	s.handler.Handover(w.GetFrom(), decodeStates(w))
	return &peerpb.Ack{}, nil
}

// Notify implements peerpb.Peer.
func (s *server) Notify(_ context.Context, w *peerpb.Event) (*peerpb.Ack, error) {
	e, ok := event.DecodeFromPeer(w.GetKind(), w.GetSubject())
	if !ok {
		return nil, twirp.InvalidArgumentError("kind", "is unknown")
	}
	s.handler.Notify(w.GetFrom(), e)
	return &peerpb.Ack{}, nil
}
