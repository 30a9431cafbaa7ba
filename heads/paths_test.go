package heads_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"hyssophub/config"
	"hyssophub/dial"
	"hyssophub/fleet"
	"hyssophub/kvhttp"
	"hyssophub/peer"
	"hyssophub/platform"
	"hyssophub/relay"
	"hyssophub/shard"
	"hyssophub/store"
)

// goodAnswer follows each answer on its connection, unless a script says "alone". No path may take it for the answer to
// its request.
const goodAnswer = "HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length: 27\r\n\r\n{\"id\":7,\"StoreRevision\":12}"

// callTime is the time limit of a call, and promptTime that in which a call ends whose
// answer is none. The difference makes the test independent of the machine's speed.
const (
	callTime   = 20 * time.Second
	promptTime = 10 * time.Second
)

// path makes one call to the server at an address and reports whether it was answered.
type path struct {
	name string
	call func(ctx context.Context, address string) bool
}

var paths = []path{
	{"forward", func(ctx context.Context, address string) bool {
		client := dial.NewClient()
		defer client.Close()
		outcome := platform.NewBackend(client).Do(ctx, relay.BackendRequest{
			Choice:   fleet.Choice{Instance: fleet.Instance{ID: "i-1", Address: address}},
			Message:  &relay.Message{ID: "a", Method: http.MethodGet, URI: "/", Host: "a", Header: http.Header{}},
			Deadline: time.Now().Add(callTime),
		})
		_, ok := outcome.(relay.Answered)
		return ok
	}},
	{"search", func(ctx context.Context, address string) bool {
		client := dial.NewClient()
		defer client.Close()
		_, ok := client.Do(ctx, placed(address), shard.SubRequest{ID: 7, Deadline: time.Now().Add(callTime), Write: true}).(shard.Answered)
		return ok
	}},
	{"state", func(ctx context.Context, address string) bool {
		client := dial.NewClient()
		defer client.Close()
		_, err := client.State(ctx, placed(address))
		return err == nil
	}},
	{"store", func(ctx context.Context, address string) bool {
		store := platform.NewStore(address)
		defer store.Close()
		_, err := store.Wait(ctx, 1, callTime, callTime+time.Second)
		return err == nil
	}},
	{"kv", func(ctx context.Context, address string) bool {
		client := kvhttp.NewClient(address)
		defer client.Close()
		_, err := client.Get(ctx, "key")
		return err == nil
	}},
	{"host", func(ctx context.Context, address string) bool {
		client := peer.NewRelayClient()
		defer client.Close()
		_, err := client.Changes(ctx, address, store.Position{Revision: 1})
		return err == nil
	}},
}

func placed(address string) config.PlacedServer {
	return config.PlacedServer{Server: config.Server{Name: "i-1", Address: address}, Service: &config.Service{}}
}

// TestAnswersThatAreNone guards against bytes that are no answer in the protocol, or whose
// end is in doubt, being taken for an answer; against a call that waits for its time limit
// then; and against what follows them on the connection being taken for an answer. Each
// script holds an answer and what each path makes of it: "answered" or "failed", "late" if
// the call waited, and "hangs" if it did not end.
func TestAnswersThatAreNone(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			answer := strings.NewReplacer("\n", "", "$n", "\r\n", "$r", "\r", "$0", "\x00").Replace(d.Input)
			if !d.HasArg("alone") {
				answer += goodAnswer
			}
			var lines []string
			for _, p := range paths {
				lines = append(lines, p.name+": "+observe(t, p, answer))
			}
			return summarize(lines)
		})
	})
}

// summarize shortens the lines if all paths agree.
func summarize(lines []string) string {
	_, first, _ := strings.Cut(lines[0], ": ")
	for _, line := range lines {
		if _, result, _ := strings.Cut(line, ": "); result != first {
			return strings.Join(lines, "\n") + "\n"
		}
	}
	return "all: " + first + "\n"
}

func observe(t *testing.T, p path, answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveAnswer(conn, answer)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	start := time.Now()
	done := make(chan bool, 1)
	go func() { done <- p.call(ctx, listener.Addr().String()) }()
	result := "failed"
	select {
	case answered := <-done:
		if answered {
			result = "answered"
		}
	case <-time.After(callTime + promptTime):
		return "hangs"
	}
	if time.Since(start) > promptTime {
		result += " late"
	}
	return result
}

// serveAnswer answers the first request of a connection, and closes the connection when the
// client does.
func serveAnswer(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = fmt.Fprint(conn, answer)
	_, _ = reader.ReadByte()
}
