package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against wrong or missing owners after scripted sequences of deaths,
// pauses, planned stops, partitions and store outages.
func TestTableScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var m *model
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var i, j int
			if d.HasArg("host") {
				d.ScanArgs(t, "host", &i)
			}
			if d.HasArg("to") {
				d.ScanArgs(t, "to", &j)
			}
			switch d.Cmd {
			case "zone":
				d.ScanArgs(t, "hosts", &i)
				m = newModel(i)
			case "run":
				var text string
				d.ScanArgs(t, "for", &text)
				length, err := time.ParseDuration(text)
				require.NoError(t, err)
				m.run(length)
			case "store":
				m.storeDown = d.HasArg("down")
			case "partition":
				m.partitioned[[2]int{i, j}], m.partitioned[[2]int{j, i}] = true, true
			case "heal":
				clear(m.partitioned)
			default:
				applyFailure(m, i, d.Cmd)
			}
			return m.state()
		})
	})
}

// applyFailure applies a command of the scripts to host i.
func applyFailure(m *model, i int, command string) {
	h := m.hosts[i]
	switch command {
	case "kill":
		h.dead = true
	case "start":
		if h.dead {
			m.startHost(i)
		}
	case "pause":
		h.paused = true
	case "resume":
		h.paused = false
	case "leave":
		if !h.dead && !h.paused {
			m.perform(i, h, h.table.Leave(m.now))
		}
	}
}

// state prints to how many groups each host may dispatch, and any overlaps.
func (m *model) state() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: served %d of %d", m.now.Sub(modelStart), m.served(), len(m.groups))
	for _, h := range m.hosts {
		owned, provisional := 0, 0
		for _, g := range m.groups {
			if !h.dead && !h.paused && h.table.MayDispatch(g, m.now) {
				owned++
				if h.table.ProvisionalOwner(g) {
					provisional++
				}
			}
		}
		fmt.Fprintf(&b, ", %s %d", h.host.Name, owned)
		if provisional > 0 {
			fmt.Fprintf(&b, " (%d provisional)", provisional)
		}
	}
	fmt.Fprintf(&b, "\n")
	for _, o := range m.overlaps {
		fmt.Fprintln(&b, "overlap", o)
	}
	return b.String()
}

// Guards against two hosts that dispatch to the same group at one time, which
// would give its servers more work than they have slots. Random deaths,
// restarts, pauses, planned stops and partitions happen while the store
// answers.
func TestOneHostDispatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(t, "hosts")
		m := newModel(hosts)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			j := rapid.IntRange(0, hosts-1).Draw(t, "other")
			switch command := rapid.SampledFrom([]string{"kill", "start", "pause", "resume", "leave", "partition", "heal", "none"}).Draw(t, "what"); command {
			case "partition":
				m.partitioned[[2]int{i, j}] = true
			case "heal":
				clear(m.partitioned)
			default:
				applyFailure(m, i, command)
			}
			m.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "run")) * modelStep)
			require.Empty(t, m.overlaps)
		}
		clear(m.partitioned)
		for i, h := range m.hosts {
			applyFailure(m, i, "resume")
			if h.dead || h.table.leaving {
				applyFailure(m, i, "kill")
				applyFailure(m, i, "start")
			}
		}
		m.run(10 * time.Second)
		require.Empty(t, m.overlaps)
		require.Equal(t, len(m.groups), m.served())
	})
}
