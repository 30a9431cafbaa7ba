package peer

import (
	"net/netip"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"hyssophub/gossip"
	"hyssophub/peer/peerpb"
)

// GossipSocket sends and receives the heartbeats of hosts that serve the operators'
// routes over UDP.
type GossipSocket struct{ *datagrams }

// ListenGossip returns Pulses at a UDP address. Receiving begins with Start.
func ListenGossip(address string) (*GossipSocket, error) {
	socket, err := listenDatagrams(address)
	if err != nil {
		return nil, err
	}
	return &GossipSocket{datagrams: socket}, nil
}

// Start calls handle for each heartbeat received until Close. Datagrams that
// are no heartbeats are dropped.
func (p *GossipSocket) Start(handle func(gossip.Heartbeat)) {
	p.read(func(data []byte) {
		var w peerpb.Pulse
		if err := proto.Unmarshal(data, &w); err == nil && w.GetSelf().GetName() != "" {
			handle(decodePulse(&w, time.Now()))
		}
	})
}

// Send sends a heartbeat to UDP addresses. Lost datagrams are not repeated: the
// next heartbeat replaces them.
func (p *GossipSocket) Send(pulse gossip.Heartbeat, to []string, now time.Time) error {
	if len(to) == 0 {
		return nil
	}
	data, err := proto.Marshal(encodePulse(pulse, now))
	if err != nil {
		return oops.Wrapf(err, "heartbeat")
	}
	var failed error
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			failed = oops.Wrapf(err, "heartbeat address %s", address)
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(data, at); err != nil {
			failed = oops.Wrapf(err, "heartbeat to %s", address)
		}
	}
	return failed
}

func encodePulse(p gossip.Heartbeat, now time.Time) *peerpb.Pulse {
	w := &peerpb.Pulse{Self: encodePulseHost(p.Sender, now)}
	for _, e := range p.Others {
		w.Others = append(w.Others, encodePulseHost(e, now))
	}
	return w
}

func encodePulseHost(e gossip.Record, now time.Time) *peerpb.PulseHost {
	w := &peerpb.PulseHost{
		Name:        e.Name,
		Zone:        e.Zone,
		Address:     e.Address,
		Beat:        e.HeartbeatAddress,
		Weight:      uint32(max(0, e.Weight)),
		Revision:    e.Revision,
		Position:    e.Progress,
		Watching:    e.Watching,
		Age:         uint32(max(0, now.Sub(e.LastSeen).Milliseconds())),
		Incarnation: e.Incarnation,
		Leaving:     e.Leaving,
	}
	if !e.StoreContact.IsZero() {
		w.Contact = uint32(max(0, now.Sub(e.StoreContact).Milliseconds())) + 1
	}
	return w
}

func decodePulse(w *peerpb.Pulse, now time.Time) gossip.Heartbeat {
	p := gossip.Heartbeat{Sender: decodePulseHost(w.GetSelf(), now)}
	for _, o := range w.GetOthers() {
		p.Others = append(p.Others, decodePulseHost(o, now))
	}
	return p
}

func decodePulseHost(w *peerpb.PulseHost, now time.Time) gossip.Record {
	e := gossip.Record{
		Host: gossip.Host{
			Name:             w.GetName(),
			Zone:             w.GetZone(),
			Address:          w.GetAddress(),
			HeartbeatAddress: w.GetBeat(),
			Weight:           int(w.GetWeight()),
			Incarnation:      w.GetIncarnation(),
			Revision:         w.GetRevision(),
			Progress:         w.GetPosition(),
			Watching:         w.GetWatching(),
			Leaving:          w.GetLeaving(),
		},
		LastSeen: now.Add(-time.Duration(w.GetAge()) * time.Millisecond),
	}
	if contact := w.GetContact(); contact > 0 {
		e.StoreContact = now.Add(-time.Duration(contact-1) * time.Millisecond)
	}
	return e
}
