package quota

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssophub/props"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// TestCaps runs the scripts in testdata/caps against the tables of several hosts in virtual
// time. The comments in the scripts name the load and the failures that they guard against:
// an account that gets more than its cap from all hosts together, and one that is refused
// below it.
func TestCaps(t *testing.T) {
	datadriven.Walk(t, "testdata/caps", func(t *testing.T, path string) {
		var m *model
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return play(t, &m, d) })
	})
}

// TestCapsAfterLosses runs the scripts in testdata/loss: what lies below the cap is served
// also while owners are lost and while the hosts learn that others are back.
func TestCapsAfterLosses(t *testing.T) {
	datadriven.Walk(t, "testdata/loss", func(t *testing.T, path string) {
		var m *model
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return play(t, &m, d) })
	})
}

func play(t *testing.T, m **model, d *datadriven.TestData) string {
	switch d.Cmd {
	case "hosts":
		*m = newModel(1, Cap{Account: "water", Rate: props.Number(t, d, "rate"), Burst: props.Number(t, d, "burst"), Version: 1}, "a", "b", "c", "d")
		for _, line := range strings.Fields(d.Input) {
			addZone(*m, line)
		}
	case "demand":
		(*m).demand, (*m).repeat = props.Number(t, d, "rate"), d.HasArg("repeat")
	case "cap":
		(*m).setCap(props.Number(t, d, "rate"), props.Number(t, d, "burst"))
	case "loss":
		(*m).loss = props.Number(t, d, "share")
	case "waits":
		return (*m).spread()
	case "run":
		return judge(t, *m, d)
	default:
		for _, h := range (*m).chosen(d.Input) {
			(*m).change(d.Cmd, h)
		}
	}
	return ""
}

// addZone adds the hosts of a field "ZONE*COUNT".
func addZone(m *model, field string) {
	var count int
	zone, number, _ := strings.Cut(field, "*")
	if _, err := fmt.Sscan(number, &count); err != nil {
		panic(err)
	}
	for i := range count {
		m.addHost(fmt.Sprintf("%s%d", zone, i), zone)
	}
}

// chosen returns the hosts of the input: names, zones, or "owner" for the host that owns
// the share of the first running host's zone.
func (m *model) chosen(input string) []*modelHost {
	var list []*modelHost
	for _, field := range strings.Fields(input) {
		if field == "owner" {
			list = append(list, m.owner())
			continue
		}
		for _, h := range m.hosts {
			if h.Name == field || h.Zone == field {
				list = append(list, h)
			}
		}
	}
	return list
}

func (m *model) owner() *modelHost {
	for _, h := range m.hosts {
		if h.running {
			return m.host(h.table.ranking(m.cap.Account).ownZone().Name)
		}
	}
	return nil
}

func (m *model) change(what string, h *modelHost) {
	switch what {
	case "kill":
		m.kill(h)
	case "start":
		m.start(h)
	case "leave":
		h.Leaving = true
	case "cut":
		h.side = 1
	case "isolate":
		h.side = 100 + h.number + int(h.table.random.Uint32N(1<<20))
	case "heal":
		h.side = 0
	}
}

// judge runs the model and says whether the servers got more than allowed, and whether at
// least the share of the argument "use" of what was due below the cap was served.
func judge(t *testing.T, m *model, d *datadriven.TestData) string {
	m.owed, m.served, m.over, m.lost = 0, 0, 0, 0
	m.run(props.Duration(t, d, "for"))
	result := m.check()
	if result == "" {
		result = "within the cap"
	}
	if d.HasArg("use") && float64(min(m.served, m.owed)) < props.Number(t, d, "use")*float64(m.owed) {
		result += "; " + m.String()
	}
	return result
}

// spread says whether twice as many refused callers were told to come back at one time as at
// others.
func (m *model) spread() string {
	const within = 250 * time.Millisecond
	perSlot := make(map[int64]int)
	most := 0
	for _, at := range m.waits {
		slot := at.UnixNano() / int64(within)
		perSlot[slot]++
		most = max(most, perSlot[slot])
	}
	mean := len(m.waits) / max(1, len(perSlot))
	if room := 2 * mean; most > room {
		return fmt.Sprintf("%d callers come back within %s, %d on average", most, within, mean)
	}
	return "spread"
}

// TestCapHoldsInRandomHistories guards against orders of kills, restarts, planned stops,
// cuts, lost messages and changes of the cap in which all hosts together serve more
// requests of an account than its cap allows, and in which they serve less than most of
// what is due below it in calm.
func TestCapHoldsInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SampledFrom([]float64{0.5, 2, 20})
		c := Cap{Account: "water", Version: 1, Rate: rates.Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{1, 20}).Draw(t, "burst")}
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		m := newModel(rapid.Uint64().Draw(t, "seed"), c, zones...)
		for _, zone := range zones {
			addZone(m, fmt.Sprintf("%s*%d", zone, rapid.IntRange(1, 5).Draw(t, "hosts")))
		}
		m.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
		m.demand, m.repeat = rapid.Float64Range(0, 60).Draw(t, "demand"), rapid.Bool().Draw(t, "repeat")
		m.run(8 * time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "events") {
			event(t, m)
			m.run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
			require.Empty(t, m.check(), m.String())
		}
		m.calm()
		m.run(20 * time.Second)
		require.Empty(t, m.check(), m.String())
		m.demand, m.owed, m.served, m.lost = m.cap.Rate/1.6, 0, 0, 0
		m.run(20 * time.Second)
		require.Empty(t, m.check(), m.String())
		require.GreaterOrEqual(t, float64(m.served), 0.9*float64(m.owed)-2, m.String())
	})
}

// event changes one host, a zone, many hosts or the cap.
func event(t *rapid.T, m *model) {
	what := rapid.SampledFrom([]string{"kill", "start", "leave", "cut", "isolate", "heal", "cut zone", "heal all", "herd", "cap"}).Draw(t, "event")
	h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
	switch what {
	case "cap":
		m.setCap(rapid.SampledFrom([]float64{0.5, 2, 20}).Draw(t, "new rate"), rapid.SampledFrom([]float64{1, 20}).Draw(t, "new burst"))
	case "cut zone":
		for _, other := range m.chosen(h.Zone) {
			m.change("cut", other)
		}
	case "heal all":
		for _, other := range m.hosts {
			m.change("heal", other)
		}
	case "herd":
		share := rapid.Float64Range(0.3, 1).Draw(t, "share")
		back := time.Duration(rapid.IntRange(0, 3000).Draw(t, "back ms")) * time.Millisecond
		for _, other := range m.hosts {
			if m.random.Float64() < share {
				m.kill(other)
				m.after(back, func() {
					if !other.running {
						m.start(other)
					}
				})
			}
		}
	default:
		m.change(what, h)
	}
}

// calm ends all faults.
func (m *model) calm() {
	m.loss = 0
	for _, h := range m.hosts {
		h.side = 0
		if !h.running || h.Leaving {
			m.start(h)
		}
	}
}
