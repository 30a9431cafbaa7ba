package dial

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fault"
)

// scriptedServer answers each request with the next of the answers and returns its
// address. At an empty answer it closes the connection without a response.
func scriptedServer(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	close(next)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, next)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, next <-chan string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = request.Body.Close()
		answer := <-next
		if answer == "" {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		if strings.HasPrefix(answer, unframed) {
			return
		}
	}
}

// unframed begins an answer after which the server closes the connection.
const unframed = "HTTP/1.1 200 OK\r\nUnframed: 1\r\n"

func forward(t *testing.T, c *Client, address string) (Reply, fault.Verdict, error) {
	t.Helper()
	return c.Forward(context.Background(), ForwardRequest{
		Address:  address,
		Method:   http.MethodGet,
		Payload:  []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		Deadline: time.Now().Add(time.Second),
	})
}

// complete is an answer with a length.
const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestForwardAnswers guards against answers that are accepted although they are
// incomplete, and against connections that are used again with unread bytes.
func TestForwardAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		body   string
		fails  bool
		// reused says that the next request goes over the same connection.
		reused bool
	}{
		{"whole", complete, "ok", false, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, true},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"extra bytes", complete + complete, "ok", false, false},
		{"unframed", unframed + "\r\nok", "ok", false, false},
		{"no status line", "nonsense\r\n\r\n", "", true, false},
		{"continue first", "HTTP/1.1 100 Continue\r\n\r\n" + complete, "ok", false, true},
		{"no answer", "", "", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := scriptedServer(t, c.answer, complete)
			client := NewClient()
			defer client.Close()
			reply, verdict, err := forward(t, client, address)
			if c.fails {
				require.Error(t, err)
				require.Equal(t, fault.MayHaveRun{}, verdict)
			} else {
				require.NoError(t, err)
				require.Equal(t, c.body, string(reply.Body))
			}
			reply, _, err = forward(t, client, address)
			require.NoError(t, err)
			require.Equal(t, c.reused, reply.Reused)
			require.Equal(t, "ok", string(reply.Body))
		})
	}
}

// TestForwardTruncated guards against accepting a body that is shorter than its
// announced length.
func TestForwardTruncated(t *testing.T) {
	address := scriptedServer(t, unframed+"Content-Length: 10\r\n\r\nok")
	client := NewClient()
	defer client.Close()
	_, verdict, err := forward(t, client, address)
	require.Error(t, err)
	require.Equal(t, fault.MayHaveRun{}, verdict)
}

// TestForwardRefused guards against a verdict other than NotRun when the connection
// was refused, so that nothing was written.
func TestForwardRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := NewClient()
	defer client.Close()
	_, verdict, err := forward(t, client, address)
	require.Error(t, err)
	require.Equal(t, fault.NotRun{}, verdict)
}

// TestForwardStale guards against a reused connection that the server closes
// without an answer and that is reported as a failure of the server, or as a proof
// that the request did not run.
func TestForwardStale(t *testing.T) {
	address := scriptedServer(t, complete, "")
	client := NewClient()
	defer client.Close()
	_, _, err := forward(t, client, address)
	require.NoError(t, err)
	_, verdict, err := forward(t, client, address)
	require.ErrorIs(t, err, ErrStale)
	require.Equal(t, fault.MayHaveRun{}, verdict)
}

// TestForwardEarlyAnswer guards against using a connection again while a long body
// is still being written: the server would read the rest of the body as the next
// request.
func TestForwardEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	}()
	client := NewClient()
	defer client.Close()
	payload := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat("x", 16<<20)
	reply, _, err := client.Forward(context.Background(), ForwardRequest{
		Address:  listener.Addr().String(),
		Method:   http.MethodPost,
		Payload:  []byte(payload),
		Deadline: time.Now().Add(5 * time.Second),
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Zero(t, client.poolAt(listener.Addr().String(), 0).OpenCount())
}
