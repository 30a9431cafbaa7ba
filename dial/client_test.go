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

// socketTimeout ends a test over sockets that hangs. No check depends on it.
const socketTimeout = 30 * time.Second

// Guards against a stopped server, which refuses connections, that is reported as
// a connection failure.
func TestRefusedConnectionIsDown(t *testing.T) {
	check := func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		require.NoError(t, server.Close())
		require.Equal(t, shard.Refused{Reason: fault.ReasonDown}, c.Do(t.Context(), placed, testSub(1, socketTimeout)))
		_, err := c.State(t.Context(), placed)
		require.Equal(t, fault.ReasonDown, fault.ReasonOf(err))
	}
	t.Run("socket", func(t *testing.T) {
		server, placed := startServer(t, fakes.ServerOptions{})
		check(t, server, placed, startClient(t))
	})
	t.Run("memory", func(t *testing.T) { inVirtualTime(t, fakes.ServerOptions{}, check) })
}

// openConnections makes the client open n connections, which are idle afterwards.
func openConnections(t *testing.T, c *Client, placed config.PlacedServer, n int) {
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { _ = c.Do(t.Context(), placed, testSub(uint64(i+1), socketTimeout)) })
	}
	calls.Wait()
}

// Guards against silent connections that stay in the pool, that make a sound
// server look down, or whose replacement exceeds the connection limit. The test
// makes half of the connections silent.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	inVirtualTime(t, fakes.ServerOptions{ServiceTime: 20 * time.Millisecond, Connections: 25, ConnectTime: 6 * time.Millisecond, Slots: 10}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		openConnections(t, c, placed, 10)
		require.Equal(t, 10, server.Counts().Connections)
		require.Equal(t, 5, server.SilenceConnections(2))
		start := time.Now()
		var (
			calls sync.WaitGroup
			id    atomic.Uint64
			last  atomic.Int64
		)
		// There are more callers than sound connections, so that silent ones are
		// used too.
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
		require.LessOrEqual(t, c.pool(placed).OpenCount(), 10)
	})
}

// Guards against a slow server whose connections are all taken to be silent and
// closed.
func TestSlowServerKeepsItsConnections(t *testing.T) {
	inVirtualTime(t, fakes.ServerOptions{}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		openConnections(t, c, placed, 1)
		server.SetReadDelay(600 * time.Millisecond)
		outcome := c.Do(t.Context(), placed, testSub(2, 3*time.Second))
		require.Equal(t, fault.Ran{}, shard.VerdictOf(outcome))
	})
}

// Guards against a request with the verdict MayHaveRun because the server closed
// the idle connection before. The test runs over sockets, where the kernel reports
// the close, and over connections in memory. A probe, which a busy machine could
// cause over sockets, would open a connection of its own, so the pool first records
// an exchange that delays probes past the test.
func TestClosedIdleConnectionIsDetected(t *testing.T) {
	options := fakes.ServerOptions{ServiceTime: 5 * time.Millisecond}
	check := func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		c.pool(placed).recordAnswer(socketTimeout, time.Now())
		openConnections(t, c, placed, 4)
		server.CloseConnections()
		require.Eventually(t, func() bool {
			return server.Counts().Connections == 0
		}, socketTimeout, time.Millisecond)
		require.IsType(t, shard.Answered{}, c.Do(t.Context(), placed, testSub(9, socketTimeout)))
		require.Equal(t, 1, c.pool(placed).OpenCount())
	}
	t.Run("socket", func(t *testing.T) {
		server, placed := startServer(t, options)
		check(t, server, placed, startClient(t))
	})
	t.Run("memory", func(t *testing.T) { inVirtualTime(t, options, check) })
}

// Guards against a connection that returns to the pool although a late answer may
// still arrive on it, and against silent connections that are left out of the
// connection limit.
func TestTimedOutConnectionIsClosed(t *testing.T) {
	inVirtualTime(t, fakes.ServerOptions{}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		server.SetReadDelay(200 * time.Millisecond)
		outcome := c.Do(t.Context(), placed, testSub(1, 50*time.Millisecond))
		require.Equal(t, shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}, outcome)
		p := c.pool(placed)
		p.mu.Lock()
		silent, idle := p.countSilent(time.Now()), len(p.idle)
		p.mu.Unlock()
		require.Equal(t, 1, silent)
		require.Zero(t, idle)
		server.SetReadDelay(0)
		require.IsType(t, shard.Answered{}, c.Do(t.Context(), placed, testSub(2, time.Second)))
	})
}

// Guards against connections that stay open after this host lost the ownership of
// their server.
func TestRetainClosesOtherServers(t *testing.T) {
	inVirtualTime(t, fakes.ServerOptions{}, func(t *testing.T, server *fakes.Server, placed config.PlacedServer, c *Client) {
		openConnections(t, c, placed, 3)
		c.Retain(nil)
		require.Eventually(t, func() bool { return server.Counts().Connections == 0 }, time.Second, time.Millisecond)
	})
}

// Guards against broken responses that are accepted or get a wrong verdict: short
// bodies, answers to another request, and connections closed without an answer.
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
			require.Equal(t, test.want, c.Do(t.Context(), placed, testSub(1, socketTimeout)))
		})
	}
}

// rawServer writes a fixed response after the first bytes of each connection and
// closes the connection.
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

// Guards against the verdict NotRun for a request that the server received,
// whatever happened to its connections. The test runs in virtual time, so that an
// earlier request that timed out cannot arrive late and be counted as the refused
// one.
func TestNotRunMeansNotReceived(t *testing.T) { synctest.Test(t, checkNotRunMeansNotReceived) }

func checkNotRunMeansNotReceived(t *testing.T) {
	// The delayed reads of the fake server must end before the bubble does.
	t.Cleanup(func() { time.Sleep(time.Second) })
	// The struct hides the method Deadline, which is not allowed in a bubble.
	rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
		network := &fakes.Network{}
		server, placed := startServer(t, fakes.ServerOptions{ServiceTime: time.Millisecond, Listener: network.Listen()})
		defer func() { _ = server.Close() }()
		c := NewClientWithDialer(network.Dial)
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
