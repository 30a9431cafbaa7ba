package flow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/props"
)

// TestSignals runs the scripts in testdata/signals against the table of one host. The comments in
// the scripts name the failures that they guard against: requests to a server that said
// that it leaves or wants none, and servers that get none because of what a former run
// said.
func TestSignals(t *testing.T) {
	datadriven.Walk(t, "testdata/signals", func(t *testing.T, path string) {
		s := &signals{start: time.Unix(1000, 0), now: time.Unix(1000, 0)}
		s.table = NewTable("self", s.start)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type signals struct {
	start time.Time
	now   time.Time
	table *Table
}

func (s *signals) run(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = s.start.Add(props.Duration(t, d, "at"))
	}
	switch d.Cmd {
	case "restart":
		s.table = NewTable("self", s.now)
	case "members":
		var members []Member
		for _, field := range strings.Fields(d.Input) {
			name, zone, _ := strings.Cut(field, "@")
			members = append(members, Member{Name: name, Zone: zone, Address: name, Live: true, Joined: true})
		}
		s.table.SetMembers(members, s.now)
	case "answer":
		return show(s.table.Learn(server(t, d), notice(t, d), s.now, s.now), s.start)
	case "unregistered":
		s.table.Forget(server(t, d).ID)
		s.table.SetMembers(nil, s.now)
	case "told":
		told := Announcement{Relay: d.HasArg("relay")}
		if n := notice(t, d); n.Limited {
			told.Limited = []ServerLimit{{Server: server(t, d), Limit: Limit{Named: true, Rate: n.Rate, SaidAt: s.now}}}
		} else {
			told.Leaving = []Server{server(t, d)}
		}
		relayed, changes := s.table.Tell("other", told, s.now)
		return show(changes, s.start) + showAnnouncements(relayed)
	case "announce":
		return showAnnouncements(s.table.Announcements())
	case "check":
		return check(s.table.Check(server(t, d), s.now), s.now)
	case "counts":
		return fmt.Sprintf("%+v", s.table.Counts(s.now))
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// server returns the server s of zone a, with the start time of the argument run.
func server(t *testing.T, d *datadriven.TestData) Server {
	s := Server{ID: "s", StartMs: 1, Zone: "a"}
	if d.HasArg("run") {
		s.StartMs = int64(props.Number(t, d, "run"))
	}
	return s
}

func notice(t *testing.T, d *datadriven.TestData) Notice {
	n := Notice{Leaving: d.HasArg("leaving")}
	if d.HasArg("pause") {
		n.Pause = props.Duration(t, d, "pause")
	}
	if d.HasArg("limit") {
		n.Limited, n.Rate = true, props.Number(t, d, "limit")
	}
	return n
}

func show(changes []Change, start time.Time) string {
	var b strings.Builder
	for _, c := range changes {
		switch c := c.(type) {
		case LimitNamed:
			_, _ = fmt.Fprintf(&b, "limit %g\n", c.Rate)
		case LimitEnded:
			b.WriteString("limit ended\n")
		case PauseNamed:
			_, _ = fmt.Fprintf(&b, "pause of %s until %s\n", c.Named, c.Until.Sub(start).Round(time.Millisecond))
		case LeavingNamed:
			_, _ = fmt.Fprintf(&b, "leaving %s\n", c.From)
		}
	}
	return b.String()
}

func showAnnouncements(list []Announcement) string {
	var b strings.Builder
	for _, n := range list {
		_, _ = fmt.Fprintf(&b, "tell %d hosts, relay %t\n", len(n.Addresses), n.Relay)
	}
	return b.String()
}

func check(a Admission, now time.Time) string {
	switch a := a.(type) {
	case Closed:
		return "closed for " + a.Until.Sub(now).Round(time.Millisecond).String()
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a), "flow."))
	}
}
