package feed

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hyssophub/props"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// settleBound is the time after the last disturbance within which all hosts must be equal
// to the store: the wait of a watch that was cut off from the other hosts, the time in
// which a host no longer counts as live, and the grace period of a registration. What a
// drill has lost stays in force until rewriteBound after it.
const settleBound = 10*time.Second + rewriteBound

// TestRandomHistories guards against hosts that miss a change, restore an older version,
// or claim to know what they do not, whatever the order of changes, cuts of watches,
// refused calls, dropped histories, kills, restarts and partitions between hosts. The
// check is the history of the store.
func TestRandomHistories(t *testing.T) {
	steps := 0
	defer func() { t.Logf("%d steps", steps) }()
	rapid.Check(t, func(r *rapid.T) {
		hosts := rapid.SampledFrom([][]string{{"a1@a", "a2@a", "b1@b", "b2@b"}, {"a1@a", "b1@b"}, {"a1@a", "a2@a", "a3@a"}}).Draw(r, "hosts")
		maxDeleted := rapid.SampledFrom([]int{2, maxDeletions}).Draw(r, "deletions")
		lines, end := drawTimeline(r, hosts)
		steps += len(lines)
		var violations string
		synctest.Test(t, func(t *testing.T) {
			w := &world{within: end, maxDeleted: maxDeleted}
			w.begin(hosts)
			for _, line := range lines {
				w.play(t, strings.Fields(line))
			}
			time.Sleep(settleBound)
			w.checkEqual()
			violations = w.end()
		})
		if violations != followed {
			r.Fatalf("%s\n\n%s", strings.Join(lines, "\n"), violations)
		}
	})
}

// drawTimeline draws a timeline that ends without disturbances, and returns its end.
func drawTimeline(r *rapid.T, hosts []string) ([]string, time.Duration) {
	var lines []string
	at, version := time.Duration(0), 1
	running := make(map[string]bool)
	for _, h := range hosts {
		running[h] = true
	}
	add := func(format string, args ...any) { lines = append(lines, at.String()+" "+fmt.Sprintf(format, args...)) }
	host := func() string { return rapid.SampledFrom(hosts).Draw(r, "host") }
	name := func() string { h, _, _ := strings.Cut(host(), "@"); return h }
	server := rapid.SampledFrom([]string{"server/a", "server/b", "server/c", "server/d", "server/e"})
	steps := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second})
	for range rapid.IntRange(10, 60).Draw(r, "steps") {
		at += steps.Draw(r, "step")
		switch rapid.IntRange(0, 16).Draw(r, "event") {
		case 0, 1, 2, 3:
			add("put %s %s", server.Draw(r, "server"), rapid.SampledFrom([]string{"one", "draining"}).Draw(r, "state"))
		case 4, 5:
			add("delete %s %s", server.Draw(r, "server"), server.Draw(r, "server"))
		case 6:
			version++
			add("put rules %d", version)
		case 7:
			add("%s", rapid.SampledFrom([]string{"put zone/z one", "delete zone/z"}).Draw(r, "zone"))
		case 8, 9:
			add("cut-watches")
		case 10:
			add("%s", rapid.SampledFrom([]string{"refuse", "refuse *", "refuse " + name()}).Draw(r, "refused"))
		case 11:
			add("drop-history")
		case 12:
			h := host()
			if n, _, _ := strings.Cut(h, "@"); running[h] {
				add("kill %s", n)
			} else {
				add("start %s", h)
			}
			running[h] = !running[h]
		case 13:
			add("limit %d", rapid.IntRange(0, 3).Draw(r, "limit"))
		case 15, 16:
			add("drill %d", rapid.IntRange(1, 5).Draw(r, "lost"))
		case 14:
			add("%s", rapid.SampledFrom([]string{"cut-off", "cut-off " + name()}).Draw(r, "cut off"))
		}
	}
	add("refuse")
	add("cut-off")
	for _, h := range hosts {
		if !running[h] {
			add("start %s", h)
		}
	}
	return lines, at + settleBound
}
