package dial

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssophub/config"
	"hyssophub/fakes"
	"hyssophub/fault"
	"hyssophub/shard"
)

// socketLimit ends a test over sockets that hangs. It is no part of a verdict.
const socketLimit = 30 * time.Second

// Guards against a server that is down being taken for a lost connection.
func TestRefusedConnectionIsDown(t *testing.T) {
	check := func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		require.NoError(t, server.Close())
		require.Equal(t, shard.Refused{Reason: fault.ReasonDown}, c.Do(t.Context(), placed, testSub(1, socketLimit)))
		_, err := c.State(t.Context(), placed)
		require.Equal(t, fault.ReasonDown, fault.ReasonOf(err))
	}
	t.Run("socket", func(t *testing.T) {
		server, placed := startServer(t, fakes.ServerOptions{})
		check(t, server, placed, startClient(t))
	})
	t.Run("memory", func(t *testing.T) { inBubble(t, fakes.ServerOptions{}, check) })
}

// openConnections makes the client hold n idle connections.
func openConnections(t *testing.T, c *Client, placed config.PlacedServer, n int) {
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { _ = c.Do(t.Context(), placed, testSub(uint64(i+1), time.Second)) })
	}
	calls.Wait()
}

// Guards against silent connections that stay in the pool, that make the
// server look down, or whose replacement breaks the connection limit.
func TestHalfSilentConnectionsAreReplaced(t *testing.T) {
	inBubble(t, fakes.ServerOptions{ServiceTime: 20 * time.Millisecond, Connections: 25, ConnectTime: 6 * time.Millisecond, Slots: 10}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		openConnections(t, c, placed, 10)
		require.Equal(t, 10, server.Counts().Connections)
		require.Equal(t, 5, server.SilenceConnections(2))
		start := time.Now()
		var (
			calls sync.WaitGroup
			id    atomic.Uint64
			last  atomic.Int64
		)
		// More callers than sound connections, so that silent ones are always used.
		for range 7 {
			calls.Go(func() {
				for time.Since(start) < 2*time.Second {
					outcome := c.Do(t.Context(), placed, testSub(1000+id.Add(1), 800*time.Millisecond))
					if _, ok := outcome.(shard.Answered); ok {
						continue
					}
					last.Store(max(last.Load(), int64(time.Since(start))))
					if f, ok := outcome.(shard.Failed); !ok || f.Reason != fault.ReasonSilentConnection {
						t.Errorf("outcome %v", outcome)
					}
				}
			})
		}
		calls.Wait()
		t.Logf("last failure after %v", time.Duration(last.Load()))
		require.Positive(t, last.Load())
		require.Less(t, time.Duration(last.Load()), time.Second)
		require.Zero(t, server.Counts().ConnectionBreaches)
		require.LessOrEqual(t, c.pool(placed).Open(), 10)
	})
}

// Guards against a slow server being taken for silent connections, which
// would close them all.
func TestSlowServerKeepsItsConnections(t *testing.T) {
	inBubble(t, fakes.ServerOptions{}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		openConnections(t, c, placed, 1)
		server.SetReadDelay(600 * time.Millisecond)
		outcome := c.Do(t.Context(), placed, testSub(2, 3*time.Second))
		require.Equal(t, fault.Ran{}, shard.VerdictOf(outcome))
	})
}

// Guards against a request that fails as "may have run" because the server
// closed an idle connection earlier. It runs over sockets, because the check
// asks the kernel, and over connections in memory.
func TestClosedIdleConnectionIsNoticed(t *testing.T) {
	options := fakes.ServerOptions{ServiceTime: 5 * time.Millisecond}
	check := func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		openConnections(t, c, placed, 4)
		server.CloseConnections()
		require.Eventually(t, func() bool {
			return server.Counts().Connections == 0
		}, socketLimit, time.Millisecond)
		require.IsType(t, shard.Answered{}, c.Do(t.Context(), placed, testSub(9, socketLimit)))
		require.Equal(t, 1, c.pool(placed).Open())
	}
	t.Run("socket", func(t *testing.T) {
		server, placed := startServer(t, options)
		check(t, server, placed, startClient(t))
	})
	t.Run("memory", func(t *testing.T) { inBubble(t, options, check) })
}

// Guards the pool against a connection on which a late answer is still to
// come, and the connection limit against lost connections.
func TestTimedOutConnectionIsClosed(t *testing.T) {
	inBubble(t, fakes.ServerOptions{}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		server.SetReadDelay(200 * time.Millisecond)
		outcome := c.Do(t.Context(), placed, testSub(1, 50*time.Millisecond))
		require.Equal(t, shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}, outcome)
		p := c.pool(placed)
		p.mu.Lock()
		lost, idle := p.countLost(time.Now()), len(p.idle)
		p.mu.Unlock()
		require.Equal(t, 1, lost)
		require.Zero(t, idle)
		server.SetReadDelay(0)
		require.IsType(t, shard.Answered{}, c.Do(t.Context(), placed, testSub(2, time.Second)))
	})
}

// Guards against connections that stay open after the ownership was lost.
func TestRetainClosesOtherServers(t *testing.T) {
	inBubble(t, fakes.ServerOptions{}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		openConnections(t, c, placed, 3)
		c.Retain(nil)
		require.Eventually(t, func() bool { return server.Counts().Connections == 0 }, time.Second, time.Millisecond)
	})
}

// Guards against replies on the wire that the client must not trust: short
// bodies, answers to another request, and lost answers.
func TestBrokenReplies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, test := range map[string]struct {
		reply string
		want  shard.Outcome
	}{
		"short body":        {head + "Content-Length: 50\r\n\r\n{\"id\":1", shard.Failed{Verdict: fault.Ran{}, Reason: fault.ReasonTruncated}},
		"no length":         {head + "\r\n{\"id\":1}", shard.Failed{Verdict: fault.Ran{}, Reason: fault.ReasonTruncated}},
		"other request":     {head + "Content-Length: 8\r\n\r\n{\"id\":2}", shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonTruncated}},
		"closed unanswered": {"", shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection}},
		"draining answer":   {head + "Draining: true\r\nContent-Length: 8\r\n\r\n{\"id\":1}", shard.Answered{Parts: []shard.PartialAnswer{}, Draining: true}},
	} {
		t.Run(name, func(t *testing.T) {
			placed := rawServer(t, test.reply)
			c := startClient(t)
			require.Equal(t, test.want, c.Do(t.Context(), placed, testSub(1, socketLimit)))
		})
	}
}

// rawServer answers each connection's first bytes with a fixed text and
// closes it.
func rawServer(t *testing.T, reply string) config.PlacedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(reply))
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return config.PlacedServer{
		Service: &config.Service{Name: "entries", Slots: 1, Connections: 25},
		Server:  config.Server{Name: "raw", Address: listener.Addr().String()},
	}
}

// Guards the verdict NotRun: the server saw no request with this verdict,
// whatever happened to its connections. In a bubble, an earlier request that
// was given up cannot arrive late and be taken for the refused one.
func TestNotRunMeansUnseen(t *testing.T) { synctest.Test(t, checkNotRunMeansUnseen) }

func checkNotRunMeansUnseen(t *testing.T) {
	// Delayed reads of the fake end before the bubble does.
	t.Cleanup(func() { time.Sleep(time.Second) })
	// The type hides Deadline, which a bubble does not allow.
	rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
		network := &fakes.Network{}
		server, placed := startServer(t, fakes.ServerOptions{ServiceTime: time.Millisecond, Listener: network.Listen()})
		defer func() { _ = server.Close() }()
		c := NewClientOver(network.Dial)
		defer c.Close()
		ran := 0
		for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				server.CloseConnections()
			case 1:
				server.SilenceConnections(1)
			case 2:
				_ = server.Close()
			}
			left := time.Duration(rapid.IntRange(0, 15).Draw(rt, "left")) * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rapid.IntRange(1, 15).Draw(rt, "cancel"))*time.Millisecond)
			synctest.Wait()
			before := server.Counts().Received
			outcome := c.Do(ctx, placed, testSub(uint64(i+1), left))
			cancel()
			synctest.Wait()
			switch shard.VerdictOf(outcome).(type) {
			case fault.NotRun:
				if server.Counts().Received != before {
					rt.Fatalf("refused as %v but the server saw it", outcome)
				}
			case fault.Ran:
				ran++
			}
		}
		if handled := server.Counts().Handled; ran > handled {
			rt.Fatalf("%d ran by verdict, %d at the server", ran, handled)
		}
	})
}
