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

// script runs the commands of a data file on one table. Only the commands
// advance the clock.
type script struct {
	table   *Table
	service *config.Service
	now     time.Time
	subs    map[uint64]shard.SubRequest
}

// TestScripts guards against wrong decisions in admission, ramp-up, cold
// detection, slot reservation, draining and handover.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{service: testService("entries", 2), now: startTime, subs: make(map[uint64]shard.SubRequest)}
		s.table = NewTable(func(server string, _ time.Time) (fault.Reason, bool) {
			return fault.ReasonTermLapsed, !strings.HasSuffix(server, "-lapsed")
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	if d.HasArg("at") {
		s.now = startTime.Add(s.duration(t, d, "at"))
	}
	switch d.Cmd {
	case "set-owned":
		takeover := Takeover{ReserveFor: s.duration(t, d, "reserve"), Unconfirmed: d.HasArg("unconfirmed")}
		if d.HasArg("slots") {
			d.ScanArgs(t, "slots", &s.service.Slots)
		}
		s.printEffects(&out, Effects{Refused: s.table.SetOwned(s.placed(d), takeover, s.now)})
	case "import":
		state := HandoverState{Server: serverName(d), MedianLatency: s.duration(t, d, "latency"), Draining: d.HasArg("draining")}
		if d.HasArg("warm") {
			d.ScanArgs(t, "warm", &state.WarmupProgress)
		}
		if d.HasArg("busy") {
			state.SlotTimes = []time.Duration{s.duration(t, d, "busy")}
		}
		s.table.ImportStates([]HandoverState{state}, s.now)
	case "release":
		states, refused := s.table.Release([]string{serverName(d)}, s.now)
		for _, state := range states {
			fmt.Fprintf(&out, "state warm=%.2f draining=%t busy=%v\n", state.WarmupProgress, state.Draining, state.SlotTimes)
		}
		s.printEffects(&out, Effects{Refused: refused})
	case "confirm":
		s.table.ConfirmTakeover([]string{serverName(d)})
	case "sub":
		s.admit(t, d, &out)
	case "check-dispatch":
		var id uint64
		d.ScanArgs(t, "id", &id)
		s.checkDispatch(&out, s.subs[id])
	case "complete":
		s.complete(t, d, &out)
	case "reevaluate":
		s.printEffects(&out, s.table.Reevaluate(serverName(d), s.now))
	case "mark-draining":
		s.printEffects(&out, s.table.MarkDraining(serverName(d), s.now))
	case "report":
		s.printEffects(&out, s.table.ApplyReport(shard.StateReport{Server: serverName(d), Draining: d.HasArg("draining")}, s.now))
	case "health":
		health, _ := s.table.Health(serverName(d))
		fmt.Fprintf(&out, "%s\n", healthName(health))
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return out.String()
}

// admit admits count sub-requests with consecutive ids and checks the dispatch
// of admitted ones, unless the argument no-check is given.
func (s *script) admit(t *testing.T, d *datadriven.TestData, out *strings.Builder) {
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
		sub := testSub(id, serverName(d), class, s.now.Add(s.duration(t, d, "timeout")))
		sub.Hedge = d.HasArg("hedge")
		s.subs[id] = sub
		switch decision := s.table.Admit(sub, s.now).(type) {
		case Dispatch:
			if d.HasArg("no-check") {
				fmt.Fprintf(out, "%d admitted\n", id)
			} else {
				s.checkDispatch(out, sub)
			}
		case Queued:
			fmt.Fprintf(out, "%d queued%s\n", id, s.formatTime(" wake", decision.WakeAt))
		case Refuse:
			fmt.Fprintf(out, "%d refused %s after=%v\n", id, decision.Reason, decision.RetryAfter)
		}
		id++
	}
}

func (s *script) checkDispatch(out *strings.Builder, sub shard.SubRequest) {
	if _, reason, ok := s.table.CheckDispatch(sub, s.now); !ok {
		fmt.Fprintf(out, "%d stopped %s\n", sub.ID, reason)
		return
	}
	fmt.Fprintf(out, "%d dispatched\n", sub.ID)
}

// complete completes a sub-request with an outcome.
func (s *script) complete(t *testing.T, d *datadriven.TestData, out *strings.Builder) {
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
	result, effects := s.table.Complete(s.subs[id], outcome, s.duration(t, d, "took"), s.now)
	if d.HasArg("stats") {
		fmt.Fprintf(out, "usable %t\n", result.Stats.Usable)
	}
	s.printEffects(out, effects)
}

func (s *script) printEffects(out *strings.Builder, effects Effects) {
	for _, refused := range effects.Refused {
		fmt.Fprintf(out, "%d refused %s\n", refused.Sub.ID, refused.Result.Outcome.(shard.Refused).Reason)
	}
	for _, sub := range effects.Ready {
		s.checkDispatch(out, sub)
	}
	if effects.Event != nil {
		fmt.Fprintf(out, "event %T\n", effects.Event)
	}
	if !effects.WakeAt.IsZero() {
		fmt.Fprintf(out, "%s\n", strings.TrimSpace(s.formatTime("wake", effects.WakeAt)))
	}
}

func (s *script) formatTime(label string, t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return label + " at " + t.Sub(startTime).Round(time.Millisecond).String()
}

func (s *script) duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
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
			list = append(list, testPlaced(s.service, arg.Key))
		}
	}
	return list
}

// serverName returns the first argument, which is the name of the server.
func serverName(d *datadriven.TestData) string { return d.CmdArgs[0].Key }

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
