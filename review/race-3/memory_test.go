//go:build review

// Package race holds tests of the third review that fail under the race detector:
// go test -race -tags review ./review/race-3
package race

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssophub/dial"
	"hyssophub/fault"
)

// memory accepts all answers.
type memory struct{}

func (memory) Keep(int64) bool { return true }

// TestMemoryOfReusedConnection guards against a request that changes the fields of a
// connection which it has given back and which serves another request by then.
func TestMemoryOfReusedConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	client := dial.NewClient()
	address := server.Listener.Addr().String()
	head := "GET / HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 500 {
				_, _, _ = client.Forward(context.Background(), dial.ForwardRequest{
					Address: address, ConnLimit: 4, Method: http.MethodGet, Payload: []byte(head),
					Deadline: time.Now().Add(time.Second), Memory: memory{},
				})
			}
		})
	}
	group.Wait()
}

// counting accepts and counts all answers.
type counting struct{ kept *atomic.Int64 }

func (c counting) Keep(int64) bool { c.kept.Add(1); return true }

// TestEveryLargeAnswerIsKept counts the answers of more than 8 KiB that the memory of their
// request was not told of. It fails in some runs only.
func TestEveryLargeAnswerIsKept(t *testing.T) {
	body := strings.Repeat("x", 9<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	client := dial.NewClient()
	address := server.Listener.Addr().String()
	head := "GET / HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	var kept, answered, panics atomic.Int64
	var group sync.WaitGroup
	for range 64 {
		group.Go(func() {
			for range 5000 {
				func() {
					defer func() {
						if recover() != nil {
							panics.Add(1)
						}
					}()
					_, v, err := client.Forward(context.Background(), dial.ForwardRequest{
						Address: address, ConnLimit: 8, Method: http.MethodGet, Payload: []byte(head),
						Deadline: time.Now().Add(time.Second), Memory: counting{&kept},
					})
					if _, ran := v.(fault.Ran); ran && err == nil {
						answered.Add(1)
					}
				}()
			}
		})
	}
	group.Wait()
	t.Logf("answered %d kept %d panics %d", answered.Load(), kept.Load(), panics.Load())
	if answered.Load() != kept.Load() {
		t.Fail()
	}
}
