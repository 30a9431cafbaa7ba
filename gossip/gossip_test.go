package gossip

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards the view of live hosts against the failures that the
// comments in the scripts name.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type script struct {
	start time.Time
	now   time.Time
	table *Table
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		if a.Key == "at" {
			s.now = s.start.Add(span(t, a.Vals[0]))
		}
	}
	switch d.Cmd {
	case "self":
		s.now = s.start
		s.table = NewTable(Host{Name: "m", Zone: "a"}, s.now)
	case "hear":
		// The first line is the sender, the others are hosts that it names.
		var p Heartbeat
		for i, line := range strings.Split(d.Input, "\n") {
			e := s.entry(t, line)
			if i == 0 {
				p.Sender = e
			} else {
				p.Others = append(p.Others, e)
			}
		}
		s.table.Receive(p, s.now)
	case "missed":
		for range 4 {
			s.table.RecordZoneFailure(d.CmdArgs[0].Key, s.now)
		}
		return s.ways()
	case "reached":
		s.table.RecordZoneSuccess(d.CmdArgs[0].Key, s.now)
		return s.ways()
	case "ways":
		return s.ways()
	case "suspect":
		s.table.Suspect(d.CmdArgs[0].Key, s.now)
	case "trust":
		s.table.ClearSuspect(d.CmdArgs[0].Key)
	case "applied":
		revision, _ := strconv.ParseUint(d.CmdArgs[0].Key, 10, 64)
		s.table.UpdateSelf(func(e *Record) { e.Revision = revision })
	}
	return s.show()
}

func (s *script) ways() string {
	return fmt.Sprintf("cut %v, isolated %t", s.table.UnreachableZones(s.now), s.table.IsIsolated(s.now))
}

// entry reads "name zone field=value ...": age and contact are times ago.
func (s *script) entry(t *testing.T, line string) Record {
	fields := strings.Fields(line)
	e := Record{Host: Host{Name: fields[0], Zone: fields[1], Address: fields[0]}, LastSeen: s.now}
	for _, field := range fields[2:] {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "age":
			e.LastSeen = s.now.Add(-span(t, value))
		case "contact":
			e.StoreContact = s.now.Add(-span(t, value))
			e.Watching = true
		case "revision":
			e.Revision, _ = strconv.ParseUint(value, 10, 64)
		case "incarnation":
			e.Incarnation, _ = strconv.ParseUint(value, 10, 64)
		case "leaving":
			e.Leaving = true
		}
	}
	return e
}

func (s *script) show() string {
	all, near := s.table.Counts(s.now)
	var helpers []string
	for _, zone := range []string{"a", "b", "c"} {
		for _, h := range s.table.AvailableHosts(zone, s.now) {
			helpers = append(helpers, h.Name)
		}
	}
	newest, ok := s.table.NewestHost(s.now)
	if !ok {
		newest.Name = "none"
	}
	return fmt.Sprintf("live %d, near %d, helpers %v, watch %t, newest %s", all, near, helpers, s.table.ShouldWatch(s.now), newest.Name)
}

func span(t *testing.T, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDiscovery guards the way in which hosts that know only a seed in another
// zone find their neighbours: heartbeats that name only hosts of the other side
// would leave them alone.
func TestDiscovery(t *testing.T) {
	const zones, perZone, rounds = 4, 17, 60
	now := time.Unix(1000, 0)
	tables := make(map[string]*Table)
	for z := range zones {
		for i := range perZone {
			name := fmt.Sprintf("%d-%02d", z, i)
			tables[name] = NewTable(Host{Name: name, Zone: strconv.Itoa(z), HeartbeatAddress: name}, now)
		}
	}
	for range rounds {
		now = now.Add(250 * time.Millisecond)
		for _, table := range tables {
			near, away := table.NextHeartbeats(now, 1)
			for _, m := range []Datagram{near, away, {Heartbeat: away.Heartbeat, To: []string{"0-00"}}} {
				for _, to := range m.To {
					tables[to].Receive(m.Heartbeat, now)
				}
			}
		}
	}
	for name, table := range tables {
		all, near := table.Counts(now)
		if near != perZone || all < zones*perZone*9/10 {
			t.Fatalf("host %s knows %d hosts, %d of %d in its zone", name, all, near, perZone)
		}
	}
}
