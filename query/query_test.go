package query

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/props"
	"hyssophub/route"
	"hyssophub/shard"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// TestScripts runs the scripts in testdata. They guard retries, hedges, reruns and
// coverage of one query against the failures named in the comments of the
// scripts.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script drives a table with one query. Sub-requests are numbered from one in
// the order in which they were sent.
type script struct {
	config *config.Table
	route  *route.Table
	table  *Table
	start  time.Time
	now    time.Time
	query  *queryState
	sent   []shard.SubRequest
	paused effects
}

func newScript() *script {
	s := &script{config: config.NewTable(), route: route.NewTable("a"), start: time.Unix(0, 0)}
	s.now = s.start
	s.table = NewTable(s.config, s.route)
	return s
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "manifest":
		s.config.Accept(config.Value{Revision: 1, Manifest: parseManifest(d.Input)})
	case "catalog":
		s.route.UpdateCatalogs(parseCatalogs(d.Input))
	case "slow-replies":
		s.slowReplies(t, d)
	case "at":
		s.now = s.start.Add(props.Duration(t, d, "time"))
	case "begin":
		services := s.config.View().TenantServices("t")
		s.query = newQueryState(Request{ID: "q", Tenant: "t", Services: services, Limit: 100, Deadline: s.start.Add(500 * time.Millisecond)}, s.now)
		return s.apply(s.table.begin(s.query, s.now))
	case "answer", "refuse", "fail":
		e, _ := s.table.handleResult(s.result(t, d), s.now)
		return s.apply(e)
	case "retry":
		return s.apply(s.table.retryAfterPause(s.query, s.paused.run, s.paused.retries, s.now))
	case "hedge":
		e, next := s.table.hedgeOverdue(s.query, s.now)
		return s.apply(e) + fmt.Sprintf("next %s\n", next)
	case "expire":
		s.table.expire(s.query, s.now)
		s.table.discard(s.query)
		return s.apply(effects{})
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// slowReplies records n replies of a server that took 200 ms, with statistics
// that report a median of 10 ms. Choose is called first, because the route table
// compares replies only within replica sets, which Choose builds.
func (s *script) slowReplies(t *testing.T, d *datadriven.TestData) {
	var n int
	d.ScanArgs(t, "n", &n)
	for _, service := range s.config.View().Value.Manifest.Services {
		_, _ = s.route.Choose(s.config.View(), route.Criteria{Service: &service}, s.now, nil)
	}
	for range n {
		server := props.Text(t, d, "server")
		s.route.Observe(shard.Result{
			Server: server, Outcome: shard.Answered{}, Took: 200 * time.Millisecond,
			Stats: shard.ServerStats{Server: server, MedianLatency: 10 * time.Millisecond, Usable: true, Free: 1},
		}, s.now)
	}
}

// apply prints what a step sends, and the answer once the query has ended.
func (s *script) apply(e effects) string {
	var out strings.Builder
	for _, sub := range e.send {
		s.sent = append(s.sent, sub)
		kind := ""
		if sub.Hedge {
			kind = " hedge"
		}
		fmt.Fprintf(&out, "send %d: %s version %d %s%s\n", len(s.sent), sub.Server, sub.Version, strings.Join(sub.Shards, "+"), kind)
	}
	if len(e.retries) > 0 {
		s.paused = e
		fmt.Fprintf(&out, "retry in %s\n", e.pause)
	}
	if s.query.finished {
		a := s.query.answer
		fmt.Fprintf(&out, "answer: version %d covered %d of %d hits %d extra %d open %d\n",
			a.Snapshot, a.Coverage.Covered, a.Coverage.Total, len(a.Hits), a.Extra, s.table.InProgress())
		for _, m := range a.Coverage.Missing {
			fmt.Fprintf(&out, "missing %s: %s\n", m.Shard, m.Reason)
		}
	}
	return out.String()
}

func (s *script) result(t *testing.T, d *datadriven.TestData) shard.Result {
	var n int
	d.ScanArgs(t, "sub", &n)
	sub := s.sent[n-1]
	r := shard.Result{SubID: sub.ID, Server: sub.Server, Took: 10 * time.Millisecond}
	r.Stats = shard.ServerStats{Server: sub.Server, MedianLatency: 10 * time.Millisecond, TailLatency: 10 * time.Millisecond, Free: 1, Usable: true}
	if d.HasArg("from") {
		d.ScanArgs(t, "from", &r.Server)
	}
	version, shards := sub.Version, sub.Shards
	if d.HasArg("version") {
		var v uint64
		d.ScanArgs(t, "version", &v)
		version = shard.Version(v)
	}
	if d.HasArg("shards") {
		shards = strings.Split(props.Text(t, d, "shards"), "+")
	}
	switch d.Cmd {
	case "answer":
		r.Outcome = answered(version, shards)
	case "refuse":
		r.Outcome = shard.Refused{Reason: fault.Reason(props.Text(t, d, "reason"))}
	case "fail":
		r.Outcome = shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.Reason(props.Text(t, d, "reason"))}
	}
	return r
}

// answered returns an outcome with one hit per shard, whose key is the shard.
func answered(version shard.Version, shards []string) shard.Answered {
	var a shard.Answered
	for _, name := range shards {
		a.Parts = append(a.Parts, shard.PartialAnswer{Version: version, Shard: name, Hits: []shard.Hit{{
			Key: name, Score: 1, Text: fmt.Sprint(version),
		}}})
	}
	return a
}

// parseManifest parses lines of the form "SERVICE SHARD+… SERVER@ZONE+…". The
// tests use a route table for zone a, so that servers in zone a are chosen first.
func parseManifest(input string) config.Manifest {
	m := config.Manifest{Tenants: []config.Tenant{{Name: "t"}}, Network: config.Network{Zone: time.Millisecond}}
	for line := range strings.Lines(input) {
		words := strings.Fields(line)
		s := config.Service{Name: words[0], Tenant: "t", Slots: 2, Shards: strings.Split(words[1], "+")}
		for _, placed := range strings.Split(words[2], "+") {
			name, zone, _ := strings.Cut(placed, "@")
			s.Servers = append(s.Servers, config.Server{Name: name, Zone: zone})
		}
		m.Services = append(m.Services, s)
	}
	return m
}

// parseCatalogs parses lines of the form "SERVER VERSION ALL SHARDS", where ALL is
// the partition map and SHARDS are those that the server holds, separated by "+".
func parseCatalogs(input string) []shard.Catalog {
	var list []shard.Catalog
	for line := range strings.Lines(input) {
		var (
			server, all, shards string
			version             shard.Version
		)
		if _, err := fmt.Sscan(line, &server, &version, &all, &shards); err != nil {
			panic(err)
		}
		versionShards := shard.VersionShards{Version: version, All: strings.Split(all, "+"), Shards: strings.Split(shards, "+")}
		i := slices.IndexFunc(list, func(c shard.Catalog) bool { return c.Server == server })
		if i < 0 {
			i = len(list)
			list = append(list, shard.Catalog{Server: server})
		}
		list[i].Versions = append(list[i].Versions, versionShards)
	}
	return list
}
