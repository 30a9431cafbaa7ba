//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// answerSize is the size in bytes of the answers without a length. The pages set none; it is
// that of the greatest request, BodyBytes.
const answerSize = 256 << 10

// playUnframedKill kills a host while it passes on an answer without a length to a client
// on a slow link. A success with less than the server's body, whose connection ends as after
// a complete answer, breaks MIXED.
func playUnframedKill(f *fleet, rec *record, trouble bool) (bool, error) {
	f.store.put("op/config", config(1, "gowu98c"))
	for n, zone := range []string{"skane-a", "skane-a", "skane-b", "skane-b", "skane-c", "skane-d"} {
		b, err := f.addBackend("i-"+string(rune('a'+n)), "gowu98c", zone)
		if err != nil {
			return false, err
		}
		b.unframed = answerSize
		b.register(f.store)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	rec.say("all hosts are ready")
	time.Sleep(5 * time.Second)
	return fetchSlowly(rec, f.hosts[1], trouble)
}

// fetchSlowly sends a request to a host over a slow link, kills the host while the answer is
// on its way, and reports whether the client takes a part of the body for the whole.
func fetchSlowly(rec *record, h *host, trouble bool) (bool, error) {
	link, err := newProxy(h.at(h.ports.front))
	if err != nil {
		return false, err
	}
	// 100 kB a second.
	link.pace, link.piece = 10*time.Millisecond, 1000
	conn, err := net.Dial("tcp", link.address())
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	id := newID()
	sentAt := time.Now()
	rec.add(sentAt, "request %s is sent to %s", id, h.name)
	_, _ = fmt.Fprintf(conn, "GET /timi402/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 6000\r\n\r\n", hostName, id)
	_ = conn.SetReadDeadline(sentAt.Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		rec.say("request %s has no answer: %v", id, err)
		return false, err
	}
	rec.add(time.Now(), "the head of the answer arrives: %d, seal %q, length %d, transfer coding %v", response.StatusCode, response.Header.Get("Server-Seal"), response.ContentLength, response.TransferEncoding)
	if trouble {
		time.AfterFunc(300*time.Millisecond, func() {
			rec.add(time.Now(), "%s is killed", h.name)
			h.signal(syscall.SIGKILL)
		})
	}
	content, err := io.ReadAll(response.Body)
	rec.say("request %s at %s: %d with %d of %d bytes after %d ms, error at its end: %v", id, h.name, response.StatusCode, len(content), answerSize, time.Since(sentAt).Milliseconds(), err)
	isSuccess := response.StatusCode == 200 && response.Header.Get("Server-Seal") != ""
	return isSuccess && err == nil && len(content) < answerSize, nil
}
