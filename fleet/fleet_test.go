package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/flow"
	"hyssophub/props"
	"hyssophub/rules"
	"hyssophub/store"
)

// TestScripts runs the scripts in testdata against a Table. Their comments name the
// failures that they guard against: requests to draining, slow, stalled, failing or
// cold backend servers, and needless traffic between availability zones.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script holds the state of one test script.
type script struct {
	start    time.Time
	now      time.Time
	table    *Table
	rules    *rules.Table
	inFlight map[string][]time.Time
	revision uint64
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = s.start.Add(props.Duration(t, d, "at"))
	}
	switch d.Cmd {
	case "table":
		s.now = s.start
		s.table = NewTable(props.Text(t, d, "zone"), flow.NewTable("self", s.start))
		s.table.SetHosts(int(props.Number(t, d, "hosts")))
		s.rules = rules.NewTable(0)
		s.rules.Apply(rules.Set{Version: 1, Services: []rules.Service{{
			Name: "one", MaxConnections: int(props.Number(t, d, "connections")), ColdRate: props.Number(t, d, "cold"), ColdTime: 3 * time.Second,
		}}})
		s.inFlight = make(map[string][]time.Time)
	case "register":
		return s.register(t, d)
	case "remove":
		s.table.Remove(props.Text(t, d, "id"), store.Position{Revision: uint64(props.Number(t, d, "revision"))})
	case "zone-cold":
		s.table.MarkZoneCold(s.rules.View(), props.Text(t, d, "zone"), s.now)
	case "out":
		s.rules.SetZoneOut(props.Text(t, d, "zone"), !d.HasArg("in"))
	case "choose":
		return s.choose(t, d)
	case "zones":
		var zones []string
		for zone := range s.table.ServableByZone(Constraints{View: s.rules.View(), Out: s.rules.View().OutZones}, []string{"one"}, s.now) {
			zones = append(zones, zone)
		}
		slices.Sort(zones)
		return fmt.Sprint(zones)
	case "observe":
		s.observe(t, d)
	case "limit":
		s.limit(t, d)
	case "grant":
		s.grant(t, d)
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// register registers instances, given as id@zone, with an optional state, remaining
// cold time, start time and revision.
func (s *script) register(t *testing.T, d *datadriven.TestData) string {
	for _, field := range strings.Fields(d.Input) {
		id, zone, _ := strings.Cut(field, "@")
		s.revision++
		i := Instance{ID: id, Service: "one", Zone: zone, Address: id, Slots: 2, State: Ready{}, Position: store.Position{Revision: s.revision}}
		if d.HasArg("version") {
			i.Version = props.Text(t, d, "version")
		}
		if d.HasArg("draining") {
			i.State = Draining{}
		}
		if d.HasArg("cold") {
			i.ColdFor = props.Duration(t, d, "cold")
		}
		if d.HasArg("start") {
			i.StartMs = int64(props.Number(t, d, "start"))
		}
		if d.HasArg("revision") {
			i.Position.Revision = uint64(props.Number(t, d, "revision"))
		}
		if d.HasArg("era") {
			i.Position.Era = uint64(props.Number(t, d, "era"))
		}
		s.table.Register(i, s.now)
	}
	return fmt.Sprintf("%d instances", s.table.Size())
}

// choose makes n choices and counts them by instance. With "keep" their exchanges
// stay in progress.
func (s *script) choose(t *testing.T, d *datadriven.TestData) string {
	n := 1
	if d.HasArg("n") {
		n = int(props.Number(t, d, "n"))
	}
	var exclude []string
	if d.HasArg("exclude") {
		exclude = strings.Split(props.Text(t, d, "exclude"), "+")
	}
	versions := make(map[string]Versions)
	if d.HasArg("only") {
		versions["one"] = OnlyVersion{Version: props.Text(t, d, "only")}
	}
	if d.HasArg("denied") {
		versions["one"] = OtherVersions{Denied: strings.Split(props.Text(t, d, "denied"), "+")}
	}
	trial := ""
	if d.HasArg("trial") {
		trial = props.Text(t, d, "trial")
	}
	counts := make(map[string]int)
	for range n {
		c, refusal, ok := s.table.Choose(Constraints{View: s.rules.View(), Out: s.rules.View().OutZones, TargetLatency: 100 * time.Millisecond, Versions: versions, Trial: trial}, "one", exclude, s.now)
		if !ok {
			counts[fmt.Sprintf("none, after %s", refusal.RetryAfter)]++
			continue
		}
		counts[c.ID]++
		if d.HasArg("keep") {
			s.inFlight[c.ID] = append(s.inFlight[c.ID], s.now)
			continue
		}
		s.table.Observe(c.ID, s.now, Abandoned{}, s.now)
	}
	return fmt.Sprint(counts)
}

// observe ends the oldest exchange in progress with an instance.
func (s *script) observe(t *testing.T, d *datadriven.TestData) {
	id := props.Text(t, d, "id")
	began := s.now
	if starts := s.inFlight[id]; len(starts) > 0 {
		began, s.inFlight[id] = starts[0], starts[1:]
	}
	var o Observation
	switch kind := props.Text(t, d, "kind"); kind {
	case "answered":
		o = Answered{Took: props.Duration(t, d, "took")}
	case "shed":
		o = Shed{}
	case "failed":
		o = Failed{}
	case "leaving":
		o = Leaving{}
	case "abandoned":
		o = Abandoned{}
	default:
		d.Fatalf(t, "unknown kind %s", kind)
	}
	s.table.Observe(id, began, o, s.now)
}

// limit makes an instance name a rate limit in an answer, or none if the rate is
// negative.
func (s *script) limit(t *testing.T, d *datadriven.TestData) {
	rate := props.Number(t, d, "rate")
	i := s.instance(props.Text(t, d, "id"))
	s.table.Learn(Choice{Instance: i}, flow.Notice{Limited: rate >= 0, Rate: rate}, s.now, s.now)
}

// grant gives this host permits for each of some instances of a zone, as the host that
// owns their limits does.
func (s *script) grant(t *testing.T, d *datadriven.TestData) {
	ids := strings.Split(props.Text(t, d, "id"), "+")
	s.table.bounds.SetMembers([]flow.Member{{Name: "owner", Zone: "a", Address: "owner", Live: true, Joined: true}}, s.now)
	batches, _ := s.table.bounds.Asks(s.now)
	for _, b := range batches {
		for _, a := range b.Asks {
			if !slices.Contains(ids, a.Server.ID) {
				continue
			}
			grant := flow.Grant{Server: a.Server, Limit: a.Limit, Permits: int(props.Number(t, d, "permits")), Wait: time.Second}
			s.table.bounds.Accept(b.Number, []flow.Grant{grant}, s.now)
		}
	}
}

func (s *script) instance(id string) Instance {
	for _, i := range s.table.Instances() {
		if i.ID == id {
			return i
		}
	}
	return Instance{}
}
