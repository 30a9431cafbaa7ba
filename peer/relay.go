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
	"hyssophub/heads"
	"hyssophub/peer/peerpb"
	"hyssophub/relay"
	"hyssophub/store"
)

// RelayHandler executes the calls of other hosts that serve the operators'
// routes.
type RelayHandler interface {
	// Collect collects the parts of a request that another host assigned to this
	// one.
	Collect(ctx context.Context, request relay.CollectRequest) (relay.PartialResult, error)
	// CollectMore returns what was not ready when Collect returned. The token is
	// that of the partial result.
	CollectMore(ctx context.Context, token uint64) (relay.PartialResult, error)
	// ChangesAfter returns the changes of the store after a position.
	ChangesAfter(position store.Position) feed.Update
}

// NewRelayHandler returns the HTTP handler of the twirp service. Mount it at
// "/".
func NewRelayHandler(handler RelayHandler) http.Handler {
	return limitRequests(peerpb.NewTierServer(&relayServer{handler: handler}))
}

type relayServer struct{ handler RelayHandler }

// Collect implements peerpb.Tier.
func (s *relayServer) Collect(ctx context.Context, msg *peerpb.CollectRequest) (*peerpb.CollectReply, error) {
	result, err := s.handler.Collect(ctx, decodeCollectRequest(msg))
	if err != nil {
		return nil, encodeError(err)
	}
	return encodePartialResult(result), nil
}

// Rest implements peerpb.Tier.
func (s *relayServer) Rest(ctx context.Context, msg *peerpb.RestRequest) (*peerpb.CollectReply, error) {
	result, err := s.handler.CollectMore(ctx, msg.GetToken())
	if err != nil {
		return nil, encodeError(err)
	}
	return encodePartialResult(result), nil
}

// Changes implements peerpb.Tier.
func (s *relayServer) Changes(_ context.Context, msg *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	after := store.Position{Era: feed.PresentEra, Revision: msg.GetAfter()}
	if msg.Era != nil {
		after.Era = msg.GetEra()
	}
	return encodeUpdate(s.handler.ChangesAfter(after)), nil
}

func encodeUpdate(update feed.Update) *peerpb.ChangesReply {
	reply := &peerpb.ChangesReply{
		Revision: update.Position.Revision, Era: update.Position.Era, Whole: update.Full, Differs: update.Differs, Start: update.Era.Start, Before: update.Era.Before,
		Items: encodeItems(update.Items, update.Position.Era), Lost: encodeItems(update.Lost, update.Position.Era),
	}
	if !update.CheckedAt.IsZero() {
		// Rounded up, so that the receiver never sees a check as more recent.
		reply.Checked = uint32(min(time.Since(update.CheckedAt), maxCheckedAge)/time.Millisecond) + 2
	}
	if !update.Era.Since.IsZero() {
		reply.Since = uint64(max(0, time.Since(update.Era.Since).Milliseconds())) + 1
	}
	return reply
}

func encodeItems(items []feed.Item, era uint64) []*peerpb.Item {
	list := make([]*peerpb.Item, 0, len(items))
	for _, item := range items {
		p := &peerpb.Item{Key: item.Key, Value: item.Value, Revision: item.Position.Revision, Deleted: item.Deleted, Away: item.MayReturn}
		if item.Position.Era != era {
			p.Era = &item.Position.Era
		}
		list = append(list, p)
	}
	return list
}

func decodeUpdate(msg *peerpb.ChangesReply, now time.Time) feed.Update {
	update := feed.Update{
		Position: store.Position{Era: msg.GetEra(), Revision: msg.GetRevision()}, Full: msg.GetWhole(), Differs: msg.GetDiffers(), Era: feed.Era{Start: msg.GetStart(), Before: msg.GetBefore()},
		Items: decodeItems(msg.GetItems(), msg.GetEra()), Lost: decodeItems(msg.GetLost(), msg.GetEra()),
	}
	if checked := msg.GetChecked(); checked > 0 {
		update.CheckedAt = now.Add(-time.Duration(checked) * time.Millisecond)
	}
	if since := msg.GetSince(); since > 0 {
		update.Era.Since = now.Add(-time.Duration(min(since-1, maxEraAge)) * time.Millisecond)
	}
	return update
}

func decodeItems(items []*peerpb.Item, era uint64) []feed.Item {
	var list []feed.Item
	for _, item := range items {
		position := store.Position{Era: era, Revision: item.GetRevision()}
		if item.Era != nil {
			position.Era = item.GetEra()
		}
		list = append(list, feed.Item{Key: item.GetKey(), Value: item.GetValue(), Position: position, Deleted: item.GetDeleted(), MayReturn: item.GetAway()})
	}
	return list
}

// maxEraAge bounds the age of an era in a message, in milliseconds.
const maxEraAge = uint64(24 * time.Hour / time.Millisecond)

// maxCheckedAge bounds the age of a check in a message.
const maxCheckedAge = 24 * time.Hour

// metaVerdict is the key of the verdict in the metadata of a twirp error.
const metaVerdict = "verdict"

// encodeError converts an error of the handler, with its reason as the message
// and its verdict in the metadata.
func encodeError(err error) error {
	return twirp.NewError(twirp.Unavailable, string(fault.ReasonOf(err))).WithMeta(metaVerdict, fault.VerdictOf(err).String())
}

const (
	// relayDialTimeout bounds the opening of a connection to a host. A host
	// without power never answers.
	relayDialTimeout = 150 * time.Millisecond
	// relayIdleTimeout is how long an idle connection to a host is kept.
	relayIdleTimeout = 20 * time.Second
	// relayMaxIdleConns bounds the idle connections to one host.
	relayMaxIdleConns = 8
	// changesIdleTimeout is relayIdleTimeout for calls for changes of the store. Open
	// connections may have gone silent together with those to the store, and the news
	// must not wait for a time-out then.
	changesIdleTimeout = time.Second
)

// RelayClient calls the other hosts that serve the operators' routes. It
// implements relay.HelperClient.
type RelayClient struct {
	http *http.Client
	// changes is the client for changes of the store.
	changes *http.Client

	mu    sync.Mutex
	stubs map[string]peerpb.Tier
	// unanswered counts the consecutive Collect calls without an answer, by
	// address.
	unanswered map[string]int
}

// NewRelayClient returns a client with its own connections.
func NewRelayClient() *RelayClient {
	return &RelayClient{
		http:       newHostClient(relayIdleTimeout),
		changes:    newHostClient(changesIdleTimeout),
		stubs:      make(map[string]peerpb.Tier),
		unanswered: make(map[string]int),
	}
}

// newHostClient returns a client for calls to other hosts that keeps idle connections for a
// time.
func newHostClient(idleTimeout time.Duration) *http.Client {
	return &http.Client{Transport: limitedTransport{heads.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: relayDialTimeout}).DialContext,
		MaxIdleConnsPerHost:    relayMaxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})}}
}

// Close closes the idle connections.
func (c *RelayClient) Close() {
	c.http.CloseIdleConnections()
	c.changes.CloseIdleConnections()
}

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
func (c *RelayClient) Collect(ctx context.Context, address string, request relay.CollectRequest) (relay.PartialResult, error) {
	ctx, cancel := context.WithTimeout(ctx, max(0, request.TimeToDeadline))
	defer cancel()
	msg, err := c.stub(address).Collect(ctx, encodeCollectRequest(request))
	if err != nil && !isAnswered(err) {
		c.recordFailure(address)
		return relay.PartialResult{}, decodeError(err)
	}
	c.recordAnswer(address)
	if err != nil {
		return relay.PartialResult{}, decodeError(err)
	}
	return decodePartialResult(msg), nil
}

// maxUnanswered is the number of consecutive calls to one host without an answer
// after which all open connections to the host may be silent.
const maxUnanswered = 3

// recordFailure counts a failed call. When the count of an address reaches
// maxUnanswered, the idle connections to all hosts are closed, since they may be
// silent; opening new ones costs a round trip.
func (c *RelayClient) recordFailure(address string) {
	c.mu.Lock()
	c.unanswered[address]++
	silent := c.unanswered[address] >= maxUnanswered
	if silent {
		delete(c.unanswered, address)
	}
	c.mu.Unlock()
	if silent {
		c.http.CloseIdleConnections()
	}
}

func (c *RelayClient) recordAnswer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unanswered, address)
}

// CollectMore implements relay.HelperClient.
func (c *RelayClient) CollectMore(ctx context.Context, address string, token uint64) (relay.PartialResult, error) {
	msg, err := c.stub(address).Rest(ctx, &peerpb.RestRequest{Token: token})
	if err != nil {
		return relay.PartialResult{}, decodeError(err)
	}
	return decodePartialResult(msg), nil
}

// Changes requests the changes of the store after a position from a host.
func (c *RelayClient) Changes(ctx context.Context, address string, after store.Position) (feed.Update, error) {
	msg, err := peerpb.NewTierProtobufClient("http://"+address, c.changes).Changes(ctx, &peerpb.ChangesRequest{After: after.Revision, Era: &after.Era})
	if err != nil {
		// Other idle connections may be as silent as the one that failed.
		c.changes.CloseIdleConnections()
		return feed.Update{}, decodeError(err)
	}
	return decodeUpdate(msg, time.Now()), nil
}

// isAnswered reports whether an error of a call is the answer of the called host.
func isAnswered(err error) bool {
	var remote twirp.Error
	return errors.As(err, &remote) && remote.Meta(metaVerdict) != ""
}

// decodeError returns the error of a call with its verdict and reason. An error
// that the called host returned has its own verdict. Otherwise only a connection
// that was refused or never opened proves that nothing ran.
func decodeError(err error) error {
	var remote twirp.Error
	if errors.As(err, &remote) && remote.Meta(metaVerdict) != "" {
		return &fault.Error{Verdict: fault.ParseVerdict(remote.Meta(metaVerdict)), Reason: fault.Reason(remote.Msg()), Err: err}
	}
	var operation *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &operation) && operation.Op == "dial") {
		return &fault.Error{Verdict: fault.NotRun{}, Reason: fault.ReasonDown, Err: err}
	}
	return &fault.Error{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection, Err: err}
}

func encodeCollectRequest(r relay.CollectRequest) *peerpb.CollectRequest {
	msg := &peerpb.CollectRequest{
		Id:       []byte(r.Message.ID),
		Method:   r.Message.Method,
		Uri:      []byte(r.Message.URI),
		Host:     []byte(r.Message.Host),
		Body:     r.Message.Body,
		Services: r.Services,
		Top:      uint32(max(0, r.TopK)),
		Attempts: uint32(max(0, r.MaxAttempts)),
		Priority: uint32(max(0, r.Priority)),
		Account:  r.Account,
		Answer:   r.TimeToAnswer.Microseconds(),
		Left:     r.TimeToDeadline.Microseconds(),
		Goal:     r.TargetLatency.Microseconds(),
		Route:    r.Route,
		Version:  r.Version,
		Spread:   r.Spread,
	}
	for name, values := range r.Message.Header {
		for _, v := range values {
			msg.Headers = append(msg.Headers, &peerpb.Header{Name: name, Value: []byte(v)})
		}
	}
	return msg
}

func decodeCollectRequest(msg *peerpb.CollectRequest) relay.CollectRequest {
	r := relay.CollectRequest{
		Message: &relay.Message{
			ID:     string(msg.GetId()),
			Method: msg.GetMethod(),
			URI:    string(msg.GetUri()),
			Host:   string(msg.GetHost()),
			Body:   msg.GetBody(),
			Header: make(http.Header, len(msg.GetHeaders())),
		},
		Route:          msg.GetRoute(),
		Version:        msg.GetVersion(),
		Spread:         msg.GetSpread(),
		Services:       msg.GetServices(),
		TopK:           int(msg.GetTop()),
		MaxAttempts:    int(msg.GetAttempts()),
		Priority:       int(msg.GetPriority()),
		Account:        msg.GetAccount(),
		TargetLatency:  time.Duration(msg.GetGoal()) * time.Microsecond,
		TimeToAnswer:   time.Duration(msg.GetAnswer()) * time.Microsecond,
		TimeToDeadline: time.Duration(msg.GetLeft()) * time.Microsecond,
	}
	for _, h := range msg.GetHeaders() {
		r.Message.Header[h.GetName()] = append(r.Message.Header[h.GetName()], string(h.GetValue()))
	}
	return r
}

func encodePartialResult(c relay.PartialResult) *peerpb.CollectReply {
	msg := &peerpb.CollectReply{Records: c.Records, Token: c.Token}
	for _, p := range c.Parts {
		msg.Services = append(msg.Services, uint32(p.Index))
		msg.Seals = append(msg.Seals, []byte(p.Seal))
	}
	for _, m := range c.Missing {
		msg.Missing = append(msg.Missing, &peerpb.Missing{Service: uint32(m.Index), Ran: uint32(m.PossibleRuns), Reason: string(m.Reason)})
	}
	return msg
}

func decodePartialResult(msg *peerpb.CollectReply) relay.PartialResult {
	c := relay.PartialResult{Records: msg.GetRecords(), Token: msg.GetToken()}
	seals := msg.GetSeals()
	for i, service := range msg.GetServices() {
		if i < len(seals) {
			c.Parts = append(c.Parts, relay.CollectedPart{Index: int(service), Seal: string(seals[i])})
		}
	}
	for _, m := range msg.GetMissing() {
		c.Missing = append(c.Missing, relay.MissingPart{Index: int(m.GetService()), PossibleRuns: int(m.GetRan()), Reason: fault.Reason(m.GetReason())})
	}
	return c
}
