package peer

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssophub/member"
	"hyssophub/peer/peerpb"
)

// EncodeHeartbeat returns the datagram of a heartbeat.
func EncodeHeartbeat(b member.Heartbeat) ([]byte, error) {
	w := &peerpb.Beat{
		From:            b.From.Name,
		Zone:            b.From.Zone,
		Peer:            b.From.PeerAddr,
		Beat:            b.From.HeartbeatAddr,
		Incarnation:     b.From.Incarnation,
		Seq:             b.Seq,
		EchoIncarnation: b.EchoIncarnation,
		EchoSeq:         b.EchoSeq,
		Known:           b.RecipientAlive,
		Epoch:           b.Epoch,
		Revision:        b.Revision,
		Leaving:         b.Leaving,
	}
	if b.ConfirmationAge >= 0 {
		// Rounding up never makes a confirmation younger.
		w.Confirmed = uint64((b.ConfirmationAge+time.Millisecond-1)/time.Millisecond) + 1
	}
	if b.Roster != nil {
		w.Roster = encodeRoster(*b.Roster)
	}
	for _, r := range b.ZoneReports {
		age := uint64((r.Age + time.Millisecond - 1) / time.Millisecond)
		w.Reports = append(w.Reports, &peerpb.Report{Zone: r.Zone, Age: age, Store: r.StoreReachable, Absent: r.NonOwners})
	}
	return proto.Marshal(w)
}

// DecodeHeartbeat returns the heartbeat in a datagram to a host of a zone. Senders
// in the same zone omit its name.
func DecodeHeartbeat(data []byte, zone string) (member.Heartbeat, error) {
	var w peerpb.Beat
	if err := proto.Unmarshal(data, &w); err != nil {
		return member.Heartbeat{}, err
	}
	b := member.Heartbeat{
		From: member.Host{
			Name:          w.GetFrom(),
			Zone:          cmp.Or(w.GetZone(), zone),
			PeerAddr:      w.GetPeer(),
			HeartbeatAddr: w.GetBeat(),
			Incarnation:   w.GetIncarnation(),
		},
		Seq:             w.GetSeq(),
		EchoIncarnation: w.GetEchoIncarnation(),
		EchoSeq:         w.GetEchoSeq(),
		RecipientAlive:  w.GetKnown(),
		Epoch:           w.GetEpoch(),
		Revision:        w.GetRevision(),
		ConfirmationAge: -1,
		Leaving:         w.GetLeaving(),
	}
	if w.GetConfirmed() > 0 {
		b.ConfirmationAge = millis(w.GetConfirmed() - 1)
	}
	if w.GetRoster() != nil {
		roster := decodeRoster(w.GetRoster(), b.From.Zone)
		b.Roster = &roster
	}
	for _, r := range w.GetReports() {
		b.ZoneReports = append(b.ZoneReports, member.ZoneReport{
			Zone: r.GetZone(), Age: millis(r.GetAge()), StoreReachable: r.GetStore(), NonOwners: r.GetAbsent(),
		})
	}
	return b, nil
}

func encodeRoster(r member.Roster) *peerpb.Roster {
	w := &peerpb.Roster{Revision: r.Revision, Epoch: r.Epoch}
	for _, m := range r.Members {
		w.Members = append(w.Members, &peerpb.Member{
			Name:        m.Host.Name,
			Peer:        m.Host.PeerAddr,
			Beat:        m.Host.HeartbeatAddr,
			Incarnation: m.Host.Incarnation,
			Role:        string(m.Role),
		})
	}
	return w
}

func decodeRoster(w *peerpb.Roster, zone string) member.Roster {
	r := member.Roster{Revision: w.GetRevision(), Epoch: w.GetEpoch()}
	for _, m := range w.GetMembers() {
		r.Members = append(r.Members, member.Member{
			Host: member.Host{
				Name:          m.GetName(),
				Zone:          zone,
				PeerAddr:      m.GetPeer(),
				HeartbeatAddr: m.GetBeat(),
				Incarnation:   m.GetIncarnation(),
			},
			Role: member.Role(m.GetRole()),
		})
	}
	return r
}

// maxMillis bounds times in messages, so that conversions cannot overflow.
const maxMillis = uint64(time.Hour / time.Millisecond)

func millis(n uint64) time.Duration { return time.Duration(min(n, maxMillis)) * time.Millisecond }
