package place

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"hyssophub/gossip"
	"hyssophub/props"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

const settle = 10 * time.Second

// TestScripts runs the scripts in testdata against the tables of all hosts of a tier.
// Their comments name the failures that they guard against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script holds a tier of hosts in zones of equal size.
type script struct {
	groups int
	hosts  []gossip.Host
	tables map[string]*Table
	lost   map[string]bool
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	now := time.Unix(1000, 0)
	if d.HasArg("at") {
		now = now.Add(props.Duration(t, d, "at"))
	}
	switch d.Cmd {
	case "tier":
		*s = script{groups: int(props.Number(t, d, "groups")), tables: make(map[string]*Table), lost: make(map[string]bool)}
		for z := range int(props.Number(t, d, "zones")) {
			for i := range int(props.Number(t, d, "hosts")) {
				h := gossip.Host{Name: fmt.Sprintf("%d-%02d", z, i), Zone: fmt.Sprint(z), Weight: 192}
				s.hosts, s.tables[h.Name] = append(s.hosts, h), NewTable()
			}
		}
	case "lose":
		for _, name := range strings.Fields(d.Input) {
			s.lost[name] = true
		}
	case "restart":
		for _, name := range strings.Fields(d.Input) {
			delete(s.lost, name)
			s.tables[name] = NewTable()
		}
	case "cut":
		// Each host named sees only itself, and the others do not see it.
		for _, name := range strings.Fields(d.Input) {
			h := s.host(name)
			s.tables[name].Update(View{Self: h, Hosts: 1, Zones: 1, Groups: s.groups}, now)
		}
		return s.shares(now, strings.Fields(d.Input))
	case "shares":
		s.update(now)
		var live []string
		for _, h := range s.hosts {
			if !s.lost[h.Name] {
				live = append(live, h.Name)
			}
		}
		return s.shares(now, live)
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

func (s *script) host(name string) gossip.Host {
	for _, h := range s.hosts {
		if h.Name == name {
			return h
		}
	}
	return gossip.Host{}
}

// update lets each live host see the live ones.
func (s *script) update(now time.Time) {
	for _, self := range s.hosts {
		if s.lost[self.Name] {
			continue
		}
		v := View{Self: self, Groups: s.groups}
		zones := make(map[string]bool)
		for _, h := range s.hosts {
			if s.lost[h.Name] {
				continue
			}
			v.Hosts++
			zones[h.Zone] = true
			if h.Zone == self.Zone && h.Name != self.Name {
				v.Neighbours = append(v.Neighbours, h)
			}
		}
		v.Zones = len(zones)
		s.tables[self.Name].Update(v, now)
	}
}

// shares returns the greatest share of a host, and the sum of all, in the group in which
// the sum is greatest.
func (s *script) shares(now time.Time, names []string) string {
	most, sum := 0.0, 0.0
	for g := range s.groups {
		total := 0.0
		for _, name := range names {
			share := s.tables[name].Share(g, settle, now)
			total += share
			most = max(most, share)
		}
		sum = max(sum, total)
	}
	return fmt.Sprintf("greatest %.3f, sum %.3f", most, sum)
}

// TestGroupsKeepServices guards against collectors that all change when a few services
// of a zone go: what they know of their backend servers would be lost.
func TestGroupsKeepServices(t *testing.T) {
	moved := 0
	for i := range 1000 {
		name := fmt.Sprintf("service-%d", i)
		before, after := GroupOf(name, 8), GroupOf(name, 7)
		if before != after {
			require.Equal(t, 7, before)
			moved++
		}
	}
	require.InDelta(t, 125, moved, 40)
}
