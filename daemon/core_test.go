package daemon

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hyssophub/config"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssophub/shard"
)

// Guards against backend servers that have no owner for over 2 s, sub-requests
// dispatched by an owner whose term has ended, and configurations that do not reach
// every host.
func TestCoreScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var c *cluster
			t.Cleanup(func() {
				for i := range c.cores {
					require.NoError(t, c.kill(i))
				}
				// Heartbeats in flight and pending timers end within this time.
				time.Sleep(time.Minute)
			})
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return runCommand(t, &c, d)
			})
		})
	})
}

func runCommand(t *testing.T, cluster **cluster, d *datadriven.TestData) string {
	var i int
	if d.HasArg("host") {
		d.ScanArgs(t, "host", &i)
	}
	c := *cluster
	switch d.Cmd {
	case "hosts":
		var zones string
		d.ScanArgs(t, "zones", &zones)
		c = newCluster(strings.Split(zones, ";"))
		*cluster = c
		for i := range c.cores {
			c.start(i)
		}
	case "run":
		var text string
		d.ScanArgs(t, "for", &text)
		length, err := time.ParseDuration(text)
		require.NoError(t, err)
		time.Sleep(length)
		synctest.Wait()
		return c.state()
	case "write":
		require.NoError(t, c.write())
	case "store":
		c.mu.Lock()
		c.storeDown = d.HasArg("down")
		c.mu.Unlock()
	case "isolate":
		c.mu.Lock()
		c.isolated[i] = true
		c.mu.Unlock()
	case "reconnect":
		c.mu.Lock()
		clear(c.isolated)
		c.mu.Unlock()
	case "submit":
		_, err := transport{c.cores[i]}.Submit(context.Background(), hostName(0), shard.Batch{})
		return fmt.Sprintln(err)
	case "drain":
		c.mu.Lock()
		for _, p := range c.cores[i].ownership.Owned() {
			c.leavingServers = append(c.leavingServers, p.Server.Name)
		}
		c.mu.Unlock()
	case "kill":
		require.NoError(t, c.kill(i))
	case "start":
		c.start(i)
	case "pause":
		c.mu.Lock()
		c.paused[i] = make(chan struct{})
		c.mu.Unlock()
	case "resume":
		c.mu.Lock()
		close(c.paused[i])
		c.paused[i] = nil
		c.mu.Unlock()
	case "leave":
		c.cores[i].AnnounceStop(context.Background())
		c.cores[i].Leave(context.Background())
	}
	return ""
}

// state prints the configuration and freshness of each host, the number of servers
// that it can route to, and the outcomes of one sub-request per server sent to it.
func (c *cluster) state() string {
	var b strings.Builder
	for i, core := range c.cores {
		if c.stopped[i] {
			continue
		}
		fmt.Fprintf(&b, "%s: revision %d fresh %t routed %d %s\n", hostName(i), core.Revision(), core.config.Fresh(time.Now()), c.countRouted(core), submitToAll(core))
	}
	return b.String()
}

// countRouted counts the backend servers that are really owned by the host that the
// given core considers their owner.
func (c *cluster) countRouted(core *Core) int {
	n := 0
	for i := range serverCount {
		name := fmt.Sprintf("s-%d", i)
		host, _ := (directory{core}).OwnerOf(name)
		if target, err := c.target(host); err == nil {
			if _, ok := target.ownership.Placed(name); ok {
				n++
			}
		}
	}
	return n
}

var nextSubID uint64

// submitToAll submits one sub-request per backend server to a host and returns the
// number of results by outcome.
func submitToAll(core *Core) string {
	batch := shard.Batch{Sender: core.self.Name}
	for i := range serverCount {
		nextSubID++
		batch.Subs = append(batch.Subs, shard.SubRequest{ID: nextSubID, Tenant: "t", Service: "s", Server: fmt.Sprintf("s-%d", i), Deadline: time.Now().Add(time.Second)})
	}
	counts := make(map[string]int)
	for _, r := range core.ownerEngine.Submit(context.Background(), batch) {
		switch o := r.Outcome.(type) {
		case shard.Answered:
			counts["answered"]++
		case shard.Refused:
			counts[string(o.Reason)]++
		case shard.Failed:
			counts["failed"]++
		}
	}
	var list []string
	for what, n := range counts {
		list = append(list, fmt.Sprintf("%s=%d", what, n))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// Guards against a host that reverts to an older configuration when the store
// fails, hosts restart, or copies of older revisions arrive late.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 20).Draw(rt, "plan")
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = runPlan(plan) })
		require.Empty(rt, problems)
	})
}

// runPlan runs a plan and returns a text for each host that reverted to an older
// configuration or lacks the newest one 3 s after the store is available again.
func runPlan(plan []int) []string {
	c := newCluster([]string{"a", "a", "a", "b"})
	revisions := make(map[*Core]uint64)
	for i := range c.cores {
		c.start(i)
	}
	var problems []string
	check := func() {
		for i, core := range c.cores {
			if r := core.Revision(); r < revisions[core] {
				problems = append(problems, fmt.Sprintf("%s from %d to %d", hostName(i), revisions[core], r))
			} else {
				revisions[core] = r
			}
		}
	}
	var copies [][]byte
	for n, step := range plan {
		switch {
		case step < 4:
			_ = c.kill(step)
			c.start(step)
		case step < 7:
			_ = c.write()
			copies = append(copies, c.entry(config.StoreKey).Value)
		case step == 7 && len(copies) > 0:
			c.cores[n%4].installConfig(c.entry(config.StoreKey))
			old := c.entry(config.StoreKey)
			old.Value, old.Revision = copies[0], 1
			c.cores[n%4].installConfig(old)
		default:
			c.mu.Lock()
			c.storeDown = !c.storeDown
			c.mu.Unlock()
		}
		for range 10 {
			time.Sleep(70 * time.Millisecond)
			check()
		}
	}
	c.mu.Lock()
	c.storeDown = false
	c.mu.Unlock()
	time.Sleep(3 * time.Second)
	check()
	for i, core := range c.cores {
		if newest := c.entry(config.StoreKey).Revision; core.Revision() != newest {
			problems = append(problems, fmt.Sprintf("%s has %d of %d", hostName(i), core.Revision(), newest))
		}
		_ = c.kill(i)
	}
	// Heartbeats in flight and pending timers end within this time.
	time.Sleep(time.Minute)
	return problems
}
