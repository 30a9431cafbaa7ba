package peer

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"hyssophub/gossip"
	"hyssophub/peer/peerpb"
	"hyssophub/store"
	"hyssophub/work"
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
// cannot be decoded or name no sender are dropped. A panic is reported to onPanic.
func (s *GossipSocket) Start(handle func(gossip.Heartbeat), onPanic func(work.Panic)) {
	s.receive(func(data []byte, _ netip.AddrPort) {
		var msg peerpb.Pulse
		if err := proto.Unmarshal(data, &msg); err == nil && msg.GetSelf().GetName() != "" {
			handle(decodeGossip(&msg, time.Now()))
		}
	}, onPanic)
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
		record := encodeRecord(r, now)
		if record.Zone == msg.Self.Zone {
			record.Zone = ""
		}
		msg.Others = append(msg.Others, record)
	}
	return msg
}

func encodeRecord(r gossip.Record, now time.Time) *peerpb.PulseHost {
	msg := &peerpb.PulseHost{
		Name:        r.Name,
		Zone:        r.Zone,
		Weight:      uint32(max(0, r.Weight)),
		Era:         r.Position.Era,
		Revision:    r.Position.Revision,
		Position:    r.Position.Revision + r.Idle,
		Watching:    r.Watching,
		Age:         uint32(max(0, now.Sub(r.LastSeen).Milliseconds())),
		Incarnation: r.Incarnation,
		Leaving:     r.Leaving,
		Joined:      r.Joined,
		Joining:     r.Joining,
		Size:        uint32(max(0, r.ZoneSize)),
	}
	encodeAddresses(msg, r.Address, r.HeartbeatAddress)
	msg.Failing = r.StoreFailing
	if !r.StoreReturned.IsZero() {
		msg.Returned = uint32(max(0, now.Sub(r.StoreReturned).Milliseconds())) + 1
	}
	if !r.StoreContact.IsZero() {
		msg.Contact = uint32(max(0, now.Sub(r.StoreContact).Milliseconds())) + 1
	}
	return msg
}

// encodeAddresses sets the addresses of a host, which in numbers take a third of the
// bytes of the texts.
func encodeAddresses(msg *peerpb.PulseHost, address, heartbeatAddress string) {
	tcp, tcpErr := netip.ParseAddrPort(address)
	udp, udpErr := netip.ParseAddrPort(heartbeatAddress)
	if tcpErr != nil || udpErr != nil || tcp.Addr() != udp.Addr() || !tcp.Addr().Is4() {
		msg.Address, msg.Beat = address, heartbeatAddress
		return
	}
	ip := tcp.Addr().As4()
	msg.Ip = binary.BigEndian.Uint32(ip[:])
	msg.Port, msg.Udp = uint32(tcp.Port()), uint32(udp.Port())
}

func decodeAddresses(msg *peerpb.PulseHost) (address, heartbeatAddress string) {
	if msg.GetUdp() == 0 {
		return msg.GetAddress(), msg.GetBeat()
	}
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], msg.GetIp())
	addr := netip.AddrFrom4(ip)
	return netip.AddrPortFrom(addr, uint16(msg.GetPort())).String(), netip.AddrPortFrom(addr, uint16(msg.GetUdp())).String()
}

func decodeGossip(msg *peerpb.Pulse, now time.Time) gossip.Heartbeat {
	h := gossip.Heartbeat{Sender: decodeRecord(msg.GetSelf(), now)}
	for _, other := range msg.GetOthers() {
		r := decodeRecord(other, now)
		r.Zone = cmp.Or(r.Zone, h.Sender.Zone)
		h.Others = append(h.Others, r)
	}
	return h
}

func decodeRecord(msg *peerpb.PulseHost, now time.Time) gossip.Record {
	address, heartbeatAddress := decodeAddresses(msg)
	r := gossip.Record{
		Host: gossip.Host{
			Name:             msg.GetName(),
			Zone:             msg.GetZone(),
			Address:          address,
			HeartbeatAddress: heartbeatAddress,
			Weight:           int(msg.GetWeight()),
			Incarnation:      msg.GetIncarnation(),
			Position:         store.Position{Era: msg.GetEra(), Revision: msg.GetRevision()},
			Idle:             max(msg.GetPosition(), msg.GetRevision()) - msg.GetRevision(),
			Watching:         msg.GetWatching(),
			Leaving:          msg.GetLeaving(),
			Joined:           msg.GetJoined(),
			ZoneSize:         int(msg.GetSize()),
			Joining:          msg.GetJoining(),
		},
		LastSeen: now.Add(-time.Duration(msg.GetAge()) * time.Millisecond),
	}
	if contact := msg.GetContact(); contact > 0 {
		r.StoreContact = now.Add(-time.Duration(contact-1) * time.Millisecond)
	}
	r.StoreFailing = msg.GetFailing()
	if returned := msg.GetReturned(); returned > 0 {
		r.StoreReturned = now.Add(-time.Duration(returned-1) * time.Millisecond)
	}
	return r
}
