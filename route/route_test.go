package route

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/props"
	"hyssophub/shard"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// TestScripts runs the scripts in testdata. They guard the choice of snapshots
// and replicas, the hedge delay and the budgets against the failures named in
// the comments of the scripts.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{start: time.Unix(0, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script drives a table for a host in zone a. All its services belong to tenant t.
type script struct {
	table *Table
	view  *config.View
	start time.Time
	now   time.Time
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "service":
		s.service(t, d)
	case "zone-out":
		value := s.view.Value
		value.ZonesOut = []string{props.Text(t, d, "zone")}
		s.view = config.NewView(value)
	case "at":
		s.now = s.start.Add(props.Duration(t, d, "time"))
	case "catalog":
		s.table.UpdateCatalogs([]shard.Catalog{catalog(t, d)})
	case "remove-version":
		s.table.RemoveVersion(props.Text(t, d, "server"), shard.Version(number(t, d, "version")))
	case "result":
		s.table.Observe(result(t, d), s.now)
	case "zone-local":
		s.table.SetZoneLocal(!d.HasArg("end"))
	case "owner":
		s.table.SetOwner(props.Text(t, d, "server"), props.Text(t, d, "owner"))
	case "overdue":
		s.table.RecordOverdue(props.Text(t, d, "server"), props.Duration(t, d, "age"), s.now)
	case "snapshot":
		version, ok := s.table.Snapshot(s.view, s.view.TenantServices("t"), s.now)
		return fmt.Sprintf("%d %t", version, ok)
	case "choose":
		return s.choose(t, d)
	case "hedge-delay":
		return s.table.HedgeDelay(s.view, &s.view.Value.Manifest.Services[0], shard.Urgent).String()
	case "credit":
		s.table.CreditBudgets(shard.Urgent, int(number(t, d, "n")))
	case "spend":
		return s.spend(t, d)
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// service adds a service. The first one creates the table.
func (s *script) service(t *testing.T, d *datadriven.TestData) {
	service := config.Service{
		Name: props.Text(t, d, "name"), Tenant: "t", Slots: 2, Shards: strings.Split(props.Text(t, d, "shards"), "+"),
	}
	for _, placed := range strings.Split(props.Text(t, d, "servers"), "+") {
		name, zone, _ := strings.Cut(placed, "@")
		service.Servers = append(service.Servers, config.Server{Name: name, Zone: zone})
	}
	if s.table == nil {
		s.table = NewTable("a")
		s.table.rng = rand.New(rand.NewPCG(1, 1))
		s.view = config.NewView(config.Value{Manifest: config.Manifest{
			Network: config.Network{Zone: time.Millisecond},
			Tenants: []config.Tenant{{Name: "t"}},
		}})
		s.now = s.start
	}
	value := s.view.Value
	value.Manifest.Services = append(value.Manifest.Services, service)
	s.view = config.NewView(value)
}

// choose counts the picks of n choices. Each pick ends at once unless the
// argument keep is given.
func (s *script) choose(t *testing.T, d *datadriven.TestData) string {
	criteria := Criteria{
		Service:  &s.view.Value.Manifest.Services[0],
		Version:  shard.Version(number(t, d, "version")),
		Shards:   strings.Split(props.Text(t, d, "shards"), "+"),
		FreeSlot: d.HasArg("free-slot"),
	}
	if d.HasArg("excluded") {
		criteria.Excluded = strings.Split(props.Text(t, d, "excluded"), "+")
	}
	counts := make(map[string]int)
	var order []string
	for range number(t, d, "n") {
		picks, missing := s.table.Choose(s.view, criteria, s.now, nil)
		for _, p := range picks {
			if !d.HasArg("keep") {
				s.table.Done(p.Server)
			}
			key := p.Server + " " + strings.Join(p.Shards, "+")
			if p.Probe {
				key += " probe"
			}
			order = appendNew(order, counts, key)
		}
		if len(missing) > 0 {
			order = appendNew(order, counts, "missing "+strings.Join(missing, "+"))
		}
	}
	var out strings.Builder
	for _, o := range order {
		fmt.Fprintf(&out, "%s: %d\n", o, counts[o])
	}
	return out.String()
}

func appendNew(order []string, counts map[string]int, key string) []string {
	counts[key]++
	if counts[key] > 1 {
		return order
	}
	return append(order, key)
}

func (s *script) spend(t *testing.T, d *datadriven.TestData) string {
	class := shard.Urgent
	if d.HasArg("routine") {
		class = shard.Routine
	}
	granted := 0
	for range number(t, d, "n") {
		if s.table.SpendHedge(class, 1) {
			granted++
		}
	}
	return fmt.Sprintf("granted %d", granted)
}

func catalog(t *testing.T, d *datadriven.TestData) shard.Catalog {
	c := shard.Catalog{Server: props.Text(t, d, "server")}
	for _, line := range strings.Split(d.Input, "\n") {
		var (
			version     shard.Version
			all, shards string
		)
		if _, err := fmt.Sscan(line, &version, &all, &shards); err != nil {
			d.Fatalf(t, "%v", err)
		}
		c.Versions = append(c.Versions, shard.VersionShards{Version: version, All: strings.Split(all, "+"), Shards: strings.Split(shards, "+")})
	}
	return c
}

func result(t *testing.T, d *datadriven.TestData) shard.Result {
	server := props.Text(t, d, "server")
	r := shard.Result{Server: server, Outcome: shard.Answered{}, Stats: shard.ServerStats{Server: server, Usable: true, Free: 2}}
	if d.HasArg("took") {
		r.Took = props.Duration(t, d, "took")
	}
	if d.HasArg("latency") {
		r.Stats.MedianLatency = props.Duration(t, d, "latency")
		r.Stats.TailLatency = 2 * r.Stats.MedianLatency
	}
	if d.HasArg("busy") {
		r.Stats.Busy = int(number(t, d, "busy"))
		r.Stats.Free = max(0, 2-r.Stats.Busy)
	}
	if d.HasArg("refused") {
		r.Outcome = shard.Refused{Reason: fault.Reason(props.Text(t, d, "refused"))}
		r.Stats.Usable = props.Text(t, d, "refused") != string(fault.ReasonDraining)
	}
	return r
}

func number(t *testing.T, d *datadriven.TestData, key string) (n uint64) {
	d.ScanArgs(t, key, &n)
	return n
}
