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

	"hyssophub/canary"
	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/props"
	"hyssophub/rules"
	"hyssophub/store"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// TestScripts runs the scripts in testdata against the decisions of a Table.
// The comments in each script name the failures that it guards against.
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
	bounds      *flow.Table
	hosts       *gossip.Table
	table       *Table
	rollouts    *canary.Table
	routing     *rules.Table
	set         rules.Set
	revision    uint64
	state       *requestState
	exchanges   []*exchange
	delegations []*delegation
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = s.start.Add(props.Duration(t, d, "at"))
	}
	switch d.Cmd {
	case "host":
		s.host(t, d)
	case "servers":
		s.servers(d)
	case "drain":
		s.drain(t, d)
	case "limit":
		s.limit(t, d)
	case "notice":
		s.notice(t, d)
	case "zone-out":
		s.routing.SetZoneOut(props.Text(t, d, "zone"), true)
	case "begin":
		return s.begin(t, d)
	case "step":
		return s.show(s.table.step(s.state, s.now))
	case "outcome":
		return s.outcome(t, d)
	case "partial-result":
		return s.partialResult(t, d)
	case "report":
		return s.report()
	case "margins":
		var b strings.Builder
		for _, x := range s.delegations {
			_, _ = fmt.Fprintf(&b, "%s answers %s before this host\n", x.helper, x.margin)
		}
		return b.String()
	case "cut-off":
		s.hosts.RecordZoneSuccess(props.Text(t, d, "zone"), s.now.Add(-time.Minute))
		for range 10 {
			s.hosts.RecordZoneFailure(props.Text(t, d, "zone"), s.now)
		}
		s.fleet.SetUnreachable(s.hosts.UnreachableZones(s.now))
		if view := s.routing.View(); view != nil {
			return fmt.Sprintf("can serve %t", s.table.CanServe(view, s.now))
		}
	case "share":
		s.hearHosts(d)
		s.table.UpdatePlacement(s.hosts.Known(s.now), s.now)
		return fmt.Sprintf("%.3f", s.table.share(s.state, props.Text(t, d, "service"), s.now))
	case "cancelled":
		var list []string
		for _, x := range s.exchanges {
			if x.ctx.Err() != nil && x.state == s.state {
				list = append(list, x.request.Choice.ID)
			}
		}
		return fmt.Sprint(list)
	case "budget":
		return s.budget(t, d)
	case "order":
		s.order(t, d)
	case "counts":
		if d.HasArg("n") {
			for range int(props.Number(t, d, "n")) {
				s.begin(t, d)
			}
		}
		return s.counts()
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// host creates the tables of a host in a zone. The input lists the other hosts
// of the system as name@zone.
func (s *script) host(t *testing.T, d *datadriven.TestData) {
	s.now = s.start
	s.bounds = flow.NewTable("self", s.start)
	s.fleet = fleet.NewTable(props.Text(t, d, "zone"), s.bounds)
	s.fleet.SetHosts(1)
	weight := 400
	if d.HasArg("weight") {
		weight = int(props.Number(t, d, "weight"))
	}
	s.hosts = gossip.NewTable(gossip.Host{Name: "self", Zone: props.Text(t, d, "zone"), Weight: weight}, s.now)
	s.hearHosts(d)
	s.routing, s.rollouts = rules.NewTable(0), nil
	s.table = NewTable(s.routing, s.fleet, s.hosts, BudgetLimits{Ratio: 0.2, Burst: props.Number(t, d, "burst"), Window: 10 * time.Second}, 1)
	s.set = rules.Set{}
}

// servers registers instances. The input lists them as service:id@zone.
func (s *script) servers(d *datadriven.TestData) {
	for _, line := range strings.Fields(d.Input) {
		service, rest, _ := strings.Cut(line, ":")
		id, place, _ := strings.Cut(rest, "@")
		zone, version, _ := strings.Cut(place, "/")
		s.revision++
		s.fleet.Register(fleet.Instance{ID: id, Service: service, Zone: zone, Version: version, Address: id, Slots: 2, State: fleet.Ready{}, Position: store.Position{Revision: s.revision}}, s.now)
	}
}

func (s *script) drain(t *testing.T, d *datadriven.TestData) {
	for _, i := range s.fleet.Instances() {
		if i.ID == props.Text(t, d, "id") {
			s.revision++
			i.State, i.Position.Revision = fleet.Draining{}, s.revision
			s.fleet.Register(i, s.now)
		}
	}
}

// order begins a roll-out, or ends it with a verdict.
func (s *script) order(t *testing.T, d *datadriven.TestData) {
	if s.rollouts == nil {
		s.rollouts = canary.NewTable("self", "a", 1, s.fleet)
		s.table.UseRollouts(s.rollouts)
	}
	s.revision++
	service, target := props.Text(t, d, "service"), props.Text(t, d, "target")
	if d.HasArg("complete") {
		s.rollouts.SetStatus(canary.Status{Service: service, Target: target, Stage: canary.Complete{}, Revision: s.revision}, s.now)
		return
	}
	s.rollouts.SetOrder(canary.Order{Service: service, Target: target, Duration: time.Minute, Revision: s.revision}, s.now)
}

// counts shows what the roll-outs counted.
func (s *script) counts() string {
	var b strings.Builder
	for _, r := range s.rollouts.Summaries(s.now) {
		_, _ = fmt.Fprintf(&b, "%s: sent %d, %d to the target, %d bad\n", r.Order.Service, r.Sent, r.SentTarget, r.Bad)
	}
	return b.String()
}

// notice makes an instance say in an answer that it leaves or wants a pause.
func (s *script) notice(t *testing.T, d *datadriven.TestData) {
	n := flow.Notice{Leaving: d.HasArg("leaving")}
	if d.HasArg("pause") {
		n.Pause = props.Duration(t, d, "pause")
	}
	for _, i := range s.fleet.Instances() {
		if i.ID == props.Text(t, d, "id") {
			s.fleet.Learn(fleet.Choice{Instance: i}, n, s.now, s.now)
		}
	}
}

// limit makes an instance name a rate limit, of which this host has no permit, and the
// owner of the limit say when there is one.
func (s *script) limit(t *testing.T, d *datadriven.TestData) {
	for _, i := range s.fleet.Instances() {
		if i.ID != props.Text(t, d, "id") {
			continue
		}
		s.bounds.SetMembers([]flow.Member{{Name: "owner", Zone: i.Zone, Address: "owner", Live: true, Joined: true}}, s.now)
		s.fleet.Learn(fleet.Choice{Instance: i}, flow.Notice{Limited: true, Rate: 1}, s.now, s.now)
		s.bounds.Want(flow.Server{ID: i.ID, StartMs: i.StartMs}, false, s.now)
		batches, _ := s.bounds.Asks(s.now)
		for _, b := range batches {
			for _, a := range b.Asks {
				s.bounds.Accept(b.Number, []flow.Grant{{Server: a.Server, Limit: a.Limit, Wait: props.Duration(t, d, "wait")}}, s.now)
			}
		}
	}
}

// begin begins a request, which arrived earlier by late.
func (s *script) begin(t *testing.T, d *datadriven.TestData) string {
	services := strings.Split(props.Text(t, d, "services"), "+")
	route := rules.Route{
		Name:          "r",
		Prefix:        "/",
		Target:        rules.Single{Service: services[0]},
		RetryPolicy:   rules.Idempotent{},
		TargetLatency: props.Duration(t, d, "goal"),
		MaxAttempts:   2,
	}
	if d.HasArg("at-most-once") {
		route.RetryPolicy = rules.AtMostOnce{}
	}
	if d.HasArg("top") {
		route.Target = rules.Gather{Services: services, TopK: int(props.Number(t, d, "top")), MinShare: props.Number(t, d, "min")}
	}
	s.set.Version++
	s.set.Routes = []rules.Route{route}
	s.routing.Apply(s.set)
	view := s.routing.View()
	arrived := s.now
	if d.HasArg("late") {
		arrived = arrived.Add(-props.Duration(t, d, "late"))
	}
	message := &Message{ID: "id"}
	if d.HasArg("body") {
		message.Body = make([]byte, int(props.Number(t, d, "body")))
	}
	e := &Engine{rules: s.routing, table: s.table, ctx: context.Background()}
	s.state = e.newRequestState(context.Background(), Request{
		Message:  message,
		View:     view,
		Route:    &view.Set.Routes[0],
		Arrived:  arrived,
		Deadline: s.now.Add(props.Duration(t, d, "deadline")),
	})
	s.state.collecting = d.HasArg("collecting") || d.HasArg("spread")
	s.state.spread = d.HasArg("spread")
	s.exchanges, s.delegations = nil, nil
	return s.show(s.table.begin(s.state, s.now))
}

func (s *script) outcome(t *testing.T, d *datadriven.TestData) string {
	x := s.exchanges[int(props.Number(t, d, "x"))]
	var outcome Outcome
	switch {
	case d.HasArg("answered"):
		outcome = Answered{Status: int(props.Number(t, d, "answered")), Seal: argument(d, "seal"), Body: []byte(argument(d, "body")), Unframed: d.HasArg("unframed")}
	case d.HasArg("refused"):
		outcome = Refused{Reason: fault.Reason(props.Text(t, d, "refused"))}
	default:
		outcome = Failed{Verdict: fault.ParseVerdict(props.Text(t, d, "failed")), Reason: fault.ReasonConnection}
	}
	s.table.recordOutcome(x, outcome, s.now)
	return s.show(s.table.step(s.state, s.now))
}

// partialResult records the result of a call to a helper. parts lists the
// answered parts as index:seal, and missing the others as index:n, where n is
// the number of servers that may have run the part.
func (s *script) partialResult(t *testing.T, d *datadriven.TestData) string {
	x := s.delegations[int(props.Number(t, d, "x"))]
	var (
		c   PartialResult
		err error
	)
	if d.HasArg("failed") {
		err = fault.New(fault.ParseVerdict(props.Text(t, d, "failed")), fault.ReasonConnection, "no answer")
	}
	for _, p := range split(argument(d, "parts")) {
		index, seal, _ := strings.Cut(p, ":")
		n, _ := strconv.Atoi(index)
		c.Parts = append(c.Parts, CollectedPart{Index: n, Seal: seal})
	}
	for _, p := range split(argument(d, "missing")) {
		index, runs, _ := strings.Cut(p, ":")
		n, _ := strconv.Atoi(index)
		count, _ := strconv.Atoi(runs)
		c.Missing = append(c.Missing, MissingPart{Index: n, PossibleRuns: count})
	}
	if d.HasArg("token") {
		c.Token = uint64(props.Number(t, d, "token"))
	}
	c.Records = []byte(argument(d, "records"))
	s.table.recordPartialResult(x, c, err, s.now)
	return s.show(s.table.step(s.state, s.now))
}

func (s *script) report() string {
	c := s.table.nextPartialResult(s.state)
	var b strings.Builder
	for _, p := range c.Parts {
		_, _ = fmt.Fprintf(&b, "part %d %s\n", p.Index, p.Seal)
	}
	for _, m := range c.Missing {
		_, _ = fmt.Fprintf(&b, "missing %d possible-runs=%d\n", m.Index, m.PossibleRuns)
	}
	_, _ = fmt.Fprintf(&b, "records %q\n", c.Records)
	return b.String()
}

// budget counts ordinary requests of a service, then spends until the limit.
func (s *script) budget(t *testing.T, d *datadriven.TestData) string {
	b := s.table.budget(props.Text(t, d, "service"))
	for range int(props.Number(t, d, "ordinary")) {
		b.countOrdinary(s.now, s.table.limits)
	}
	spent := 0
	for b.spend(s.now, s.table.limits, 1/props.Number(t, d, "hosts")) {
		spent++
	}
	return fmt.Sprintf("spent %d", spent)
}

// hearHosts receives a heartbeat of each host of the input.
func (s *script) hearHosts(d *datadriven.TestData) {
	for _, line := range strings.Fields(d.Input) {
		name, zone, _ := strings.Cut(line, "@")
		host := gossip.Host{Name: name, Zone: zone, Address: name, Weight: 400}
		s.hosts.Receive(gossip.Heartbeat{Sender: gossip.Record{Host: host, LastSeen: s.now}}, s.now)
	}
}

func (s *script) show(a actions) string {
	var b strings.Builder
	for _, x := range a.send {
		_, _ = fmt.Fprintf(&b, "send %d: %s to %s", len(s.exchanges), s.state.parts[x.part].service, x.request.Choice.ID)
		if x.hedge {
			b.WriteString(" hedge")
		}
		if x.request.Fresh {
			b.WriteString(" fresh")
		}
		if x.request.Again {
			b.WriteString(" again")
		}
		b.WriteString("\n")
		s.exchanges = append(s.exchanges, x)
	}
	for _, x := range a.collect {
		_, _ = fmt.Fprintf(&b, "collect %d: %s asks for %v\n", len(s.delegations), x.helper, s.services(x))
		s.delegations = append(s.delegations, x)
	}
	for _, x := range a.collectMore {
		_, _ = fmt.Fprintf(&b, "collect more: %s\n", x.helper)
	}
	switch r := a.result.(type) {
	case nil:
		_, _ = fmt.Fprintf(&b, "wake at %s\n", a.wakeAt.Sub(s.start))
	case Forwarded:
		_, _ = fmt.Fprintf(&b, "forwarded %d %q\n", r.Answer.Status, r.Answer.Seal)
	case Merged:
		_, _ = fmt.Fprintf(&b, "merged %q seals=%v missing=%d\n", r.Records, r.Seals, r.Missing)
	case Declined:
		_, _ = fmt.Fprintf(&b, "declined %s %s after %s\n", r.Err.Verdict, r.Err.Reason, r.Err.RetryAfter)
	}
	return b.String()
}

func (s *script) services(x *delegation) []string {
	var list []string
	for _, i := range x.parts {
		list = append(list, s.state.parts[i].service)
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
