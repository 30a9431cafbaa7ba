package peer

import (
	"math"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"hyssophub/flow"
	"hyssophub/peer/peerpb"
	"hyssophub/quota"
)

// receiveClaims passes the claims and replies of a datagram to handler, and sends the
// replies and claims that it returns.
func (s *PermitSocket) receiveClaims(msg *peerpb.Datagram, from netip.AddrPort, handler PermitHandler) {
	if len(msg.GetReplies()) > 0 {
		_ = s.SendClaims(handler.AcceptReplies(msg.GetHost(), decodeReplies(msg.GetReplies())))
	}
	if len(msg.GetClaims()) == 0 {
		return
	}
	replies := handler.AnswerClaims(decodeClaims(msg.GetClaims()))
	if len(replies) == 0 {
		return
	}
	data, err := proto.Marshal(&peerpb.Datagram{Host: s.host, Replies: encodeReplies(replies)})
	if err == nil {
		_, _ = s.conn.WriteToUDPAddrPort(data, from)
	}
}

// SendClaims sends claims, a datagram for each. It tries all of them and returns the last
// error.
func (s *PermitSocket) SendClaims(messages []quota.Message) error {
	var last error
	for _, p := range messages {
		data, err := proto.Marshal(&peerpb.Datagram{Host: s.host, Claims: []*peerpb.Claim{encodeClaim(p.Claim)}})
		if err != nil {
			last = oops.Wrapf(err, "claim")
			continue
		}
		to, err := netip.ParseAddrPort(p.Address)
		if err == nil {
			_, err = s.conn.WriteToUDPAddrPort(data, to)
		}
		if err != nil {
			last = oops.Wrapf(err, "send claim to %s", p.Host)
		}
	}
	return last
}

func encodeClaim(c quota.Claim) *peerpb.Claim {
	return &peerpb.Claim{
		Number: c.Number, Account: c.Cap.Account, Rate: c.Cap.Rate, Burst: c.Cap.Burst, Version: c.Cap.Version,
		Want: uint32(max(0, c.Want)), Hosts: uint32(max(0, c.Hosts)), Back: uint32(max(0, c.Back)),
	}
}

// maxHosts bounds the number of hosts that a claim names.
const maxHosts = 100000

// decodeClaims decodes claims. Those without an account or with an impossible cap are left
// out.
func decodeClaims(list []*peerpb.Claim) []quota.Claim {
	claims := make([]quota.Claim, 0, len(list))
	for _, msg := range list {
		if msg.GetAccount() == "" || !flow.IsRate(msg.GetRate()) || !flow.IsRate(msg.GetBurst()) || msg.GetHosts() > maxHosts {
			continue
		}
		claims = append(claims, quota.Claim{
			Number: msg.GetNumber(),
			Cap:    quota.Cap{Account: msg.GetAccount(), Rate: msg.GetRate(), Burst: msg.GetBurst(), Version: msg.GetVersion()},
			Want:   int(max(1, min(msg.GetWant(), maxWant))),
			Hosts:  int(msg.GetHosts()), Back: int(min(msg.GetBack(), maxWant)),
		})
	}
	return claims
}

func encodeReplies(replies []quota.Reply) []*peerpb.Reply {
	list := make([]*peerpb.Reply, 0, len(replies))
	for _, r := range replies {
		msg := &peerpb.Reply{Number: r.Number}
		switch result := r.Result.(type) {
		case quota.Granted:
			msg.Permits = uint32(max(0, result.Permits))
		case quota.Over:
			msg.Over, msg.Wait = true, uint32(min(max(0, result.Wait.Milliseconds()), math.MaxUint32))
		case quota.Elsewhere:
			msg.Owner = result.Owner
		}
		list = append(list, msg)
	}
	return list
}

func decodeReplies(list []*peerpb.Reply) []quota.Reply {
	replies := make([]quota.Reply, 0, len(list))
	for _, msg := range list {
		r := quota.Reply{Number: msg.GetNumber()}
		switch {
		case msg.GetPermits() > 0:
			r.Result = quota.Granted{Permits: int(min(msg.GetPermits(), maxWant))}
		case msg.GetOver():
			r.Result = quota.Over{Wait: time.Duration(msg.GetWait()) * time.Millisecond}
		default:
			r.Result = quota.Elsewhere{Owner: msg.GetOwner()}
		}
		replies = append(replies, r)
	}
	return replies
}
