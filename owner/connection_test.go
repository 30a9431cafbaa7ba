package owner

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/config"
	"hyssophub/dial"
	"hyssophub/event"
	"hyssophub/fakes"
	"hyssophub/shard"
)

// loadGenerator submits sub-requests from several callers until it is stopped.
type loadGenerator struct {
	engine *Engine
	id     atomic.Uint64
	stop   atomic.Bool
	calls  sync.WaitGroup
}

func (l *loadGenerator) start(t *testing.T, callers int) {
	for range callers {
		l.calls.Go(func() {
			for !l.stop.Load() {
				sub := testSub(l.id.Add(1), "s1", shard.Routine, time.Now().Add(300*time.Millisecond))
				sub.Version, sub.Shards, sub.Limit = 1, []string{"a"}, 1
				results := l.engine.Submit(t.Context(), shard.Batch{Sender: "host", Subs: []shard.SubRequest{sub}})
				for _, r := range results {
					if refused, ok := r.Outcome.(shard.Refused); ok {
						sleepUpTo20ms(refused.RetryAfter)
					}
				}
			}
		})
	}
}

func sleepUpTo20ms(d time.Duration) { <-time.After(min(d, 20*time.Millisecond)) }

// TestColdServerOverConnections guards against three faults: more requests to a
// cold server than it can handle, an undetected change from warm to cold (limit
// 1 s), and undetected draining (limit 2 s). It runs in virtual time over
// in-memory connections, so that its limits do not depend on the speed of the
// machine.
func TestColdServerOverConnections(t *testing.T) {
	synctest.Test(t, checkColdServer)
}

func checkColdServer(t *testing.T) {
	// Delayed reads of the fake server must end before the synctest bubble
	// does.
	t.Cleanup(func() { time.Sleep(time.Second) })
	network := &fakes.Network{}
	server, err := fakes.NewServer(fakes.ServerOptions{
		Name: "s1", Slots: 4, ServiceTime: 20 * time.Millisecond, Floor: 20, Warmup: 2 * time.Second,
		Connections: 25, ConnectTime: time.Millisecond, Listener: network.Listen(),
		Indexes: []fakes.Index{{Version: 1, All: []string{"a"}, Shards: []string{"a"}}},
	})
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	client := dial.NewClientWithDialer(network.Dial)
	defer client.Close()
	table := NewTable(permitAll)
	options := DefaultOptions()
	options.SubmitWait = 400 * time.Millisecond
	drained := make(chan event.Event, 8)
	options.Publish = func(e event.Event) {
		if _, ok := e.(event.ServerDraining); ok {
			drained <- e
		}
	}
	engine := NewEngine(table, client, discardSender{}, options)
	defer engine.Close()
	service := testService("entries", 4)
	service.Floor, service.Warmup = 20, 2*time.Second
	engine.SetOwned([]config.PlacedServer{{Service: service, Server: config.Server{Name: "s1", Address: server.Address()}}})

	l := &loadGenerator{engine: engine}
	l.start(t, 8)
	defer l.calls.Wait()
	defer l.stop.Store(true)
	waitHealth(t, table, Warm{}, 10*time.Second)
	require.Zero(t, server.Counts().RateBreaches)

	// The detection needs a median of recent replies.
	handled := server.Handled()
	require.Eventually(t, func() bool { return server.Handled() > handled+100 }, 5*time.Second, time.Millisecond)
	server.TurnCold()
	start := time.Now()
	waitHealth(t, table, Cold{}, 2*time.Second)
	t.Logf("change to cold detected after %v, %d rate limit breaches", time.Since(start), server.Counts().RateBreaches)
	require.Less(t, time.Since(start), time.Second)
	require.Zero(t, server.Counts().ConnectionBreaches)
	require.Zero(t, server.Counts().SlotBreaches)

	// The state endpoint denies draining, so that only the replies announce it.
	server.HideDraining(true)
	server.Drain()
	select {
	case e := <-drained:
		require.Equal(t, event.ServerDraining{Server: "s1"}, e)
	case <-time.After(2 * time.Second):
		t.Fatal("no draining event within 2 s")
	}
}

func waitHealth(t *testing.T, table *Table, want Health, within time.Duration) {
	require.Eventually(t, func() bool {
		health, _ := table.Health("s1")
		return health == want
	}, within, time.Millisecond)
}
