package peer

import (
	"net/netip"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"hyssophub/gossip"
	"hyssophub/peer/peerpb"
)

// GossipSocket sends and receives, over UDP, the heartbeats of the hosts that
// serve the operators' routes.
type GossipSocket struct{ *udpSocket }

// ListenGossip opens the gossip socket at a UDP address (IP:PORT). Receiving
// begins with Start.
func ListenGossip(address string) (*GossipSocket, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	return &GossipSocket{udpSocket: socket}, nil
}

// Start calls handle for each received heartbeat until Close. Datagrams that
// cannot be decoded or name no sender are dropped.
func (s *GossipSocket) Start(handle func(gossip.Heartbeat)) {
	s.receive(func(data []byte, _ netip.AddrPort) {
		var msg peerpb.Pulse
		if err := proto.Unmarshal(data, &msg); err == nil && msg.GetSelf().GetName() != "" {
			handle(decodeGossip(&msg, time.Now()))
		}
	})
}

// Send sends a heartbeat to UDP addresses. It tries all of them and returns the
// last error. A lost datagram is not sent again, because the next heartbeat
// replaces it.
func (s *GossipSocket) Send(heartbeat gossip.Heartbeat, to []string, now time.Time) error {
	if len(to) == 0 {
		return nil
	}
	data, err := proto.Marshal(encodeGossip(heartbeat, now))
	if err != nil {
		return oops.Wrapf(err, "heartbeat")
	}
	var last error
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			last = oops.Wrapf(err, "parse heartbeat address %s", address)
			continue
		}
		if _, err := s.conn.WriteToUDPAddrPort(data, at); err != nil {
			last = oops.Wrapf(err, "send heartbeat to %s", address)
		}
	}
	return last
}

func encodeGossip(h gossip.Heartbeat, now time.Time) *peerpb.Pulse {
	msg := &peerpb.Pulse{Self: encodeRecord(h.Sender, now)}
	for _, r := range h.Others {
		msg.Others = append(msg.Others, encodeRecord(r, now))
	}
	return msg
}

func encodeRecord(r gossip.Record, now time.Time) *peerpb.PulseHost {
	msg := &peerpb.PulseHost{
		Name:        r.Name,
		Zone:        r.Zone,
		Address:     r.Address,
		Beat:        r.HeartbeatAddress,
		Weight:      uint32(max(0, r.Weight)),
		Revision:    r.Revision,
		Position:    r.Progress,
		Watching:    r.Watching,
		Age:         uint32(max(0, now.Sub(r.LastSeen).Milliseconds())),
		Incarnation: r.Incarnation,
		Leaving:     r.Leaving,
		Joined:      r.Joined,
	}
	if !r.StoreContact.IsZero() {
		msg.Contact = uint32(max(0, now.Sub(r.StoreContact).Milliseconds())) + 1
	}
	return msg
}

func decodeGossip(msg *peerpb.Pulse, now time.Time) gossip.Heartbeat {
	h := gossip.Heartbeat{Sender: decodeRecord(msg.GetSelf(), now)}
	for _, other := range msg.GetOthers() {
		h.Others = append(h.Others, decodeRecord(other, now))
	}
	return h
}

func decodeRecord(msg *peerpb.PulseHost, now time.Time) gossip.Record {
	r := gossip.Record{
		Host: gossip.Host{
			Name:             msg.GetName(),
			Zone:             msg.GetZone(),
			Address:          msg.GetAddress(),
			HeartbeatAddress: msg.GetBeat(),
			Weight:           int(msg.GetWeight()),
			Incarnation:      msg.GetIncarnation(),
			Revision:         msg.GetRevision(),
			Progress:         msg.GetPosition(),
			Watching:         msg.GetWatching(),
			Leaving:          msg.GetLeaving(),
			Joined:           msg.GetJoined(),
		},
		LastSeen: now.Add(-time.Duration(msg.GetAge()) * time.Millisecond),
	}
	if contact := msg.GetContact(); contact > 0 {
		r.StoreContact = now.Add(-time.Duration(contact-1) * time.Millisecond)
	}
	return r
}
