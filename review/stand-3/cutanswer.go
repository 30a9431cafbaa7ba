//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The case "cut-answer": a backend server sends answers without a length, which end with
// their connection. Single processes of entry hosts are killed while such answers pass.

const (
	// answerBytes is the length of each answer.
	answerBytes = 1 << 20
	// linkBytes is what reaches a client in a second: a third of a machine's link of
	// 20 Mbit/s, because three clients use each machine.
	linkBytes = 20_000_000 / 8 / 3
	// windowBytes is the receive buffer of a client, and readBytes what it reads at once.
	windowBytes = 64 << 10
	readBytes   = 8 << 10
	// clients send for playTime. One host is killed each killGap and started again.
	clients  = 24
	playTime = 24 * time.Second
	killGap  = 4 * time.Second
)

// bodyOf returns the answer to a request.
func bodyOf(id string) []byte {
	sum := sha256.Sum256([]byte(id))
	return bytes.Repeat(sum[:], answerBytes/len(sum))
}

// backend is a backend server. It sends whole answers without a length and then closes the
// connection.
type backend struct {
	id       string
	listener net.Listener
	record   *record
}

func newBackend(id string, r *record) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, listener: l, record: r}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance-Id: "+b.id+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	id := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != b.id {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: " + sealOf(b.id, id) + "\r\nConnection: close\r\n\r\n"
	if _, err := c.Write(append([]byte(head), bodyOf(id)...)); err != nil {
		b.record.printf("server %s: request %s: not sent whole: %v", b.id, id, errors.Unwrap(err))
		return
	}
	b.record.printf("server %s ran request %s and sent %d bytes without a length, then closed", b.id, id, answerBytes)
}

func sealOf(server, id string) string { return server + "." + id }

// received is what a client has got of an answer.
type received struct {
	status int
	header http.Header
	body   int
	whole  bool
	// framed is set if the head names a length or chunks, and end is how the answer ended:
	// nil if it was complete by the protocol.
	framed bool
	end    error
}

// send sends a request on a new connection and reads the answer at the rate of the link.
func send(address, id string) (received, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return received{}, err
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(windowBytes)
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := io.WriteString(c, "GET /records/"+id+" HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: "+id+"\r\nDeadline-Ms: 8000\r\n\r\n"); err != nil {
		return received{}, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(c, readBytes), &http.Request{Method: http.MethodGet})
	if err != nil {
		return received{}, err
	}
	a := received{status: response.StatusCode, header: response.Header, framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0}
	var body bytes.Buffer
	buffer := make([]byte, readBytes)
	began := time.Now()
	for {
		n, err := response.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			if !errors.Is(err, io.EOF) {
				a.end = err
			}
			break
		}
		// The link delivers the next bytes no sooner.
		time.Sleep(time.Until(began.Add(time.Duration(body.Len()) * time.Second / linkBytes)))
	}
	a.body, a.whole = body.Len(), bytes.Equal(body.Bytes(), bodyOf(id))
	return a, nil
}

func cutAnswer(r *record, trouble bool) int {
	d, err := newDeployment([]string{"bp-kelenfold", "bp-angyalfold", "bp-csepel", "bp-kobanya"}, settings{cores: 0.192, memory: 184, files: 4100, burst: 162})
	if err != nil {
		r.printf("not run: %v", err)
		return exitFailed
	}
	defer d.close()
	var servers []string
	for i := range 4 {
		b, err := newBackend(fmt.Sprintf("i-%d", i), r)
		if err != nil {
			r.printf("not run: %v", err)
			return exitFailed
		}
		servers = append(servers, b.id)
		d.store.put("servers/"+b.id, map[string]any{
			"Service": "artefact-vault", "Addr": b.listener.Addr().String(), "Zone": d.hosts[2*i].zone, "Version": "v1",
			"Slots": 3, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	d.store.put("op/config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "artefact-fetch", "Host": "review.example", "Prefix": "/records/", "Service": "artefact-vault", "Kind": "idempotent",
			"TimeoutMs": 8000, "TargetLatencyMs": 1500, "Priority": 2, "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "artefact-vault", "HealthPath": "/health", "MaxConns": 430}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	})
	if err := d.start(); err != nil {
		r.printf("not run: %v", err)
		return exitFailed
	}
	r.printf("%d hosts ready, servers %v", len(d.hosts), servers)
	return playCutAnswer(d, r, trouble)
}

func playCutAnswer(d *deployment, r *record, trouble bool) int {
	end := time.Now().Add(playTime)
	var (
		mu            sync.Mutex
		whole, broken int
		cut, failed   int
		group         sync.WaitGroup
	)
	for n := range clients {
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := "c" + strconv.Itoa(n) + "-" + strconv.Itoa(k)
				h := d.hosts[(n+k)%len(d.hosts)]
				r.printf("client: request %s sent to %s", id, h.name)
				a, err := send(h.address(d.hosts[0].ports.front), id)
				mu.Lock()
				switch {
				case err != nil:
					failed++
					r.printf("client: request %s to %s: no answer: %v", id, h.name, err)
				case a.status < 200 || a.status > 299:
					failed++
					r.printf("client: request %s to %s: status %d", id, h.name, a.status)
				case a.end != nil:
					cut++
					r.printf("client: request %s to %s: 200, %d of %d bytes, not complete: %v", id, h.name, a.body, answerBytes, a.end)
				case a.whole:
					whole++
					r.printf("client: request %s to %s: 200, whole", id, h.name)
				default:
					broken++
					r.printf("client: request %s to %s: MIXED: 200 with Server-Seal %q, length or chunks named: %t, ended without a reset after %d of %d bytes: a success with a body that isn't the server's whole body",
						id, h.name, a.header.Get("Server-Seal"), a.framed, a.body, answerBytes)
				}
				mu.Unlock()
				if err != nil {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	if trouble {
		for k := 0; time.Now().Add(killGap).Before(end); k++ {
			time.Sleep(killGap)
			h := d.hosts[k%len(d.hosts)]
			r.printf("SIGKILL to the process of %s", h.name)
			h.kill()
			time.Sleep(500 * time.Millisecond)
			if err := h.start(); err != nil {
				r.printf("not run: %v", err)
				return exitFailed
			}
		}
	}
	group.Wait()
	r.printf("answers: %d whole, %d cut visibly, %d short ones that look complete; %d requests without a success", whole, cut, broken, failed)
	switch {
	case broken > 0:
		return exitBroken
	case whole == 0:
		return exitFailed
	default:
		return exitHeld
	}
}
