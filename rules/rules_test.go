package rules

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestScripts runs the scripts in testdata. They guard against a request that
// matches the wrong route, an older version that replaces a newer one, and a
// split that misses its weights.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := NewTable(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return run(t, table, d)
		})
	})
}

func run(t *testing.T, table *Table, d *datadriven.TestData) string {
	switch d.Cmd {
	case "accept":
		var version int
		d.ScanArgs(t, "version", &version)
		set := Set{Version: uint64(version)}
		for _, line := range strings.Fields(d.Input) {
			host, path, _ := strings.Cut(line, "/")
			set.Routes = append(set.Routes, Route{Name: line, Host: host, Prefix: "/" + path})
		}
		return strconv.FormatBool(table.Apply(set))
	case "match":
		var host, path string
		d.ScanArgs(t, "host", &host)
		d.ScanArgs(t, "path", &path)
		route, ok := table.View().Match(host, path)
		if !ok {
			return "none"
		}
		return route.Name
	case "version":
		return fmt.Sprint(table.View().Set.Version)
	case "accounts":
		return acceptAccounts(t, table, d)
	case "authorize":
		return authorize(t, table, d)
	case "pick":
		return pick(t, table, d)
	default:
		d.Fatalf(t, "unknown command")
		return ""
	}
}

// pick prints how often a split chooses each service. The input is a list of
// service:weight.
func pick(t *testing.T, table *Table, d *datadriven.TestData) string {
	var (
		split Split
		n     int
	)
	d.ScanArgs(t, "n", &n)
	for _, field := range strings.Fields(d.Input) {
		service, weight, _ := strings.Cut(field, ":")
		w, err := strconv.ParseFloat(weight, 64)
		require.NoError(t, err)
		split.Parts = append(split.Parts, WeightedService{Service: service, Weight: w})
	}
	counts := make(map[string]int)
	for range n {
		counts[table.Pick("r", split)]++
	}
	return fmt.Sprint(counts)
}

// TestRotationKeepsWeights guards against a split that misses its weights on
// few requests, as a random choice would.
func TestRotationKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 1, 5).Draw(t, "weights")
		turns := rapid.IntRange(1, 200).Draw(t, "turns")
		var (
			split Split
			total int
		)
		for i, w := range weights {
			split.Parts = append(split.Parts, WeightedService{Service: strconv.Itoa(i), Weight: float64(w)})
			total += w
		}
		r := newRotation(split, rapid.Uint64().Draw(t, "seed"))
		counts := make(map[string]int)
		for range turns {
			counts[r.next()]++
		}
		for i, w := range weights {
			want := float64(turns) * float64(w) / float64(total)
			require.InDelta(t, want, float64(counts[strconv.Itoa(i)]), float64(len(weights)))
		}
	})
}
