package peer

import (
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"hyssophub/canary"
	"hyssophub/flow"
	"hyssophub/peer/peerpb"
	"hyssophub/quota"
	"hyssophub/work"
)

// PermitHandler handles the datagrams of other hosts about permits to send requests
// to backend servers with a rate limit.
type PermitHandler interface {
	// Answer answers the asks of a host.
	Answer(host string, asks []flow.Ask) []flow.Grant
	// Accept applies the grants that answer the batch of asks with the given number.
	Accept(number uint64, grants []flow.Grant)
	// Tell applies an announcement of a host, and returns what to pass on.
	Tell(host string, announced flow.Announcement) []flow.Announcement
	// Hear applies reports on roll-outs, and returns the replies.
	Hear(reports []canary.Report) []canary.Report
	// AnswerClaims answers the claims of a host for permits of client accounts.
	AnswerClaims(claims []quota.Claim) []quota.Reply
	// AcceptReplies applies the replies of a host to such claims, and returns what to
	// send.
	AcceptReplies(host string, replies []quota.Reply) []quota.Message
}

// PermitSocket sends and receives asks for permits, the grants that answer them, and
// announcements of what servers said, over UDP. A lost datagram leaves permits unused; the next
// ask replaces it.
type PermitSocket struct {
	*udpSocket
	// host is the name of this host.
	host string
}

// ListenPermits opens the socket of a host at a UDP address (IP:PORT). Receiving
// begins with Start.
func ListenPermits(host, address string) (*PermitSocket, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	return &PermitSocket{udpSocket: socket, host: host}, nil
}

// Start passes the received datagrams to handler until Close, and sends the grants
// that it returns. Datagrams that cannot be decoded are dropped. A panic is reported to
// onPanic.
func (s *PermitSocket) Start(handler PermitHandler, onPanic func(work.Panic)) {
	s.receive(func(data []byte, from netip.AddrPort) {
		var msg peerpb.Datagram
		if err := proto.Unmarshal(data, &msg); err != nil {
			return
		}
		now := time.Now()
		s.hearReports(&msg, from, handler)
		if len(msg.GetLeaving())+len(msg.GetLimited()) > 0 {
			for _, n := range handler.Tell(msg.GetHost(), decodeAnnouncement(&msg, now)) {
				_ = s.Announce(n)
			}
		}
		if len(msg.GetGrants()) > 0 {
			handler.Accept(msg.GetNumber(), decodeGrants(msg.GetGrants(), now))
		}
		s.receiveClaims(&msg, from, handler)
		if len(msg.GetAsks()) == 0 {
			return
		}
		grants := handler.Answer(msg.GetHost(), decodeAsks(msg.GetAsks(), now))
		reply := &peerpb.Datagram{Host: s.host, Number: msg.GetNumber(), Grants: encodeGrants(grants, now)}
		if data, err := proto.Marshal(reply); err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(data, from)
		}
	}, onPanic)
}

// Send sends a batch of asks.
func (s *PermitSocket) Send(b *flow.Batch, now time.Time) error {
	to, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return oops.Wrapf(err, "parse address %s", b.Address)
	}
	msg := &peerpb.Datagram{Host: s.host, Number: b.Number}
	for _, a := range b.Asks {
		msg.Asks = append(msg.Asks, &peerpb.Ask{
			Server: encodeServer(a.Server), Limit: encodeLimit(a.Limit, now), Want: uint32(max(0, a.Want)),
			Cold: a.ColdRate, Left: uint32(max(0, a.ColdTime.Milliseconds())),
		})
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return oops.Wrapf(err, "asks")
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return oops.Wrapf(err, "send asks to %s", b.Address)
	}
	return nil
}

// Announce sends an announcement to its addresses. It tries all of them and returns the
// last error.
func (s *PermitSocket) Announce(n flow.Announcement) error {
	msg, now := &peerpb.Datagram{Host: s.host, Relay: n.Relay}, time.Now()
	for _, l := range n.Limited {
		msg.Limited = append(msg.Limited, &peerpb.Ask{Server: encodeServer(l.Server), Limit: encodeLimit(l.Limit, now)})
	}
	for _, server := range n.Leaving {
		msg.Leaving = append(msg.Leaving, encodeServer(server))
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return oops.Wrapf(err, "announcement")
	}
	var last error
	for _, address := range n.Addresses {
		to, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = s.conn.WriteToUDPAddrPort(data, to)
		}
		if err != nil {
			last = oops.Wrapf(err, "send announcement to %s", address)
		}
	}
	return last
}

// PermitAddress returns the address of another host's permit socket: its IP number
// with the port of this host's socket, since all hosts listen on the same ports.
func (s *PermitSocket) PermitAddress(heartbeatAddress string) string {
	at, err := netip.ParseAddrPort(heartbeatAddress)
	local, ok := s.conn.LocalAddr().(*net.UDPAddr)
	if err != nil || !ok {
		return ""
	}
	return netip.AddrPortFrom(at.Addr(), uint16(local.Port)).String()
}

func encodeServer(s flow.Server) *peerpb.Server {
	return &peerpb.Server{Id: s.ID, Start: s.StartMs, Zone: s.Zone}
}

func decodeServer(msg *peerpb.Server) flow.Server {
	return flow.Server{ID: msg.GetId(), StartMs: msg.GetStart(), Zone: msg.GetZone()}
}

func decodeAnnouncement(msg *peerpb.Datagram, now time.Time) flow.Announcement {
	n := flow.Announcement{Relay: msg.GetRelay()}
	for _, server := range msg.GetLeaving() {
		if server.GetId() != "" {
			n.Leaving = append(n.Leaving, decodeServer(server))
		}
	}
	for _, a := range decodeAsks(msg.GetLimited(), now) {
		n.Limited = append(n.Limited, flow.ServerLimit{Server: a.Server, Limit: a.Limit})
	}
	return n
}

func encodeLimit(l flow.Limit, now time.Time) *peerpb.Limit {
	// The age of an answer that never came exceeds the field.
	age := min(max(0, now.Sub(l.SaidAt).Milliseconds()), math.MaxUint32)
	return &peerpb.Limit{Rate: l.Rate, None: !l.Named, Age: uint32(age)}
}

func decodeLimit(msg *peerpb.Limit, now time.Time) flow.Limit {
	return flow.Limit{Named: !msg.GetNone(), Rate: msg.GetRate(), SaidAt: now.Add(-time.Duration(msg.GetAge()) * time.Millisecond)}
}

// decodeAsks decodes asks. Those without a server or with an impossible rate are left
// out.
func decodeAsks(list []*peerpb.Ask, now time.Time) []flow.Ask {
	asks := make([]flow.Ask, 0, len(list))
	for _, msg := range list {
		if msg.GetServer().GetId() == "" || msg.GetLimit() == nil || !flow.IsRate(msg.GetLimit().GetRate()) || !flow.IsRate(msg.GetCold()) {
			continue
		}
		asks = append(asks, flow.Ask{
			Server: decodeServer(msg.GetServer()), Limit: decodeLimit(msg.GetLimit(), now), Want: int(min(msg.GetWant(), maxWant)),
			ColdRate: msg.GetCold(), ColdTime: time.Duration(msg.GetLeft()) * time.Millisecond,
		})
	}
	return asks
}

// maxWant bounds the permits that one ask asks for, and the ones that a grant brings.
const maxWant = 10000

func encodeGrants(grants []flow.Grant, now time.Time) []*peerpb.Grant {
	list := make([]*peerpb.Grant, 0, len(grants))
	for _, g := range grants {
		list = append(list, &peerpb.Grant{
			Server: encodeServer(g.Server), Limit: encodeLimit(g.Limit, now), Permits: uint32(max(0, g.Permits)),
			Wait: uint32(max(0, g.Wait.Milliseconds())), Owner: g.Owner,
		})
	}
	return list
}

func decodeGrants(list []*peerpb.Grant, now time.Time) []flow.Grant {
	grants := make([]flow.Grant, 0, len(list))
	for _, msg := range list {
		if msg.GetServer().GetId() == "" || msg.GetLimit() == nil || !flow.IsRate(msg.GetLimit().GetRate()) {
			continue
		}
		grants = append(grants, flow.Grant{
			Server: decodeServer(msg.GetServer()), Limit: decodeLimit(msg.GetLimit(), now), Permits: int(min(msg.GetPermits(), maxWant)),
			Wait: time.Duration(msg.GetWait()) * time.Millisecond, Owner: msg.GetOwner(),
		})
	}
	return grants
}
