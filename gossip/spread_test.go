package gossip

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTiers plays the heartbeats of tiers of the sizes in the script, in virtual time.
func TestTiers(t *testing.T) {
	datadriven.RunTest(t, "tiers/sizes", func(t *testing.T, d *datadriven.TestData) string {
		var zones, hosts, watchers int
		d.ScanArgs(t, "zones", &zones)
		d.ScanArgs(t, "hosts", &hosts)
		d.ScanArgs(t, "watchers", &watchers)
		s := newTier(zones, hosts)
		s.play(settleTime, false)
		s.play(measureTime, true)
		return s.judge(watchers)
	})
}

const (
	// settleTime is the time after which the hosts know each other, and measureTime
	// the time that is measured after it.
	settleTime  = 8 * time.Second
	measureTime = 6 * time.Second
	// lossRate is the share of datagrams that are lost.
	lossRate = 0.01
	// maxDeadShare is the greatest share of live neighbours taken for dead.
	maxDeadShare = 0.005
	// maxControlBytes is the budget of a host for control, in bytes per second, and
	// recordBytes the size of a host in a heartbeat.
	maxControlBytes = 28 << 10
	recordBytes     = 64
)

// tier is a tier of hosts whose heartbeats are played.
type tier struct {
	now    time.Time
	names  []string
	tables map[string]*Table
	next   map[string]time.Time

	// sent counts the bytes that were sent; neighbours and dead count the views of
	// neighbours and those of them that took a live one for dead; watching and
	// miscounted count the hosts that watch the store and that do not count all
	// hosts, over rounds.
	sent, neighbours, dead, watching, miscounted, rounds int
}

func newTier(zones, hosts int) *tier {
	s := &tier{now: time.Unix(1000, 0), tables: make(map[string]*Table), next: make(map[string]time.Time)}
	for z := range zones {
		for i := range hosts {
			name := fmt.Sprintf("%d-%02d", z, i)
			s.names = append(s.names, name)
			s.tables[name] = NewTable(Host{Name: name, Zone: strconv.Itoa(z), HeartbeatAddress: name}, s.now)
			s.next[name] = s.now.Add(rand.N(heartbeatIntervalLarge))
		}
	}
	return s
}

// play plays heartbeats for a time.
func (s *tier) play(duration time.Duration, measured bool) {
	const step = 10 * time.Millisecond
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(step) {
		for _, name := range s.names {
			if s.now.Before(s.next[name]) {
				continue
			}
			table := s.tables[name]
			known := table.Expire(s.now)
			if measured {
				s.measure(table, known)
			}
			s.followStore(table)
			for _, d := range table.NextRound(s.now, []string{"0-00", "1-00", "2-00"}) {
				s.deliver(name, d, measured)
			}
			s.next[name] = s.now.Add(table.Interval(s.now))
		}
	}
}

// followStore lets a host watch the store if it must. The store answers a watch each
// 2.5 s.
func (s *tier) followStore(table *Table) {
	watch := table.ShouldWatch(s.now)
	table.UpdateSelf(func(r *Record) {
		r.Watching = watch
		if watch && s.now.Sub(r.StoreContact) > 2500*time.Millisecond {
			r.StoreContact = s.now
		}
	})
}

func (s *tier) deliver(from string, d Datagram, measured bool) {
	for _, to := range d.To {
		if measured {
			s.sent += (len(d.Heartbeat.Others) + 1) * recordBytes
		}
		if to == from || rand.Float64() < lossRate {
			continue
		}
		reply := s.tables[to].Receive(d.Heartbeat, s.now)
		for _, newcomer := range reply.To {
			s.tables[newcomer].Receive(reply.Heartbeat, s.now)
		}
	}
}

func (s *tier) measure(table *Table, known int) {
	s.rounds++
	if table.IsWatching() {
		s.watching++
	}
	if known != len(s.names) {
		s.miscounted++
	}
	_, live := table.Counts(s.now)
	hosts := len(s.names) / s.zones()
	s.neighbours += hosts - 1
	s.dead += hosts - live
}

func (s *tier) zones() int {
	zones := make(map[string]bool)
	for _, name := range s.names {
		zone, _, _ := strings.Cut(name, "-")
		zones[zone] = true
	}
	return len(zones)
}

// judge returns "ok", or which bounds were exceeded and by which figures.
func (s *tier) judge(maxWatchers int) string {
	var faults []string
	check := func(what string, value, limit float64) {
		if value > limit {
			faults = append(faults, fmt.Sprintf("%s: %.4f, at most %.4f", what, value, limit))
		}
	}
	hosts := float64(len(s.names))
	check("neighbours taken for dead", float64(s.dead)/float64(s.neighbours), maxDeadShare)
	check("watchers of the store", hosts*float64(s.watching)/float64(s.rounds), float64(maxWatchers))
	check("share of wrong counts", float64(s.miscounted)/float64(s.rounds), maxDeadShare)
	check("bytes a second", float64(s.sent)/hosts/measureTime.Seconds(), maxControlBytes)
	if len(faults) == 0 {
		return "ok"
	}
	return strings.Join(faults, "\n")
}
