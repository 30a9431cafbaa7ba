package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/fakes"
	"hyssophub/kvhttp"
	"hyssophub/logs"
	"hyssophub/setup"
)

// fixture consists of entry hosts, a store and backend servers on the loopback
// interface; the store and the backend servers are fakes.
type fixture struct {
	store  *fakes.Store
	server *fakes.Server
	// unresponsive accepts requests and answers none.
	unresponsive *fakes.Server
	hosts        []*Daemon
}

// startFixture starts two hosts in one zone. Only one of them owns the server of the
// service "fees", so the other one calls the owner over the network.
func startFixture(t *testing.T) *fixture {
	f := &fixture{}
	var err error
	f.store, err = fakes.NewStore("")
	require.NoError(t, err)
	f.server = startServer(t, "fee-1", time.Millisecond)
	f.unresponsive = startServer(t, "card-1", time.Hour)
	var hostList []fakes.Host
	for _, name := range []string{"entry-1", "entry-2"} {
		host, err := New(setup.Settings{
			Name: name, Zone: "a", CallerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", HeartbeatAddr: "127.0.0.1:0",
			PlatformAddr: f.store.Address(), Stop: setup.Stop{FinishTimeout: time.Second},
		}, logs.Discard())
		require.NoError(t, err)
		f.hosts = append(f.hosts, host)
		hostList = append(hostList, fakes.Host{Name: name, Kind: "entry", Zone: "a", State: "live", Peer: host.PeerAddress()})
	}
	f.store.SetHosts(hostList)
	t.Cleanup(func() {
		for _, h := range f.hosts {
			require.NoError(t, h.Close())
		}
		require.NoError(t, f.store.Close())
	})
	f.apply(t)
	return f
}

func startServer(t *testing.T, name string, service time.Duration) *fakes.Server {
	server, err := fakes.NewServer(fakes.ServerOptions{
		Name: name, Slots: 2, ServiceTime: service,
		Indexes: []fakes.Index{{Version: 1, All: []string{"s1"}, Shards: []string{"s1"}}},
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func (f *fixture) apply(t *testing.T) {
	value, err := codec.EncodeValue(config.Value{Manifest: config.Manifest{
		Name:    "callers",
		Zones:   []config.Zone{{Name: "a", Region: "r", Hosts: 8}},
		Tenants: []config.Tenant{{Name: "invoicing"}},
		Services: []config.Service{{
			Name: "fees", Tenant: "invoicing", Shards: []string{"s1"}, Slots: 2, Connections: 20, Floor: 50,
			Servers: []config.Server{{Name: "fee-1", Zone: "a", Address: f.server.Address()}},
		}, {
			Name: "cards", Tenant: "invoicing", Shards: []string{"s1"}, Slots: 2, Connections: 20, Floor: 50,
			Servers: []config.Server{{Name: "card-1", Zone: "a", Address: f.unresponsive.Address()}},
		}},
	}})
	require.NoError(t, err)
	client := kvhttp.NewClient(f.store.Address())
	defer client.Close()
	_, err = client.Swap(t.Context(), config.StoreKey, 0, value, 0)
	require.NoError(t, err)
	for _, h := range f.hosts {
		require.Eventually(t, func() bool {
			status, _, _ := f.post(t, h, "query", `{"tenant": "invoicing", "services": ["fees"], "text": "plot 7", "coverage": 1}`)
			return status == http.StatusOK
		}, 10*time.Second, 20*time.Millisecond)
	}
}

func (f *fixture) post(t *testing.T, h *Daemon, operation, body string) (int, string, string) {
	response, err := http.Post("http://"+h.CallerAddress()+"/v1/"+operation, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("Retry-After"), string(content)
}

// Guards against a verdict that does not reach the caller over real connections,
// and against a second run of a non-idempotent request that is repeated through
// another host. The replies in docs/callers.md are from
// "go test ./daemon -run Callers -v".
func TestVerdictsReachCallers(t *testing.T) {
	f := startFixture(t)
	send := func(host int, operation, body string, status int, verdict string) {
		got, after, reply := f.post(t, f.hosts[host], operation, body)
		t.Logf("%s %.200s\n%d Retry-After=%q %s", operation, body, got, after, reply)
		require.Equal(t, status, got, reply)
		require.Contains(t, reply, `"verdict":"`+verdict+`"`)
	}
	before := f.server.Handled()
	send(0, "run", runRequest("fees", "fee-2031", "charge 40", 1000), 200, "ran")
	send(1, "run", runRequest("fees", "fee-2031", "charge 40", 1000), 200, "ran")
	require.Equal(t, before+1, f.server.Handled())
	send(1, "run", runRequest("fees", "fee-2031", "charge 50", 1000), 422, "not_run")
	send(0, "run", runRequest("fees", "fee-2032", "charge 40", 0), 408, "not_run")
	send(0, "run", runRequest("tickets", "fee-2033", "charge 40", 1000), 404, "not_run")
	send(0, "run", `{"tenant": "invoicing"`, 400, "not_run")
	send(0, "run", strings.Repeat(" ", 70000), 413, "not_run")
	send(0, "run", runRequest("cards", "fee-2034", "charge 40", 200), 504, "may_have_run")
	send(1, "run", runRequest("cards", "fee-2034", "charge 40", 200), 409, "may_have_run")
	f.store.SetFault(fakes.StoreFault{Down: true})
	send(0, "run", runRequest("fees", "fee-2035", "charge 40", 500), 503, "not_run")
	send(0, "query", `{"tenant": "invoicing", "services": ["fees"], "text": "plot 7", "limit": 2}`, 200, "ran")
	f.store.SetFault(fakes.StoreFault{LoseReplyEvery: 1})
	send(1, "run", runRequest("fees", "fee-2036", "charge 40", 1000), 200, "ran")
	f.store.SetFault(fakes.StoreFault{})
	status := 0
	for i := 0; i < 200 && status != http.StatusTooManyRequests; i++ {
		var after, reply string
		status, after, reply = f.post(t, f.hosts[0], "run", runRequest("fees", fmt.Sprintf("fee-3%03d", i), "charge 40", 1000))
		if status == http.StatusTooManyRequests {
			t.Logf("run\n%d Retry-After=%q %s", status, after, reply)
			require.NotEmpty(t, after)
		}
	}
	require.Equal(t, http.StatusTooManyRequests, status, "the host's share of the store's write rate is not enforced")
	metrics := httptest.NewRecorder()
	operators, err := f.hosts[0].newAdminHandler(logs.Discard())
	require.NoError(t, err)
	operators.ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`hyssophub_store_calls_total{kind="swap",.*} [1-9]`,
		`hyssophub_store_active_calls{kind="watch",.*} [01]`,
		`hyssophub_request_verdicts_total{.*operation="run",.*verdict="may_have_run"} 1`,
		`hyssophub_config_revision{.*} [1-9]`,
	} {
		require.Regexp(t, line, metrics.Body.String())
	}
	require.NoError(t, f.server.Close())
	send(0, "query", `{"tenant": "invoicing", "services": ["fees"], "text": "plot 7", "coverage": 1}`, 503, "ran")
}

func runRequest(service, key, text string, timeout int) string {
	return fmt.Sprintf(`{"tenant": "invoicing", "service": %q, "key": %q, "text": %q, "timeout": %d}`, service, key, text, timeout)
}
