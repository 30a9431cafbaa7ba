package admit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/props"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// TestScripts runs the scripts in testdata against a Table. Each names the load that it
// answers.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script drives a Table in virtual time.
type script struct {
	table   *Table
	now     time.Time
	tickets map[string]*Ticket
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	start := time.Unix(1000, 0)
	if d.HasArg("at") {
		s.now = start.Add(props.Duration(t, d, "at"))
	}
	switch d.Cmd {
	case "host":
		s.table, s.now, s.tickets = NewTable(), start, make(map[string]*Ticket)
		s.table.random = rand.New(rand.NewPCG(1, 2)).Float64
		s.table.limit.value = props.Number(t, d, "limit")
	case "enter":
		r := Request{
			Account: props.Text(t, d, "account"), Priority: int(props.Number(t, d, "priority")),
			StartBy: s.now.Add(props.Duration(t, d, "start")), Deadline: s.now.Add(props.Duration(t, d, "deadline")),
		}
		return s.enter(props.Text(t, d, "name"), r)
	case "leave":
		s.table.Leave(s.now)
		return s.ready()
	case "abandon":
		name := props.Text(t, d, "name")
		s.table.Abandon(s.tickets[name], s.now)
		delete(s.tickets, name)
		return s.ready()
	case "lags":
		for i := range int(props.Number(t, d, "n")) {
			s.now = s.now.Add(10 * time.Millisecond)
			lag := props.Duration(t, d, "lag")
			if i%10 == 9 && d.HasArg("least") {
				lag = props.Duration(t, d, "least")
			}
			s.table.ObserveLag(lag, s.now)
		}
	case "load":
		return newLoad(t, d, s.table, s.now).run()
	default:
		d.Fatalf(t, "unknown command")
	}
	return fmt.Sprintf("limit %d", s.table.Counts().Limit)
}

func (s *script) enter(name string, r Request) string {
	switch d := s.table.Enter(r, s.now).(type) {
	case Admitted:
		return "admitted"
	case Waiting:
		s.tickets[name] = d.Ticket
		return "waits"
	case Refused:
		return fmt.Sprintf("refused, back within the time left %t", r.Deadline.After(s.now.Add(d.RetryAfter)))
	}
	return ""
}

// ready returns the requests that were admitted since the last call.
func (s *script) ready() string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.tickets)) {
		if s.tickets[name].admitted {
			names = append(names, name)
			delete(s.tickets, name)
		}
	}
	return fmt.Sprint(names)
}

// load is a run of callers against a host whose requests each take the same time.
type load struct {
	table    *Table
	now      time.Time
	took     time.Duration
	start    time.Duration
	length   time.Duration
	obedient bool
	// shared puts all accounts into one queue, for comparison.
	shared  bool
	owners  map[*Ticket]string
	gaps    map[string]time.Duration
	next    map[string]time.Time
	ends    []time.Time
	waiting []*Ticket
	back    []comeback
	sent    map[string]int
	served  map[string]int
	refused map[string]int
	// longest is the longest wait of a served request.
	longest map[string]time.Duration
}

// comeback is the second attempt of a caller.
type comeback struct {
	account string
	at      time.Time
}

func newLoad(t *testing.T, d *datadriven.TestData, table *Table, now time.Time) *load {
	l := &load{
		table: table, now: now, took: props.Duration(t, d, "took"), start: props.Duration(t, d, "start"), length: props.Duration(t, d, "for"),
		obedient: !d.HasArg("repeat"), shared: d.HasArg("shared"), owners: make(map[*Ticket]string), gaps: make(map[string]time.Duration), next: make(map[string]time.Time),
		sent: make(map[string]int), served: make(map[string]int), refused: make(map[string]int), longest: make(map[string]time.Duration),
	}
	for _, field := range strings.Fields(d.Input) {
		name, rate, _ := strings.Cut(field, "=")
		perSecond, err := strconv.ParseFloat(rate, 64)
		if err != nil {
			t.Fatal(err)
		}
		l.gaps[name], l.next[name] = time.Duration(float64(time.Second)/perSecond), now
	}
	return l
}

func (l *load) run() string {
	for end := l.now.Add(l.length); l.now.Before(end); l.now = l.now.Add(time.Millisecond) {
		l.endRequests()
		l.expire()
		for _, name := range slices.Sorted(maps.Keys(l.gaps)) {
			for !l.next[name].After(l.now) {
				l.sent[name]++
				l.arrive(name, true)
				l.next[name] = l.next[name].Add(l.gaps[name])
			}
		}
		returning := l.back
		l.back = nil
		for _, c := range returning {
			if c.at.After(l.now) {
				l.back = append(l.back, c)
				continue
			}
			l.arrive(c.account, false)
		}
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.gaps)) {
		_, _ = fmt.Fprintf(&b, "%s: served %d of 100, longest wait %s\n", name, 100*l.served[name]/l.sent[name], l.longest[name].Round(10*time.Millisecond))
	}
	return b.String()
}

func (l *load) endRequests() {
	for len(l.ends) > 0 && !l.ends[0].After(l.now) {
		l.ends = l.ends[1:]
		l.table.Leave(l.now)
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(ticket *Ticket) bool {
		if ticket.admitted {
			l.serve(l.owners[ticket], l.now.Sub(ticket.request.StartBy.Add(-l.start)))
		}
		return ticket.admitted
	})
}

func (l *load) serve(account string, waited time.Duration) {
	l.served[account]++
	l.longest[account] = max(l.longest[account], waited)
	l.ends = append(l.ends, l.now.Add(l.took))
}

func (l *load) expire() {
	l.waiting = slices.DeleteFunc(l.waiting, func(ticket *Ticket) bool {
		if ticket.request.StartBy.After(l.now) {
			return false
		}
		l.table.Abandon(ticket, l.now)
		return true
	})
}

func (l *load) arrive(account string, first bool) {
	queued := account
	if l.shared {
		queued = ""
	}
	switch d := l.table.Enter(Request{Account: queued, StartBy: l.now.Add(l.start), Deadline: l.now.Add(10 * l.start)}, l.now).(type) {
	case Admitted:
		l.serve(account, 0)
	case Waiting:
		l.waiting = append(l.waiting, d.Ticket)
		l.owners[d.Ticket] = account
	case Refused:
		after := d.RetryAfter
		if !l.obedient {
			after = time.Millisecond
		}
		if first {
			l.back = append(l.back, comeback{account: account, at: l.now.Add(after)})
		}
	}
}
