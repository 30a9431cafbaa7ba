package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"hyssophub/fault"
	"hyssophub/feed"
	"hyssophub/peer/peerpb"
	"hyssophub/relay"
)

// RelayHandler is what a host does for the other hosts that serve the operators'
// routes.
type RelayHandler interface {
	Collect(ctx context.Context, share relay.CollectRequest) (relay.PartialResult, error)
	CollectMore(ctx context.Context, token uint64) (relay.PartialResult, error)
	// ChangesAfter returns the changes after a revision of the store.
	ChangesAfter(revision uint64) feed.Update
}

// NewRelayHandler returns the HTTP handler of the twirp service. Mount it at
// "/".
func NewRelayHandler(handler RelayHandler) http.Handler {
	return peerpb.NewTierServer(&tierServer{handler: handler})
}

type tierServer struct{ handler RelayHandler }

// Collect implements peerpb.Tier.
func (s *tierServer) Collect(ctx context.Context, w *peerpb.CollectRequest) (*peerpb.CollectReply, error) {
	c, err := s.handler.Collect(ctx, decodeShare(w))
	if err != nil {
		return nil, tierError(err)
	}
	return encodeCollected(c), nil
}

// Rest implements peerpb.Tier.
func (s *tierServer) Rest(ctx context.Context, w *peerpb.RestRequest) (*peerpb.CollectReply, error) {
	c, err := s.handler.CollectMore(ctx, w.GetToken())
	if err != nil {
		return nil, tierError(err)
	}
	return encodeCollected(c), nil
}

// Changes implements peerpb.Tier.
func (s *tierServer) Changes(_ context.Context, w *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	state := s.handler.ChangesAfter(w.GetAfter())
	reply := &peerpb.ChangesReply{Revision: state.Revision, Whole: state.Full}
	for _, item := range state.Items {
		reply.Items = append(reply.Items, &peerpb.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted, Away: item.MayReturn,
		})
	}
	return reply, nil
}

// metaVerdict names the verdict in the details of an error.
const metaVerdict = "verdict"

func tierError(err error) error {
	return twirp.NewError(twirp.Unavailable, string(fault.ReasonOf(err))).WithMeta(metaVerdict, fault.VerdictOf(err).String())
}

const (
	// tierConnect bounds the opening of a connection to a host. One without
	// power never answers.
	tierConnect = 150 * time.Millisecond
	// tierIdle is how long an idle connection to a host is kept.
	tierIdle = 20 * time.Second
	// tierIdleMax bounds the idle connections to one host.
	tierIdleMax = 8
)

// RelayClient calls the other hosts that serve the operators' routes. It
// implements relay.HelperClient.
type RelayClient struct {
	http *http.Client

	mu    sync.Mutex
	stubs map[string]peerpb.Tier
	// misses counts the calls in a row without an answer by address.
	misses map[string]int
}

// NewRelayClient returns a client with its own connections.
func NewRelayClient() *RelayClient {
	return &RelayClient{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: tierConnect}).DialContext,
			MaxIdleConnsPerHost: tierIdleMax,
			IdleConnTimeout:     tierIdle,
			DisableCompression:  true,
		}},
		stubs:  make(map[string]peerpb.Tier),
		misses: make(map[string]int),
	}
}

// Close closes idle connections.
func (c *RelayClient) Close() { c.http.CloseIdleConnections() }

func (c *RelayClient) stub(address string) peerpb.Tier {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stubs[address]
	if !ok {
		s = peerpb.NewTierProtobufClient("http://"+address, c.http)
		c.stubs[address] = s
	}
	return s
}

// Collect implements relay.HelperClient.
func (c *RelayClient) Collect(ctx context.Context, address string, share relay.CollectRequest) (relay.PartialResult, error) {
	ctx, cancel := context.WithTimeout(ctx, max(0, share.TimeToDeadline))
	defer cancel()
	w, err := c.stub(address).Collect(ctx, encodeShare(share))
	if err != nil {
		c.missed(address)
		return relay.PartialResult{}, tierCallError(err)
	}
	c.answered(address)
	return decodeCollected(w), nil
}

// missedCalls is the number of calls to one host in a row without an answer,
// from which on its open connections may have gone silent together.
const missedCalls = 3

// missed counts a call without an answer. The idle connections are closed when
// they seem to be silent; new ones cost a round trip.
func (c *RelayClient) missed(address string) {
	c.mu.Lock()
	c.misses[address]++
	silent := c.misses[address] >= missedCalls
	if silent {
		delete(c.misses, address)
	}
	c.mu.Unlock()
	if silent {
		c.http.CloseIdleConnections()
	}
}

func (c *RelayClient) answered(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.misses, address)
}

// CollectMore implements relay.HelperClient.
func (c *RelayClient) CollectMore(ctx context.Context, address string, token uint64) (relay.PartialResult, error) {
	w, err := c.stub(address).Rest(ctx, &peerpb.RestRequest{Token: token})
	if err != nil {
		return relay.PartialResult{}, tierCallError(err)
	}
	return decodeCollected(w), nil
}

// Changes asks a host for the changes after a revision of the store.
func (c *RelayClient) Changes(ctx context.Context, address string, after uint64) (feed.Update, error) {
	w, err := c.stub(address).Changes(ctx, &peerpb.ChangesRequest{After: after})
	if err != nil {
		return feed.Update{}, tierCallError(err)
	}
	state := feed.Update{Revision: w.GetRevision(), Full: w.GetWhole()}
	for _, item := range w.GetItems() {
		state.Items = append(state.Items, feed.Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Deleted: item.GetDeleted(), MayReturn: item.GetAway(),
		})
	}
	return state, nil
}

// tierCallError converts the error of a call. Only a refusal of the other host and
// a connection that was never opened prove that nothing ran.
func tierCallError(err error) error {
	var remote twirp.Error
	if errors.As(err, &remote) && remote.Meta(metaVerdict) != "" {
		return &fault.Error{Verdict: fault.ParseVerdict(remote.Meta(metaVerdict)), Reason: fault.Reason(remote.Msg()), Err: err}
	}
	var dialing *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &dialing) && dialing.Op == "dial") {
		return &fault.Error{Verdict: fault.NotRun{}, Reason: fault.ReasonDown, Err: err}
	}
	return &fault.Error{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection, Err: err}
}

func encodeShare(s relay.CollectRequest) *peerpb.CollectRequest {
	w := &peerpb.CollectRequest{
		Id:       s.Message.ID,
		Method:   s.Message.Method,
		Uri:      s.Message.URI,
		Host:     s.Message.Host,
		Services: s.Services,
		Top:      uint32(max(0, s.TopK)),
		Attempts: uint32(max(0, s.MaxAttempts)),
		Priority: uint32(max(0, s.Priority)),
		Answer:   s.TimeToAnswer.Microseconds(),
		Left:     s.TimeToDeadline.Microseconds(),
		Goal:     s.TargetLatency.Microseconds(),
		Route:    s.Route,
		Version:  s.Version,
	}
	for name, values := range s.Message.Header {
		for _, v := range values {
			w.Headers = append(w.Headers, &peerpb.Header{Name: name, Value: v})
		}
	}
	return w
}

func decodeShare(w *peerpb.CollectRequest) relay.CollectRequest {
	s := relay.CollectRequest{
		Message: &relay.Message{
			ID:     w.GetId(),
			Method: w.GetMethod(),
			URI:    w.GetUri(),
			Host:   w.GetHost(),
			Header: make(http.Header, len(w.GetHeaders())),
		},
		Route:          w.GetRoute(),
		Version:        w.GetVersion(),
		Services:       w.GetServices(),
		TopK:           int(w.GetTop()),
		MaxAttempts:    int(w.GetAttempts()),
		Priority:       int(w.GetPriority()),
		TargetLatency:  time.Duration(w.GetGoal()) * time.Microsecond,
		TimeToAnswer:   time.Duration(w.GetAnswer()) * time.Microsecond,
		TimeToDeadline: time.Duration(w.GetLeft()) * time.Microsecond,
	}
	for _, h := range w.GetHeaders() {
		s.Message.Header[h.GetName()] = append(s.Message.Header[h.GetName()], h.GetValue())
	}
	return s
}

func encodeCollected(c relay.PartialResult) *peerpb.CollectReply {
	w := &peerpb.CollectReply{Records: c.Records, Token: c.Token}
	for _, p := range c.Parts {
		w.Services = append(w.Services, uint32(p.Index))
		w.Seals = append(w.Seals, p.Seal)
	}
	for _, m := range c.Missing {
		w.Missing = append(w.Missing, &peerpb.Missing{Service: uint32(m.Index), Ran: uint32(m.PossibleRuns), Reason: string(m.Reason)})
	}
	return w
}

func decodeCollected(w *peerpb.CollectReply) relay.PartialResult {
	c := relay.PartialResult{Records: w.GetRecords(), Token: w.GetToken()}
	seals := w.GetSeals()
	for i, service := range w.GetServices() {
		if i < len(seals) {
			c.Parts = append(c.Parts, relay.CollectedPart{Index: int(service), Seal: seals[i]})
		}
	}
	for _, m := range w.GetMissing() {
		c.Missing = append(c.Missing, relay.MissingPart{Index: int(m.GetService()), PossibleRuns: int(m.GetRan()), Reason: fault.Reason(m.GetReason())})
	}
	return c
}
