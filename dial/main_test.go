package dial

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/config"
	"hyssophub/fakes"
	"hyssophub/props"
	"hyssophub/shard"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// startServer starts a fake backend server with one index version.
func startServer(t testing.TB, options fakes.ServerOptions) (*fakes.Server, config.PlacedServer) {
	options.Name = "s1"
	options.Slots = max(options.Slots, 8)
	options.Indexes = []fakes.Index{{Version: 1, All: []string{"a"}, Shards: []string{"a"}}}
	server, err := fakes.NewServer(options)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	service := &config.Service{Name: "entries", Slots: options.Slots, Connections: 25}
	return server, config.PlacedServer{Service: service, Server: config.Server{Name: "s1", Address: server.Address()}}
}

func startClient(t testing.TB) *Client {
	c := NewClient()
	t.Cleanup(c.Close)
	return c
}

// inVirtualTime runs a test in a synctest bubble over connections in memory, so
// that its time limits do not depend on the machine.
func inVirtualTime(t *testing.T, options fakes.ServerOptions, test func(*testing.T, *fakes.Server, config.PlacedServer, *Client)) {
	synctest.Test(t, func(t *testing.T) {
		// The delayed reads of the fake server must end before the bubble does.
		t.Cleanup(func() { time.Sleep(time.Second) })
		network := &fakes.Network{}
		options.Listener = network.Listen()
		server, placed := startServer(t, options)
		c := NewClientWithDialer(network.Dial)
		t.Cleanup(c.Close)
		test(t, server, placed, c)
	})
}

func testSub(id uint64, left time.Duration) shard.SubRequest {
	return shard.SubRequest{
		ID: id, Service: "entries", Version: 1, Shards: []string{"a"},
		Text: "plot 7", Limit: 3, Deadline: time.Now().Add(left),
	}
}
