package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/fakes"
	"hyssophub/kvhttp"
)

// mainVariable is the environment variable that makes the test binary run as the
// program hyssophub.
const mainVariable = "HYSSOPHUB_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		os.Exit(Run(os.Args[1:], Streams{Out: os.Stdout, Err: os.Stderr}))
	}
	os.Exit(m.Run())
}

// Guards against a planned stop that reports unready too late for the load
// balancer, never ends, or ignores a second signal.
func TestServeScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/serve", func(t *testing.T, path string) {
		platform, err := fakes.NewStore("")
		require.NoError(t, err)
		defer func() { require.NoError(t, platform.Close()) }()
		storeConfig(t, platform.Address())
		caller := freeAddress(t)
		var (
			host   *exec.Cmd
			stderr bytes.Buffer
		)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "serve":
				var notice string
				d.ScanArgs(t, "notice", &notice)
				host = startServe(t, caller, platform.Address(), notice, &stderr)
			case "ready":
				var status int
				d.ScanArgs(t, "status", &status)
				waitReady(t, "http://"+caller+"/readyz", status)
			case "term":
				require.NoError(t, host.Process.Signal(syscall.SIGTERM))
			case "wait":
				start := time.Now()
				_ = host.Wait()
				return fmt.Sprintf("exit %d, in time %t\n%s", host.ProcessState.ExitCode(), time.Since(start) < readyTimeout, plainLines(stderr.String()))
			}
			return ""
		})
	})
}

// storeConfig writes a configuration to the store; a host without one is not
// ready.
func storeConfig(t *testing.T, address string) {
	value, err := codec.EncodeValue(config.Value{Manifest: config.Manifest{Name: "m", Zones: []config.Zone{{Name: "a", Hosts: 1}}}})
	require.NoError(t, err)
	client := kvhttp.NewClient(address)
	defer client.Close()
	_, err = client.Swap(t.Context(), config.StoreKey, 0, value, 0)
	require.NoError(t, err)
}

// plainLines returns the lines that are not JSON log lines.
func plainLines(text string) string {
	var plain strings.Builder
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "{") {
			plain.WriteString(line)
		}
	}
	return plain.String()
}

// startServe starts an entry host in its own process.
func startServe(t *testing.T, caller, platform, notice string, stderr *bytes.Buffer) *exec.Cmd {
	data, err := json.Marshal(map[string]any{
		"name": "entry-a-1", "zone": "a", "caller": caller, "admin": "127.0.0.1:0", "peer": "127.0.0.1:0",
		"beat": "127.0.0.1:0", "platform": platform, "stop": map[string]string{"notice": notice, "finish": "1s"},
	})
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "host.json")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	host := exec.Command(os.Args[0], "serve", "--config", file)
	host.Env = append(os.Environ(), mainVariable+"=1")
	host.Stderr = stderr
	require.NoError(t, host.Start())
	return host
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// readyTimeout bounds each wait for the host.
const readyTimeout = 5 * time.Second

// waitReady waits until the readiness check at url has the given status.
func waitReady(t *testing.T, url string, status int) {
	require.Eventually(t, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == status
	}, readyTimeout, 10*time.Millisecond)
}
