package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"hyssophub/props"
)

// TestSeeds runs the scripts in testdata/seeds with the real program. They guard against
// hosts that never find the others because their seeds are gone.
func TestSeeds(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hyssophub")
	build := exec.Command("go", "build", "-o", binary, "hyssophub/cmd/hyssophub")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	datadriven.Walk(t, "testdata/seeds", func(t *testing.T, path string) {
		number := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var output string
			number++
			t.Run(fmt.Sprint(number), func(t *testing.T) { output = replaceSeeds(t, binary, d) })
			return output
		})
	})
}

// replaceSeeds removes hosts and starts another one for each, and says whether all hosts find
// each other.
func replaceSeeds(t *testing.T, binary string, script *datadriven.TestData) string {
	d := newDeployment(t, binary)
	d.store.refuseWrites(script.HasArg("refuse"))
	require.Eventually(t, d.allFound, recoveryLimit, 100*time.Millisecond, "all hosts find each other at the start")
	names := strings.Split(props.Text(t, script, "hosts"), ",")
	var seeds, live []string
	for i, h := range d.hosts {
		if i%hostsPerZone == 0 {
			seeds = append(seeds, h.address(portPeer))
		}
		if !slices.Contains(names, h.name) {
			live = append(live, h.address(portPeer))
			continue
		}
		h.signal(map[string]syscall.Signal{"terminated": syscall.SIGTERM, "killed": syscall.SIGKILL}[props.Text(t, script, "signal")])
		require.True(t, h.waitExit(8*time.Second))
	}
	for i, h := range d.hosts {
		if !slices.Contains(names, h.name) {
			continue
		}
		added := &host{name: h.name + "-new", ip: loopback(fmt.Sprintf("%d.%d", 40+i/hostsPerZone, 1+i%hostsPerZone)), zone: h.zone, dir: h.dir, binary: binary, memory: h.memory}
		require.NoError(t, added.configure(loopback("0.1:21901"), seeds))
		require.NoError(t, added.start())
		d.hosts[i] = added
	}
	if script.HasArg("reload") {
		for _, h := range d.hosts {
			require.NoError(t, h.configure(loopback("0.1:21901"), live))
			require.Eventually(t, func() bool { return h.knownHosts() > 0 }, 10*time.Second, 50*time.Millisecond, "host answers")
			if props.Text(t, script, "reload") == "signal" {
				h.signal(syscall.SIGHUP)
			}
		}
	}
	for end := time.Now().Add(recoveryLimit); !d.allFound(); sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return "hosts did not find each other"
		}
	}
	return "all hosts found each other"
}

// allFound reports whether each host counts all hosts as live, and no other ones.
func (d *deployment) allFound() bool {
	for _, h := range d.hosts {
		if h.knownHosts() != len(d.hosts) {
			return false
		}
	}
	return true
}

var hostsMetric = regexp.MustCompile(`(?m)^hyssophub_tier_hosts(?:\{.*\})? (\d+)$`)

// knownHosts returns the number of live hosts that the metrics of a host report; 0 if it does
// not answer.
func (h *host) knownHosts() int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.address(portMetrics) + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	known := 0
	if found := hostsMetric.FindSubmatch(text); found != nil {
		_, _ = fmt.Sscan(string(found[1]), &known)
	}
	return known
}
