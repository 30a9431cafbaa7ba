package peer

import (
	"math"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"hyssophub/canary"
	"hyssophub/peer/peerpb"
)

// stages are the stages of a roll-out by their numbers in messages.
var stages = []canary.Stage{canary.Observing{}, canary.Moving{}, canary.RolledBack{}, canary.Complete{}}

// TellRollout sends a report on a roll-out. It tries all addresses and returns the last
// error.
func (s *PermitSocket) TellRollout(tell canary.Tell) error {
	data, err := s.encodeReports([]canary.Report{tell.Report})
	if err != nil {
		return err
	}
	var last error
	for _, address := range tell.Addresses {
		to, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = s.conn.WriteToUDPAddrPort(data, to)
		}
		if err != nil {
			last = oops.Wrapf(err, "send report to %s", address)
		}
	}
	return last
}

func (s *PermitSocket) encodeReports(reports []canary.Report) ([]byte, error) {
	msg := &peerpb.Datagram{Host: s.host}
	for _, r := range reports {
		msg.Rollouts = append(msg.Rollouts, encodeReport(r))
	}
	data, err := proto.Marshal(msg)
	return data, oops.Wrapf(err, "report on a roll-out")
}

func encodeReport(r canary.Report) *peerpb.Rollout {
	msg := &peerpb.Rollout{
		Service: r.Service, Target: r.Target, Revision: r.Revision, Age: uint64(max(0, r.Age.Milliseconds())),
		Reason: r.Reason, Open: uint32(max(0, r.Open)), Run: r.Incarnation, Senders: uint32(max(0, r.Senders)),
	}
	for i, stage := range stages {
		if canary.NameOf(stage) == canary.NameOf(r.Stage) {
			msg.Stage = uint32(i)
		}
	}
	for _, row := range r.Rows {
		msg.Rows = append(msg.Rows, &peerpb.Tally{
			Server: row.Server, Zone: row.Zone, Target: row.IsTarget, Route: row.Route, Near: row.IsNear, Move: row.IsMove,
			Sent: row.Sent, Answers: row.Answers, Failed: row.Failed, Lost: row.Lost,
			Times: encodeHistogram(row.Times), Waits: encodeHistogram(row.Waits),
		})
	}
	return msg
}

// maxAge bounds the age of an order that a host reports, so that it can be converted.
const maxAge = math.MaxInt32 * time.Second

// decodeReports decodes reports. Those with an unknown stage are left out.
func decodeReports(host string, list []*peerpb.Rollout) []canary.Report {
	reports := make([]canary.Report, 0, len(list))
	for _, msg := range list {
		if msg.GetService() == "" || host == "" || int(msg.GetStage()) >= len(stages) {
			continue
		}
		r := canary.Report{
			Host: host, Incarnation: msg.GetRun(), Service: msg.GetService(), Target: msg.GetTarget(), Revision: msg.GetRevision(),
			Age:   time.Duration(min(msg.GetAge(), uint64(maxAge.Milliseconds()))) * time.Millisecond,
			Stage: stages[msg.GetStage()], Reason: msg.GetReason(), Open: int(msg.GetOpen()), Senders: int(msg.GetSenders()),
		}
		for _, row := range msg.GetRows() {
			r.Rows = append(r.Rows, canary.Row{
				Key:   canary.Key{Server: row.GetServer(), Zone: row.GetZone(), IsTarget: row.GetTarget(), Route: row.GetRoute(), IsNear: row.GetNear(), IsMove: row.GetMove()},
				Tally: canary.Tally{Sent: row.GetSent(), Answers: row.GetAnswers(), Failed: row.GetFailed(), Lost: row.GetLost(), Times: decodeHistogram(row.GetTimes()), Waits: decodeHistogram(row.GetWaits())},
			})
		}
		reports = append(reports, r)
	}
	return reports
}

// encodeHistogram returns the counts up to the last one that is not zero.
func encodeHistogram(h canary.Histogram) []uint32 {
	end := len(h)
	for end > 0 && h[end-1] == 0 {
		end--
	}
	return h[:end]
}

// decodeHistogram decodes counts. Those of buckets that this host does not know count for
// the last one.
func decodeHistogram(counts []uint32) canary.Histogram {
	var h canary.Histogram
	for i, count := range counts {
		h[min(i, len(h)-1)] += count
	}
	return h
}

// hearReports passes the reports of a datagram to the handler and sends its replies.
func (s *PermitSocket) hearReports(msg *peerpb.Datagram, from netip.AddrPort, handler PermitHandler) {
	if len(msg.GetRollouts()) == 0 {
		return
	}
	replies := handler.Hear(decodeReports(msg.GetHost(), msg.GetRollouts()))
	if len(replies) == 0 {
		return
	}
	if data, err := s.encodeReports(replies); err == nil {
		_, _ = s.conn.WriteToUDPAddrPort(data, from)
	}
}
