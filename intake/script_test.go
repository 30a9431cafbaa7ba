package intake

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"hyssophub/props"
)

// TestScripts guards against an account that grants more than its bound, that ends a
// message which may have run, that lets stalled messages or a single address keep others
// out, against connections that keep others out, and against addresses that take the
// processor from others. Time is virtual.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{entries: make(map[string]*Entry), conns: make(map[string]*Conn), now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	table       *Table
	connLimiter *ConnLimiter
	entries     map[string]*Entry
	conns       map[string]*Conn
	evicted     []string
	now         time.Time
	turns       *Turns
	// ready are the turns that wait, by their names.
	ready map[string]<-chan struct{}
}

// named is a Holder that notes its eviction.
type named struct {
	name   string
	script *script
}

func (n named) Evict() { n.script.evicted = append(n.script.evicted, n.name) }

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	text := func(name string) string { return props.Text(t, d, name) }
	number := func(name string) int64 { return int64(props.Number(t, d, name)) }
	switch d.Cmd {
	case "account":
		s.table = NewTable(Limits{Memory: number("memory"), Stall: 500 * time.Millisecond, Window: 10 * time.Second, Least: 4096})
	case "limiter":
		s.connLimiter = s.table.NewConnLimiter(int(number("limit")))
	case "sizes":
		return fmt.Sprintf("%d %+v\n", LimitsFor(number("memory")<<20).Memory, ConnLimitsFor(number("memory")<<20, int(number("files"))))
	case "wait":
		s.now = s.now.Add(props.Duration(t, d, "for"))
	case "begin":
		kinds := map[string]Kind{"head": Head{}, "body": Body{}, "answer": Answer{}}
		for i := range max(1, count(t, d)) {
			name := text("name")
			if d.HasArg("count") {
				name += fmt.Sprint(i)
			}
			s.entries[name] = s.table.Begin(kinds[text("kind")], text("from"), named{name, s}, s.now)
		}
	case "reserve":
		return s.decide(s.table.Reserve(s.entries[text("name")], number("bytes"), s.now))
	case "progress":
		s.table.Progress(s.entries[text("name")], number("bytes"), s.now)
	case "deadline":
		return s.table.Deadline(s.entries[text("name")]).Sub(s.now).String() + "\n"
	case "hold":
		return fmt.Sprintln(s.table.Hold(s.entries[text("name")]))
	case "end":
		s.table.End(s.entries[text("name")])
	case "open":
		conn, decision := s.connLimiter.Open(text("from"), named{text("name"), s}, s.now)
		s.conns[text("name")] = conn
		return s.decide(decision)
	case "receive":
		s.connLimiter.Receive(s.conns[text("name")], int(number("bytes")))
	case "occupy":
		s.connLimiter.Occupy(s.conns[text("name")])
	case "free":
		s.connLimiter.Free(s.conns[text("name")], s.now)
	case "attach":
		s.connLimiter.Attach(s.conns[text("name")], s.entries[text("message")])
	case "write":
		s.conns[text("name")].BeginWrite(s.now)
	case "turns":
		s.turns, s.ready = NewTurns(int(number("limit"))), make(map[string]<-chan struct{})
	case "take":
		var spent int64
		d.MaybeScanArgs(t, "spent", &spent)
		if w, ok := s.turns.Take(text("from"), spent, Cost(int(number("bytes")))).(Waiting); ok {
			s.ready[text("name")] = w.Ready
			return "waits\n"
		}
		return "granted\n"
	case "finish":
		s.turns.End()
		return s.granted()
	case "close":
		s.connLimiter.Close(s.conns[text("name")])
	case "counts":
		return fmt.Sprintf("%+v\n", s.table.Counts())
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// granted returns the turns that have been granted since the last call.
func (s *script) granted() string {
	for name, ready := range s.ready {
		select {
		case <-ready:
			delete(s.ready, name)
			return name + "\n"
		default:
		}
	}
	return "none\n"
}

func count(t *testing.T, d *datadriven.TestData) int {
	if !d.HasArg("count") {
		return 1
	}
	return int(props.Number(t, d, "count"))
}

func (s *script) decide(decision Decision) string {
	switch r := decision.(type) {
	case Granted:
		s.evicted = nil
		for _, holder := range r.Evicted {
			holder.Evict()
		}
		slices.Sort(s.evicted)
		if len(s.evicted) > 0 {
			return "granted, evicted " + strings.Join(s.evicted, " ") + "\n"
		}
		return "granted\n"
	case Refused:
		return "refused, retry after " + r.RetryAfter.String() + "\n"
	}
	return ""
}

// TestAccountIsKept guards against an account that is exceeded, or that loses or keeps
// memory, in random histories.
func TestAccountIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memory = 1000
		table := NewTable(Limits{Memory: memory, Stall: time.Second, Window: time.Second, Least: 10})
		now := time.Unix(0, 0)
		var live []*Entry
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * time.Millisecond)
			step := rapid.IntRange(0, 4).Draw(t, "step")
			if step == 0 || len(live) == 0 {
				kind := rapid.SampledFrom([]Kind{Head{}, Body{}, Answer{}}).Draw(t, "kind")
				live = append(live, table.Begin(kind, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from"), named{script: &script{}}, now))
				continue
			}
			i := rapid.IntRange(0, len(live)-1).Draw(t, "entry")
			held := isHeld(live)
			switch step {
			case 1, 2:
				table.Reserve(live[i], int64(rapid.IntRange(0, 600).Draw(t, "bytes")), now)
			case 3:
				table.Progress(live[i], int64(rapid.IntRange(1, 100).Draw(t, "moved")), now)
				table.Hold(live[i])
			case 4:
				table.End(live[i])
				live = slices.Delete(live, i, i+1)
			}
			sum := int64(0)
			for _, e := range live {
				sum += e.Bytes
				if held[e] && e.Ended {
					t.Fatal("a message that may have run was ended")
				}
			}
			if got := table.Counts().Memory; got != sum || got > memory {
				t.Fatalf("account %d, entries %d, bound %d", got, sum, memory)
			}
		}
	})
}

// isHeld returns the messages that are being served.
func isHeld(live []*Entry) map[*Entry]bool {
	held := make(map[*Entry]bool)
	for _, e := range live {
		if _, ok := e.Kind.(Held); ok && !e.Ended {
			held[e] = true
		}
	}
	return held
}
