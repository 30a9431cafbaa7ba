package peer

import (
	"net/netip"
	"sync/atomic"

	"github.com/samber/oops"

	"hyssophub/member"
)

// HeartbeatSocket sends and receives heartbeats over UDP.
type HeartbeatSocket struct {
	*datagrams
	zone  string
	sent  atomic.Uint64
	bytes atomic.Uint64
}

// ListenHeartbeats returns Beats of a host in a zone at a UDP address. Receiving
// begins with Start.
func ListenHeartbeats(address, zone string) (*HeartbeatSocket, error) {
	socket, err := listenDatagrams(address)
	if err != nil {
		return nil, err
	}
	return &HeartbeatSocket{datagrams: socket, zone: zone}, nil
}

// Start calls handle for each heartbeat received until Close. Datagrams that
// are no heartbeats are dropped.
func (b *HeartbeatSocket) Start(handle func(member.Heartbeat)) {
	b.read(func(data []byte) {
		if beat, err := DecodeHeartbeat(data, b.zone); err == nil {
			handle(beat)
		}
	})
}

// Send sends a heartbeat. Lost datagrams are not repeated: the next heartbeat
// replaces them.
func (b *HeartbeatSocket) Send(to member.Host, beat member.Heartbeat) error {
	at, err := netip.ParseAddrPort(to.HeartbeatAddr)
	if err != nil {
		return oops.Wrapf(err, "heartbeat address of host %s", to.Name)
	}
	if to.Zone == b.zone {
		// The zone's name is a tenth of a heartbeat within the zone.
		beat.From.Zone = ""
	}
	data, err := EncodeHeartbeat(beat)
	if err != nil {
		return oops.Wrapf(err, "heartbeat to host %s", to.Name)
	}
	n, err := b.conn.WriteToUDPAddrPort(data, at)
	b.sent.Add(1)
	b.bytes.Add(uint64(n))
	return err
}

// Traffic returns the number of heartbeats sent and their bytes, without the
// headers of UDP and IP.
func (b *HeartbeatSocket) Traffic() (beats, size uint64) { return b.sent.Load(), b.bytes.Load() }

// Address returns the address that other hosts send to.
func (b *HeartbeatSocket) Address() string { return b.conn.LocalAddr().String() }
