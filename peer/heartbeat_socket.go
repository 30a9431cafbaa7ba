package peer

import (
	"net/netip"
	"sync/atomic"

	"github.com/samber/oops"

	"hyssophub/member"
	"hyssophub/work"
)

// HeartbeatSocket sends and receives the heartbeats of entry hosts over UDP.
type HeartbeatSocket struct {
	*udpSocket
	zone      string
	sentCount atomic.Uint64
	sentBytes atomic.Uint64
}

// ListenHeartbeats opens the heartbeat socket of a host in an availability zone
// at a UDP address (IP:PORT). Receiving begins with Start.
func ListenHeartbeats(address, zone string) (*HeartbeatSocket, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	return &HeartbeatSocket{udpSocket: socket, zone: zone}, nil
}

// Start calls handle for each received heartbeat until Close. Datagrams that
// cannot be decoded are dropped. A panic is reported to onPanic.
func (s *HeartbeatSocket) Start(handle func(member.Heartbeat), onPanic func(work.Panic)) {
	s.receive(func(data []byte, _ netip.AddrPort) {
		if heartbeat, err := DecodeHeartbeat(data, s.zone); err == nil {
			handle(heartbeat)
		}
	}, onPanic)
}

// Send sends a heartbeat to a host. A lost datagram is not sent again, because
// the next heartbeat replaces it.
func (s *HeartbeatSocket) Send(to member.Host, heartbeat member.Heartbeat) error {
	at, err := netip.ParseAddrPort(to.HeartbeatAddr)
	if err != nil {
		return oops.Wrapf(err, "parse heartbeat address of host %s", to.Name)
	}
	if to.Zone == s.zone {
		// The zone name makes up a tenth of a heartbeat within a zone, and the
		// receiver can fill it in.
		heartbeat.From.Zone = ""
	}
	data, err := EncodeHeartbeat(heartbeat)
	if err != nil {
		return oops.Wrapf(err, "encode heartbeat to host %s", to.Name)
	}
	n, err := s.conn.WriteToUDPAddrPort(data, at)
	s.sentCount.Add(1)
	s.sentBytes.Add(uint64(n))
	return err
}

// Traffic returns the number of heartbeats sent and their size in bytes, without
// the UDP and IP headers.
func (s *HeartbeatSocket) Traffic() (heartbeats, size uint64) {
	return s.sentCount.Load(), s.sentBytes.Load()
}

// Address returns the local UDP address, to which other hosts send heartbeats.
func (s *HeartbeatSocket) Address() string { return s.conn.LocalAddr().String() }
