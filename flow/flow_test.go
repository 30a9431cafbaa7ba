package flow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssophub/props"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// TestLimits runs the scripts in testdata/limits against the tables of several hosts in
// virtual time. The comments in the scripts name the failures that they guard
// against: a server with a rate limit that gets more than that from all hosts
// together, or much less than it takes.
func TestLimits(t *testing.T) {
	datadriven.Walk(t, "testdata/limits", func(t *testing.T, path string) {
		var m *model
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "hosts":
				m = newModel(1, props.Number(t, d, "limit"))
				addHosts(t, m, d.Input)
			case "run":
				from := m.now
				m.run(props.Duration(t, d, "for"))
				return verdict(t, m, d, from)
			case "ask":
				return ask(t, m, d)
			default:
				change(t, m, d)
			}
			return ""
		})
	})
}

// addHosts adds hosts, one line each: name@zone and the requests a second that it
// would send to the server. "*N" after the zone adds N of them.
func addHosts(t *testing.T, m *model, input string) {
	for _, line := range strings.Split(input, "\n") {
		place, demand, _ := strings.Cut(line, " ")
		rate, err := strconv.ParseFloat(demand, 64)
		require.NoError(t, err, line)
		name, zone, _ := strings.Cut(place, "@")
		zone, count, many := strings.Cut(zone, "*")
		if !many {
			m.addHost(name, zone, rate)
			continue
		}
		n, err := strconv.Atoi(count)
		require.NoError(t, err, line)
		for i := range n {
			m.addHost(name+strconv.Itoa(i), zone, rate)
		}
	}
}

// ask lets one host ask another directly for as many permits as it gives, for a
// second, and says what it got.
func ask(t *testing.T, m *model, d *datadriven.TestData) string {
	const wanted = 1000
	to := m.host(props.Text(t, d, "to"))
	permits := 0
	var last Grant
	for range 10 {
		asks := []Ask{{Server: m.server, Limit: Limit{Named: true, Rate: m.limit, SaidAt: m.now}, Want: wanted}}
		grants, _ := to.table.Answer(props.Text(t, d, "host"), asks, m.now)
		last = grants[0]
		permits += last.Permits
		m.run(100 * time.Millisecond)
	}
	if permits == 0 && last.Owner != "" {
		return "no permits, ask " + last.Owner
	}
	return fmt.Sprintf("%d permits", permits)
}

func change(t *testing.T, m *model, d *datadriven.TestData) {
	switch d.Cmd {
	case "limit":
		m.setLimit(props.Number(t, d, "rate"))
	case "cold":
		m.coldRate = props.Number(t, d, "rate")
		m.setLimit(-1)
	case "loss":
		m.loss = props.Number(t, d, "share")
	default:
		changeHost(m, d.Cmd, m.host(props.Text(t, d, "host")))
	}
}

func changeHost(m *model, what string, h *modelHost) {
	switch what {
	case "kill":
		h.running = false
	case "start":
		m.start(h)
	case "freeze":
		h.frozen = true
	case "thaw":
		h.frozen = false
	case "cut":
		h.cut = true
	case "heal":
		h.cut = false
	}
}

// verdict says whether the server got more than allowed, and at least the share of
// its limit that the argument "use" names.
func verdict(t *testing.T, m *model, d *datadriven.TestData, from time.Time) string {
	counted, all, allowed := m.check()
	if m.coldRate > 0 {
		return coldVerdict(t, m, d, from)
	}
	if m.limit < 0 {
		return "no bound"
	}
	result := "within the bound"
	if float64(counted) > allowed {
		result = fmt.Sprintf("%d requests in %s, %g allowed", counted, boundWindow, allowed)
	}
	if d.HasArg("all") && float64(all) > allowed {
		result += fmt.Sprintf("; %d from all hosts", all)
	}
	if d.HasArg("use") {
		least := props.Number(t, d, "use") * m.limit
		if rate := m.rate(from); rate < least {
			result += fmt.Sprintf("; used %.2f of %g a second", rate, m.limit)
		}
	}
	return result
}

// coldVerdict is the verdict on a server that is cold.
func coldVerdict(t *testing.T, m *model, d *datadriven.TestData, from time.Time) string {
	result := "within the bound"
	if most, allowed := m.checkCold(); float64(most) > allowed {
		result = fmt.Sprintf("%d requests in a second, %g allowed", most, allowed)
	}
	if d.HasArg("use") {
		if rate := m.rate(from); rate < props.Number(t, d, "use")*m.coldRate {
			result += fmt.Sprintf("; used %.2f of %g a second", rate, m.coldRate)
		}
	}
	return result
}

// TestLimitHoldsInRandomHistories guards against orders of restarts, freezes, cuts,
// lost messages and changes of the limit in which hosts that are told of a limit send
// more together than it allows.
func TestLimitHoldsInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0.5, 1, 5, 24}).Draw(t, "limit"))
		for z, zone := range []string{"a", "b"} {
			for i := range rapid.IntRange(1, 4).Draw(t, "hosts") {
				m.addHost(fmt.Sprintf("%s%d", zone, i), zone, rapid.Float64Range(0, 40).Draw(t, "demand")/float64(1+2*z))
			}
		}
		m.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		m.run(time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
			what := rapid.SampledFrom([]string{"kill", "start", "freeze", "thaw", "cut", "heal", "limit"}).Draw(t, "event")
			if what == "limit" {
				m.setLimit(rapid.SampledFrom([]float64{0, 1, 8}).Draw(t, "new limit"))
			} else {
				changeHost(m, what, h)
			}
			m.run(time.Duration(rapid.IntRange(50, 6000).Draw(t, "ms")) * time.Millisecond)
			if counted, _, allowed := m.check(); float64(counted) > allowed {
				t.Fatalf("%s", m)
			}
		}
	})
}
