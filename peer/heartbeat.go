package peer

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssophub/member"
	"hyssophub/peer/peerpb"
)

// EncodeHeartbeat returns the datagram that carries a heartbeat.
func EncodeHeartbeat(h member.Heartbeat) ([]byte, error) {
	msg := &peerpb.Beat{
		From:            h.From.Name,
		Zone:            h.From.Zone,
		Peer:            h.From.PeerAddr,
		Beat:            h.From.HeartbeatAddr,
		Incarnation:     h.From.Incarnation,
		Seq:             h.Seq,
		EchoIncarnation: h.EchoIncarnation,
		EchoSeq:         h.EchoSeq,
		Known:           h.RecipientAlive,
		Epoch:           h.Epoch,
		Revision:        h.Revision,
		Leaving:         h.Leaving,
	}
	if h.ConfirmationAge >= 0 {
		// Rounded up, so that the receiver never sees a confirmation as more recent.
		// Zero in the message means that there is none.
		msg.Confirmed = uint64((h.ConfirmationAge+time.Millisecond-1)/time.Millisecond) + 1
	}
	if h.Roster != nil {
		msg.Roster = encodeRoster(*h.Roster)
	}
	for _, r := range h.ZoneReports {
		age := uint64((r.Age + time.Millisecond - 1) / time.Millisecond)
		msg.Reports = append(msg.Reports, &peerpb.Report{Zone: r.Zone, Age: age, Store: r.StoreReachable, Absent: r.NonOwners})
	}
	return proto.Marshal(msg)
}

// DecodeHeartbeat returns the heartbeat in a datagram. zone is the availability
// zone of the receiving host: senders in the same zone leave the name out.
func DecodeHeartbeat(data []byte, zone string) (member.Heartbeat, error) {
	var msg peerpb.Beat
	if err := proto.Unmarshal(data, &msg); err != nil {
		return member.Heartbeat{}, err
	}
	h := member.Heartbeat{
		From: member.Host{
			Name:          msg.GetFrom(),
			Zone:          cmp.Or(msg.GetZone(), zone),
			PeerAddr:      msg.GetPeer(),
			HeartbeatAddr: msg.GetBeat(),
			Incarnation:   msg.GetIncarnation(),
		},
		Seq:             msg.GetSeq(),
		EchoIncarnation: msg.GetEchoIncarnation(),
		EchoSeq:         msg.GetEchoSeq(),
		RecipientAlive:  msg.GetKnown(),
		Epoch:           msg.GetEpoch(),
		Revision:        msg.GetRevision(),
		ConfirmationAge: -1,
		Leaving:         msg.GetLeaving(),
	}
	if msg.GetConfirmed() > 0 {
		h.ConfirmationAge = fromMillis(msg.GetConfirmed() - 1)
	}
	if msg.GetRoster() != nil {
		roster := decodeRoster(msg.GetRoster(), h.From.Zone)
		h.Roster = &roster
	}
	for _, r := range msg.GetReports() {
		h.ZoneReports = append(h.ZoneReports, member.ZoneReport{
			Zone: r.GetZone(), Age: fromMillis(r.GetAge()), StoreReachable: r.GetStore(), NonOwners: r.GetAbsent(),
		})
	}
	return h, nil
}

func encodeRoster(r member.Roster) *peerpb.Roster {
	msg := &peerpb.Roster{Revision: r.Revision, Epoch: r.Epoch}
	for _, m := range r.Members {
		msg.Members = append(msg.Members, &peerpb.Member{
			Name:        m.Host.Name,
			Peer:        m.Host.PeerAddr,
			Beat:        m.Host.HeartbeatAddr,
			Incarnation: m.Host.Incarnation,
			Role:        string(m.Role),
		})
	}
	return msg
}

func decodeRoster(msg *peerpb.Roster, zone string) member.Roster {
	r := member.Roster{Revision: msg.GetRevision(), Epoch: msg.GetEpoch()}
	for _, m := range msg.GetMembers() {
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

// maxMillis bounds the durations in received messages, in milliseconds, so that
// conversions cannot overflow.
const maxMillis = uint64(time.Hour / time.Millisecond)

func fromMillis(n uint64) time.Duration { return time.Duration(min(n, maxMillis)) * time.Millisecond }
