package query

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"hyssophub/config"
	"hyssophub/route"
	"hyssophub/shard"
)

// sizes are the measured numbers of backend servers. Each service has two
// servers, and a query searches at most benchSubs services.
var sizes = []int{110, 440, 1100, 4400}

const benchSubs = 110

// bench is a table for a given number of backend servers, with known catalogs and
// statistics.
type bench struct {
	table    *Table
	route    *route.Table
	view     *config.View
	services []string
	now      time.Time
}

func newBench(servers int) *bench {
	configs, routes := config.NewTable(), route.NewTable("a")
	value := config.Value{Revision: 1, Manifest: config.Manifest{Tenants: []config.Tenant{{Name: "t"}}}}
	b := &bench{route: routes, now: time.Unix(0, 0)}
	for i := range servers / 2 {
		s := config.Service{Name: strconv.Itoa(i), Tenant: "t", Slots: 2}
		s.Shards = []string{s.Name + ".0", s.Name + ".1"}
		for _, zone := range []string{"a", "b"} {
			name := s.Name + zone
			s.Servers = append(s.Servers, config.Server{Name: name, Zone: zone})
			routes.UpdateCatalogs([]shard.Catalog{{Server: name, Versions: []shard.VersionShards{{Version: 1, All: s.Shards, Shards: s.Shards}}}})
			routes.Observe(benchResult(0, name), b.now)
		}
		value.Manifest.Services = append(value.Manifest.Services, s)
		if len(b.services) < benchSubs {
			b.services = append(b.services, s.Name)
		}
	}
	configs.Accept(value)
	b.view = configs.View()
	b.table = NewTable(configs, routes)
	return b
}

func benchResult(sub uint64, server string) shard.Result {
	return shard.Result{
		SubID: sub, Server: server, Outcome: shard.Answered{}, Took: 10 * time.Millisecond,
		Stats: shard.ServerStats{Server: server, MedianLatency: 10 * time.Millisecond, TailLatency: 15 * time.Millisecond, Free: 2, Usable: true},
	}
}

func (b *bench) newQuery() *queryState {
	return newQueryState(Request{ID: "q", Tenant: "t", Services: b.services, Limit: 20, Deadline: b.now.Add(time.Second)}, b.now)
}

// perSub reports the time per sub-request. The allocations are reported per query;
// divided by the metric "subs" they give those per sub-request.
func perSub(b *testing.B, subs int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(subs), "ns/sub")
	b.ReportMetric(float64(subs), "subs")
}

func eachSize(b *testing.B, run func(b *testing.B, f *bench)) {
	for _, n := range sizes {
		f := newBench(n)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, f)
			perSub(b, len(f.services))
		})
	}
}

// BenchmarkChoose measures the choice of a replica for each service.
func BenchmarkChoose(b *testing.B) {
	eachSize(b, func(b *testing.B, f *bench) {
		var picks []route.Pick
		for b.Loop() {
			for _, name := range f.services {
				service, _ := f.view.Service(name)
				picks, _ = f.route.Choose(f.view, route.Criteria{Service: service, Version: 1, Shards: service.Shards}, f.now, picks[:0])
				f.route.Done(picks[0].Server)
			}
		}
	})
}

// BenchmarkPlan measures the planning of a query: the choice of the snapshot and
// of the replicas, and the creation of the sub-requests.
func BenchmarkPlan(b *testing.B) {
	eachSize(b, func(b *testing.B, f *bench) {
		for b.Loop() {
			r := f.newQuery()
			f.table.begin(r, f.now)
			f.table.expire(r, f.now)
			f.table.discard(r)
		}
	})
}

// BenchmarkQuery measures all decisions of a query: plan, one check for
// hedges, results, coverage and merge.
func BenchmarkQuery(b *testing.B) {
	eachSize(b, func(b *testing.B, f *bench) {
		hits := benchParts(1)[0].Hits
		parts := make([]shard.PartialAnswer, 2)
		for b.Loop() {
			r := f.newQuery()
			e := f.table.begin(r, f.now)
			f.table.hedgeOverdue(r, f.now)
			for _, sub := range e.send {
				for i := range parts {
					parts[i] = shard.PartialAnswer{Version: 1, Shard: sub.Shards[i], Hits: hits}
				}
				result := benchResult(sub.ID, sub.Server)
				result.Outcome = shard.Answered{Parts: parts}
				f.table.handleResult(result, f.now)
			}
			if r.answer.Coverage.Ratio() != 1 {
				b.Fatal("not covered")
			}
		}
	})
}

func benchParts(n int) []shard.PartialAnswer {
	parts := make([]shard.PartialAnswer, n)
	for i := range parts {
		for j := range 10 {
			parts[i].Hits = append(parts[i].Hits, shard.Hit{Key: strconv.Itoa(i), Score: float64(100-10*j) + float64(i%7)})
		}
	}
	return parts
}

// BenchmarkMerge compares merging by heap with sorting all hits.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{110, 440, 1100, 4400} {
		parts := benchParts(n)
		b.Run(fmt.Sprintf("heap/parts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Merge(parts, 20)
			}
		})
		b.Run(fmt.Sprintf("sort/parts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				mergeBySort(parts, 20)
			}
		})
	}
}
