package relay

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/gossip"
	"hyssophub/props"
	"hyssophub/rules"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// TestScripts guards the decisions on requests in progress against the failures
// that the comments in the scripts name.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type script struct {
	start       time.Time
	now         time.Time
	fleet       *fleet.Table
	hosts       *gossip.Table
	table       *Table
	routing     *rules.Table
	set         rules.Set
	revision    uint64
	record      *record
	exchanges   []*exchange
	delegations []*delegation
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = s.start.Add(props.Span(t, d, "at"))
	}
	switch d.Cmd {
	case "host":
		s.host(t, d)
	case "servers":
		s.servers(d)
	case "drain":
		s.drain(t, d)
	case "out":
		s.routing.SetOut(props.Text(t, d, "zone"), true)
	case "begin":
		return s.begin(t, d)
	case "step":
		return s.show(s.table.step(s.record, s.now))
	case "take":
		return s.take(t, d)
	case "settle":
		return s.settle(t, d)
	case "hand":
		return s.hand()
	case "cut":
		s.hosts.RecordZoneSuccess(props.Text(t, d, "zone"), s.now.Add(-time.Minute))
		for range 10 {
			s.hosts.RecordZoneFailure(props.Text(t, d, "zone"), s.now)
		}
		s.fleet.SetUnreachable(s.hosts.UnreachableZones(s.now))
		if view := s.routing.View(); view != nil {
			return fmt.Sprintf("can serve %t", s.table.CanServe(view, s.now))
		}
	case "budget":
		return s.budget(t, d)
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// host starts new tables of a host in a zone, with others that it has heard.
func (s *script) host(t *testing.T, d *datadriven.TestData) {
	s.now = s.start
	s.fleet = fleet.NewTable(props.Text(t, d, "zone"), 0)
	s.fleet.SetHosts(1)
	s.hosts = gossip.NewTable(gossip.Host{Name: "self", Zone: props.Text(t, d, "zone"), Weight: 400}, s.now)
	for _, line := range strings.Fields(d.Input) {
		name, zone, _ := strings.Cut(line, "@")
		host := gossip.Host{Name: name, Zone: zone, Address: name, Weight: 400}
		s.hosts.Receive(gossip.Heartbeat{Sender: gossip.Record{Host: host}}, s.now)
	}
	s.routing = rules.NewTable(0)
	s.table = NewTable(s.routing, s.fleet, s.hosts, Limits{Ratio: 0.2, Burst: props.Number(t, d, "burst"), Window: 10 * time.Second}, 1)
	s.set = rules.Set{}
}

// servers registers instances, given as service:id@zone.
func (s *script) servers(d *datadriven.TestData) {
	for _, line := range strings.Fields(d.Input) {
		service, rest, _ := strings.Cut(line, ":")
		id, zone, _ := strings.Cut(rest, "@")
		s.revision++
		s.fleet.Register(fleet.Instance{ID: id, Service: service, Zone: zone, Address: id, Slots: 2, State: fleet.Ready{}, Revision: s.revision}, s.now)
	}
}

func (s *script) drain(t *testing.T, d *datadriven.TestData) {
	for _, i := range s.fleet.Instances() {
		if i.ID == props.Text(t, d, "id") {
			s.revision++
			i.State, i.Revision = fleet.Draining{}, s.revision
			s.fleet.Register(i, s.now)
		}
	}
}

func (s *script) begin(t *testing.T, d *datadriven.TestData) string {
	services := strings.Split(props.Text(t, d, "services"), "+")
	route := rules.Route{
		Name:     "r",
		Prefix:   "/",
		Target:   rules.Single{Service: services[0]},
		Repeat:   rules.Idempotent{},
		Goal:     props.Span(t, d, "goal"),
		Attempts: 2,
	}
	if d.HasArg("once") {
		route.Repeat = rules.AtMostOnce{}
	}
	if d.HasArg("top") {
		route.Target = rules.Gather{Services: services, Top: int(props.Number(t, d, "top")), MinShare: props.Number(t, d, "min")}
	}
	s.set.Version++
	s.set.Routes = []rules.Route{route}
	s.routing.Accept(s.set)
	view := s.routing.View()
	e := &Engine{rules: s.routing, table: s.table, ctx: context.Background()}
	s.record = e.newRecord(context.Background(), Request{
		Message:  &Message{ID: "id"},
		View:     view,
		Route:    &view.Set.Routes[0],
		Arrived:  s.now,
		Deadline: s.now.Add(props.Span(t, d, "deadline")),
	})
	s.record.collecting = d.HasArg("collecting")
	s.exchanges, s.delegations = nil, nil
	return s.show(s.table.begin(s.record, s.now))
}

func (s *script) take(t *testing.T, d *datadriven.TestData) string {
	x := s.exchanges[int(props.Number(t, d, "x"))]
	var outcome Outcome
	switch {
	case d.HasArg("answered"):
		outcome = Answered{Status: int(props.Number(t, d, "answered")), Seal: argument(d, "seal"), Body: []byte(argument(d, "body"))}
	case d.HasArg("refused"):
		outcome = Refused{Reason: fault.Reason(props.Text(t, d, "refused"))}
	default:
		outcome = Failed{Verdict: fault.ParseVerdict(props.Text(t, d, "failed")), Reason: fault.ReasonConnection}
	}
	s.table.take(x, outcome, s.now)
	return s.show(s.table.step(s.record, s.now))
}

// settle ends a delegation: parts are the included indexes with their seals, ran
// those that are missing with the number of servers that may have run them.
func (s *script) settle(t *testing.T, d *datadriven.TestData) string {
	x := s.delegations[int(props.Number(t, d, "x"))]
	var (
		c   Collected
		err error
	)
	if d.HasArg("failed") {
		err = fault.New(fault.ParseVerdict(props.Text(t, d, "failed")), fault.ReasonConnection, "no answer")
	}
	for _, p := range split(argument(d, "parts")) {
		index, seal, _ := strings.Cut(p, ":")
		n, _ := strconv.Atoi(index)
		c.Parts = append(c.Parts, CollectedPart{Service: n, Seal: seal})
	}
	for _, p := range split(argument(d, "ran")) {
		index, ran, _ := strings.Cut(p, ":")
		n, _ := strconv.Atoi(index)
		count, _ := strconv.Atoi(ran)
		c.Missing = append(c.Missing, MissingPart{Service: n, Ran: count})
	}
	if d.HasArg("token") {
		c.Token = uint64(props.Number(t, d, "token"))
	}
	c.Records = []byte(argument(d, "records"))
	s.table.settle(x, c, err, s.now)
	return s.show(s.table.step(s.record, s.now))
}

func (s *script) hand() string {
	c := s.table.handOut(s.record)
	var b strings.Builder
	for _, p := range c.Parts {
		_, _ = fmt.Fprintf(&b, "part %d %s\n", p.Service, p.Seal)
	}
	for _, m := range c.Missing {
		_, _ = fmt.Fprintf(&b, "missing %d ran=%d\n", m.Service, m.Ran)
	}
	_, _ = fmt.Fprintf(&b, "records %q\n", c.Records)
	return b.String()
}

// budget earns ordinary requests of a service, then spends until the limit.
func (s *script) budget(t *testing.T, d *datadriven.TestData) string {
	b := s.table.budget(props.Text(t, d, "service"))
	for range int(props.Number(t, d, "earn")) {
		b.earn(s.now, s.table.limits)
	}
	spent := 0
	for b.spend(s.now, s.table.limits, int(props.Number(t, d, "hosts"))) {
		spent++
	}
	return fmt.Sprintf("spent %d", spent)
}

func (s *script) show(e effects) string {
	var b strings.Builder
	for _, x := range e.send {
		_, _ = fmt.Fprintf(&b, "send %d: %s to %s", len(s.exchanges), s.record.parts[x.part].service, x.order.Choice.ID)
		if x.hedge {
			b.WriteString(" hedge")
		}
		if x.order.Fresh {
			b.WriteString(" fresh")
		}
		b.WriteString("\n")
		s.exchanges = append(s.exchanges, x)
	}
	for _, x := range e.collect {
		_, _ = fmt.Fprintf(&b, "collect %d: %s asks for %v\n", len(s.delegations), x.helper, s.names(x))
		s.delegations = append(s.delegations, x)
	}
	for _, x := range e.rest {
		_, _ = fmt.Fprintf(&b, "rest: %s\n", x.helper)
	}
	switch r := e.result.(type) {
	case nil:
		_, _ = fmt.Fprintf(&b, "next %s\n", e.next.Sub(s.start))
	case Whole:
		_, _ = fmt.Fprintf(&b, "whole %d %q\n", r.Answer.Status, r.Answer.Seal)
	case Merged:
		_, _ = fmt.Fprintf(&b, "merged %q seals=%v missing=%d\n", r.Records, r.Seals, r.Missing)
	case Declined:
		_, _ = fmt.Fprintf(&b, "declined %s %s after %s\n", r.Err.Verdict, r.Err.Reason, r.Err.RetryAfter)
	}
	return b.String()
}

func (s *script) names(x *delegation) []string {
	var list []string
	for _, i := range x.parts {
		list = append(list, s.record.parts[i].service)
	}
	return list
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, "+")
}

func argument(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return ""
}
