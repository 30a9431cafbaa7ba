package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// script runs the commands of a data file on one table at a clock that only
// the files move.
type script struct {
	table   *Table
	service *config.Service
	now     time.Time
	subs    map[uint64]shard.Sub
}

// TestScripts guards the decisions of admission, ramp, cold detection,
// reservation, draining and handover.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{service: testService("entries", 2), now: epoch, subs: make(map[uint64]shard.Sub)}
		s.table = NewTable(func(server string, _ time.Time) (fault.Reason, bool) {
			return fault.ReasonTerm, !strings.HasSuffix(server, "-lapsed")
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	if d.HasArg("at") {
		s.now = epoch.Add(s.span(t, d, "at"))
	}
	switch d.Cmd {
	case "own":
		takeover := Takeover{Reserve: s.span(t, d, "reserve"), Unconfirmed: d.HasArg("unconfirmed")}
		if d.HasArg("slots") {
			d.ScanArgs(t, "slots", &s.service.Slots)
		}
		s.print(&out, Turn{Settled: s.table.Own(s.placed(d), takeover, s.now)})
	case "adopt":
		state := State{Server: name(d), Latency: s.span(t, d, "latency"), Draining: d.HasArg("draining")}
		if d.HasArg("warm") {
			d.ScanArgs(t, "warm", &state.Warm)
		}
		if d.HasArg("busy") {
			state.Busy = []time.Duration{s.span(t, d, "busy")}
		}
		s.table.Adopt([]State{state}, s.now)
	case "release":
		states, settled := s.table.Release([]string{name(d)}, s.now)
		for _, state := range states {
			fmt.Fprintf(&out, "state warm=%.2f draining=%t busy=%v\n", state.Warm, state.Draining, state.Busy)
		}
		s.print(&out, Turn{Settled: settled})
	case "confirm":
		s.table.Confirm([]string{name(d)})
	case "sub":
		s.submit(t, d, &out)
	case "check":
		var id uint64
		d.ScanArgs(t, "id", &id)
		s.check(&out, s.subs[id])
	case "done":
		s.done(t, d, &out)
	case "wake":
		s.print(&out, s.table.Wake(name(d), s.now))
	case "drain":
		s.print(&out, s.table.Drain(name(d), s.now))
	case "report":
		s.print(&out, s.table.Report(shard.Report{Server: name(d), Draining: d.HasArg("draining")}, s.now))
	case "health":
		health, _ := s.table.Health(name(d))
		fmt.Fprintf(&out, "%s\n", healthName(health))
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return out.String()
}

// submit admits sub-requests ID.. and performs the last check on admitted ones
// unless the argument hold is given.
func (s *script) submit(t *testing.T, d *datadriven.TestData, out *strings.Builder) {
	count, id := 1, uint64(0)
	d.ScanArgs(t, "id", &id)
	if d.HasArg("count") {
		d.ScanArgs(t, "count", &count)
	}
	class := shard.Routine
	if d.HasArg("urgent") {
		class = shard.Urgent
	}
	for range count {
		sub := testSub(id, name(d), class, s.now.Add(s.span(t, d, "left")))
		sub.Hedge = d.HasArg("hedge")
		s.subs[id] = sub
		switch decision := s.table.Admit(sub, s.now).(type) {
		case Dispatch:
			if d.HasArg("hold") {
				fmt.Fprintf(out, "%d admitted\n", id)
			} else {
				s.check(out, sub)
			}
		case Queued:
			fmt.Fprintf(out, "%d queued%s\n", id, s.at(" wake", decision.Wake))
		case Refuse:
			fmt.Fprintf(out, "%d refused %s after=%v\n", id, decision.Reason, decision.RetryAfter)
		}
		id++
	}
}

func (s *script) check(out *strings.Builder, sub shard.Sub) {
	if _, reason, ok := s.table.Check(sub, s.now); !ok {
		fmt.Fprintf(out, "%d stopped %s\n", sub.ID, reason)
		return
	}
	fmt.Fprintf(out, "%d dispatched\n", sub.ID)
}

// done completes a sub-request with an outcome.
func (s *script) done(t *testing.T, d *datadriven.TestData, out *strings.Builder) {
	var id uint64
	d.ScanArgs(t, "id", &id)
	var outcome shard.Outcome = shard.Answered{Draining: d.HasArg("draining")}
	reason := ""
	switch {
	case d.HasArg("refused"):
		d.ScanArgs(t, "refused", &reason)
		outcome = shard.Refused{Reason: fault.Reason(reason)}
	case d.HasArg("failed"):
		d.ScanArgs(t, "failed", &reason)
		outcome = shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.Reason(reason)}
	}
	_, turn := s.table.Complete(s.subs[id], outcome, s.span(t, d, "took"), s.now)
	s.print(out, turn)
}

func (s *script) print(out *strings.Builder, turn Turn) {
	for _, settled := range turn.Settled {
		fmt.Fprintf(out, "%d refused %s\n", settled.Sub.ID, settled.Result.Outcome.(shard.Refused).Reason)
	}
	for _, sub := range turn.Ready {
		s.check(out, sub)
	}
	if turn.Event != nil {
		fmt.Fprintf(out, "event %T\n", turn.Event)
	}
	if !turn.Wake.IsZero() {
		fmt.Fprintf(out, "%s\n", strings.TrimSpace(s.at("wake", turn.Wake)))
	}
}

func (s *script) at(label string, t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return label + " at " + t.Sub(epoch).Round(time.Millisecond).String()
}

func (s *script) span(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	if !d.HasArg(key) {
		return 0
	}
	var text string
	d.ScanArgs(t, key, &text)
	span, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return span
}

func (s *script) placed(d *datadriven.TestData) []config.PlacedServer {
	var list []config.PlacedServer
	for _, arg := range d.CmdArgs {
		if strings.HasPrefix(arg.Key, "s") && arg.Key != "slots" {
			list = append(list, place(s.service, arg.Key))
		}
	}
	return list
}

// name returns the first argument, which is the server's name.
func name(d *datadriven.TestData) string { return d.CmdArgs[0].Key }

func healthName(health Health) string {
	switch h := health.(type) {
	case Warming:
		return fmt.Sprintf("warming %.2f", h.Progress)
	case Draining:
		return "draining"
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", health), "owner."))
	}
}
