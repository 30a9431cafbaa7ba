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

// Guards against wrong ownership after known sequences of failures.
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
				m.down = d.HasArg("down")
			case "cut":
				m.cut[[2]int{i, j}], m.cut[[2]int{j, i}] = true, true
			case "heal":
				clear(m.cut)
			default:
				apply(m, i, d.Cmd)
			}
			return m.state()
		})
	})
}

// apply makes something happen to a host.
func apply(m *model, i int, what string) {
	h := m.hosts[i]
	switch what {
	case "kill":
		h.dead = true
	case "start":
		if h.dead {
			m.start(i)
		}
	case "pause":
		h.paused = true
	case "wake":
		h.paused = false
	case "leave":
		if !h.dead && !h.paused {
			m.do(i, h, h.table.Leave(m.now))
		}
	}
}

// state prints who may dispatch to how many groups.
func (m *model) state() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: served %d of %d", m.now.Sub(modelStart), m.served(), len(m.groups))
	for _, h := range m.hosts {
		owned, forced := 0, 0
		for _, g := range m.groups {
			if !h.dead && !h.paused && h.table.MayDispatch(g, m.now) {
				owned++
				if h.table.ProvisionalOwner(g) {
					forced++
				}
			}
		}
		fmt.Fprintf(&b, ", %s %d", h.host.Name, owned)
		if forced > 0 {
			fmt.Fprintf(&b, " (%d forced)", forced)
		}
	}
	fmt.Fprintf(&b, "\n")
	for _, o := range m.overlaps {
		fmt.Fprintln(&b, "overlap", o)
	}
	return b.String()
}

// Guards against two owners of one group, which would put more work on its
// servers than they have slots, whatever dies, pauses, leaves or is cut off
// while the store answers.
func TestOneHostDispatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(t, "hosts")
		m := newModel(hosts)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			j := rapid.IntRange(0, hosts-1).Draw(t, "other")
			switch what := rapid.SampledFrom([]string{"kill", "start", "pause", "wake", "leave", "cut", "heal", "none"}).Draw(t, "what"); what {
			case "cut":
				m.cut[[2]int{i, j}] = true
			case "heal":
				clear(m.cut)
			default:
				apply(m, i, what)
			}
			m.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "run")) * modelStep)
			require.Empty(t, m.overlaps)
		}
		clear(m.cut)
		for i, h := range m.hosts {
			apply(m, i, "wake")
			if h.dead || h.table.leaving {
				apply(m, i, "kill")
				apply(m, i, "start")
			}
		}
		m.run(10 * time.Second)
		require.Empty(t, m.overlaps)
		require.Equal(t, len(m.groups), m.served())
	})
}
