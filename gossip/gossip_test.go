package gossip

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hyssophub/store"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts in testdata against a Table. Their comments name the
// failures that they guard against: dead hosts that count as live or live ones as
// dead, too few watchers of the store, and zones wrongly considered unreachable.
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
	start time.Time
	now   time.Time
	table *Table
	out   strings.Builder
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		if a.Key == "at" {
			s.now = s.start.Add(duration(t, a.Vals[0]))
		}
	}
	switch d.Cmd {
	case "self":
		s.now = s.start
		s.table = NewTable(Host{Name: "m", Zone: "a", Weight: 400}, s.now)
	case "receive":
		// The first line is the sender. The other lines are the hosts that the
		// heartbeat carries.
		var hb Heartbeat
		for i, line := range strings.Split(d.Input, "\n") {
			r := s.record(t, line)
			if i == 0 {
				hb.Sender = r
			} else {
				hb.Others = append(hb.Others, r)
			}
		}
		reply := s.table.Receive(hb, s.now)
		if len(reply.To) > 0 {
			return fmt.Sprintf("reply to %s with %v", reply.To[0], names(reply.Heartbeat.Others))
		}
	case "speed":
		for _, a := range d.CmdArgs {
			weight, changed := s.table.RecordSpeed(duration(t, a.Key))
			if changed {
				_, _ = fmt.Fprintf(&s.out, "weight %d\n", weight)
			}
		}
		defer s.out.Reset()
		return s.out.String()
	case "zone-failure":
		for range 4 {
			s.table.RecordZoneFailure(d.CmdArgs[0].Key, s.now)
		}
		return s.reachability()
	case "zone-success":
		s.table.RecordZoneSuccess(d.CmdArgs[0].Key, s.now)
		return s.reachability()
	case "reachability":
		return s.reachability()
	case "suspect":
		s.table.Suspect(d.CmdArgs[0].Key, s.now)
	case "clear-suspect":
		s.table.ClearSuspect(d.CmdArgs[0].Key)
	case "discovery":
		return s.showDiscovery()
	case "watches":
		s.table.UpdateSelf(func(r *Record) { r.Watching, r.StoreContact = true, s.now })
		return s.showDiscovery()
	case "announced":
		s.table.RecordAnnounced(s.now)
		return s.showDiscovery()
	case "expire":
		s.table.Expire(s.now)
		return s.showDiscovery()
	case "store":
		return s.showStore()
	case "answered":
		s.table.UpdateSelf(func(r *Record) { r.StoreContact = s.now })
		return s.showStore()
	case "applied":
		position := parsePosition(d.CmdArgs[0].Key)
		s.table.UpdateSelf(func(r *Record) { r.Position = position })
	}
	return s.show()
}

func (s *script) showDiscovery() string {
	return fmt.Sprintf("found %t, announce %t", s.table.HasFoundTier(s.now), s.table.ShouldAnnounce(s.now))
}

// storeSilence is the time without an answer that is an outage in the scripts.
const storeSilence = 2400 * time.Millisecond

// showStore renders what is known of the store, in times since the start.
func (s *script) showStore() string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return at.Sub(s.start).String()
	}
	return fmt.Sprintf("answered %s, failing %t, returned %s", since(s.table.LastContact()), s.table.IsStoreFailing(), since(s.table.StoreReturned(storeSilence)))
}

func (s *script) reachability() string {
	return fmt.Sprintf("unreachable %v, isolated %t", s.table.UnreachableZones(s.now), s.table.IsIsolated(s.now))
}

// record reads "name zone field=value ...". age and contact are durations before
// the present time.
func (s *script) record(t *testing.T, line string) Record {
	fields := strings.Fields(line)
	r := Record{Host: Host{Name: fields[0], Zone: fields[1], Address: fields[0]}, LastSeen: s.now}
	for _, field := range fields[2:] {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "age":
			r.LastSeen = s.now.Add(-duration(t, value))
		case "contact":
			r.StoreContact = s.now.Add(-duration(t, value))
			r.Watching = true
		case "joined":
			r.Joined = true
		case "failing":
			r.StoreFailing = true
		case "returned":
			r.StoreReturned = s.now.Add(-duration(t, value))
		case "revision":
			r.Position = parsePosition(value)
		case "incarnation":
			r.Incarnation, _ = strconv.ParseUint(value, 10, 64)
		case "beat":
			r.HeartbeatAddress = value
		case "leaving":
			r.Leaving = true
		case "joining":
			r.Joining = true
		}
	}
	return r
}

// parsePosition reads a position in the format REVISION or ERA.REVISION.
func parsePosition(text string) store.Position {
	var p store.Position
	if _, err := fmt.Sscanf(text, "%d.%d", &p.Era, &p.Revision); err != nil {
		p = store.Position{}
		p.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	return p
}

// names returns the names of hosts in alphabetical order.
func names(records []Record) []string {
	var list []string
	for _, r := range records {
		list = append(list, r.Name)
	}
	slices.Sort(list)
	return list
}

func (s *script) show() string {
	total, inZone := s.table.Counts(s.now)
	var available []string
	for _, zone := range []string{"a", "b", "c"} {
		for _, h := range s.table.AvailableHosts(zone, s.now) {
			available = append(available, h.Name)
		}
	}
	newest, ok := s.table.NewestHost(s.now)
	if !ok {
		newest.Name = "none"
	}
	return fmt.Sprintf("live %d, in zone %d, available %v, watch %t, newest %s", total, inZone, available, s.table.ShouldWatch(s.now), newest.Name)
}

func duration(t *testing.T, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDiscovery guards against hosts that never find the hosts of their own zone
// because they start with only a seed in another zone. This happens if a heartbeat
// carries no hosts of the zone that it is sent to.
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
		now = now.Add(heartbeatInterval)
		for _, table := range tables {
			for _, m := range table.NextRound(now, []string{"0-00"}) {
				for _, to := range m.To {
					reply := tables[to].Receive(m.Heartbeat, now)
					for _, newcomer := range reply.To {
						tables[newcomer].Receive(reply.Heartbeat, now)
					}
				}
			}
			table.Expire(now)
		}
	}
	for name, table := range tables {
		total, inZone := table.Counts(now)
		if inZone != perZone || total < zones*perZone*9/10 {
			t.Fatalf("host %s found %d hosts, %d of %d in its zone", name, total, inZone, perZone)
		}
	}
}
