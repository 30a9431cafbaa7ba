package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/daemon"
	"hyssophub/fakes"
	"hyssophub/logs"
	"hyssophub/setup"
)

// Guards against wrong exit codes and outputs of the commands, and against
// changes that do not reach the store or the host. Each "run" of the script is a
// command line; ids, times, the path of the folder and the number of sub-requests
// differ from run to run and are masked.
func TestCommands(t *testing.T) {
	script, err := filepath.Abs("testdata/operators")
	require.NoError(t, err)
	folder, platform := startDeployment(t)
	t.Chdir(folder)
	masks := regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}|[0-9-]{10}T[0-9:.]+Z|[0-9.]+ ms|[0-9]+ sub-requests .[0-9]+ extra.|"took":[0-9.]+|` + regexp.QuoteMeta(folder+"/"))
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "await":
			var revision uint64
			d.ScanArgs(t, "revision", &revision)
			awaitRevision(t, revision)
			return ""
		case "lose-answers":
			var fault fakes.StoreFault
			d.ScanArgs(t, "every", &fault.LoseReplyEvery)
			platform.SetFault(fault)
			return ""
		}
		var stdout, stderr bytes.Buffer
		exit := Run(strings.Fields(d.Input), Streams{Out: &stdout, Err: &stderr})
		text := fmt.Sprintf("exit %d\n%s%s", exit, stdout.String(), stderr.String())
		text = masks.ReplaceAllString(text, "*")
		if d.HasArg("head") && len(text) > maxHeadLength {
			text = text[:maxHeadLength] + "...\n"
		}
		return text
	})
}

// maxHeadLength is the length in bytes to which the output of a command marked
// "head" is cut.
const maxHeadLength = 200

// startDeployment starts a host in this process with a fake store and fake
// servers. It returns the store, and the folder with the manifests and token files.
func startDeployment(t *testing.T) (string, *fakes.Store) {
	platform, err := fakes.NewStore("")
	require.NoError(t, err)
	t.Cleanup(func() { _ = platform.Close() })
	data, err := os.ReadFile("testdata/manifest.json")
	require.NoError(t, err)
	m, err := codec.DecodeManifest(data)
	require.NoError(t, err)
	startBackends(t, &m)
	text, err := codec.EncodeManifest(m)
	require.NoError(t, err)
	folder := t.TempDir()
	for name, content := range map[string]string{
		"manifest.json": string(text),
		"faulty.json":   `{"zones":[{"name":"a"}]}`,
		"broken.json":   `{`,
		"twice.json":    `{"name":"a","zones":[{"name":"x","name":"y"}]}`,
		"tokens.json":   `{"north":"north-token-0123456789"}`,
		"north":         northToken + "\n",
		"wrong":         "wrong-token-0123456789\n",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600))
	}
	host, err := daemon.New(setup.Settings{
		Name: "h1", Zone: "a", CallerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", HeartbeatAddr: "127.0.0.1:0",
		PlatformAddr: platform.Address(), TokensFile: filepath.Join(folder, "tokens.json"), Stop: setup.Stop{FinishTimeout: time.Second},
	}, logs.Discard())
	require.NoError(t, err)
	t.Cleanup(func() { _ = host.Close() })
	t.Setenv("HYSSOPHUB_ADMIN", host.AdminAddress())
	t.Setenv("HYSSOPHUB_CALLER", host.CallerAddress())
	t.Setenv("HYSSOPHUB_TOKEN", filepath.Join(folder, "north"))
	return folder, platform
}

// northToken is the token of the only office.
const northToken = "north-token-0123456789"

// startBackends starts a fake server for each backend server of the manifest and
// enters its address into the manifest.
func startBackends(t *testing.T, m *config.Manifest) {
	for i := range m.Services {
		s := &m.Services[i]
		for j := range s.Servers {
			server, err := fakes.NewServer(fakes.ServerOptions{
				Name: s.Servers[j].Name, Slots: s.Slots, ServiceTime: time.Millisecond,
				Indexes: []fakes.Index{{Version: 1, All: s.Shards, Shards: s.Shards}},
			})
			require.NoError(t, err)
			t.Cleanup(func() { _ = server.Close() })
			s.Servers[j].Address = server.Address()
		}
	}
}

// awaitTimeout bounds the wait until the host has received a configuration
// through its watch of the store.
const awaitTimeout = 5 * time.Second

// awaitRevision waits until a revision is in force on the host and its status
// lists nothing that the host still waits for.
func awaitRevision(t *testing.T, revision uint64) {
	target := url.URL{Scheme: "http", Host: os.Getenv("HYSSOPHUB_ADMIN"), Path: "/v1/status"}
	require.Eventually(t, func() bool {
		r, err := send(http.MethodGet, target.String(), northToken, nil)
		var s statusResponse
		return err == nil && json.Unmarshal(r.body, &s) == nil && s.Revision == revision && len(s.Waits) == 0
	}, awaitTimeout, 10*time.Millisecond)
}
