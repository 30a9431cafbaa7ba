//go:build review

package main

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const hostName = "pupu76.example"

// attempt is what a client sent and got.
type attempt struct {
	id     string
	host   string
	sentAt time.Time
	took   time.Duration
	status int
	seal   string
	size   int
	err    error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// clients send requests at a steady rate to each host, on kept connections.
type clients struct {
	rec  *record
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	list []attempt
}

// startClients sends a request to each host in each interval until end. The secret is the key
// of the clients' account; empty if they have none.
func startClients(f *fleet, rec *record, path, secret string, interval time.Duration) *clients {
	c := &clients{rec: rec, stop: make(chan struct{})}
	for n, h := range f.hosts {
		transport := &http.Transport{MaxIdleConnsPerHost: 16, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
		client := &http.Client{Transport: transport, Timeout: 6 * time.Second}
		c.done.Go(func() {
			time.Sleep(interval * time.Duration(n) / time.Duration(len(f.hosts)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			var open sync.WaitGroup
			defer open.Wait()
			for {
				select {
				case <-ticker.C:
				case <-c.stop:
					return
				}
				open.Go(func() { c.add(send(client, h, path, secret)) })
			}
		})
	}
	return c
}

func (c *clients) add(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, a)
}

// end stops the clients and returns what they sent and got.
func (c *clients) end() []attempt {
	close(c.stop)
	c.done.Wait()
	return c.list
}

func send(client *http.Client, h *host, path, secret string) attempt {
	a := attempt{id: newID(), host: h.name, sentAt: time.Now()}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.at(h.ports.front)+path, http.NoBody)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Deadline-Ms", "6000")
	if secret != "" {
		r.Header.Set("Key", secret)
	}
	response, err := client.Do(r)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a.took, a.status, a.seal, a.size, a.err = time.Since(a.sentAt), response.StatusCode, response.Header.Get("Server-Seal"), len(content), err
	return a
}

// config returns a configuration with one route to one service.
func config(version int, service string) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-1", "Host": hostName, "Prefix": "/timi402/", "Kind": "idempotent", "Service": service,
			"TimeoutMs": 6000, "TargetLatencyMs": 600, "MaxAttempts": 2, "Priority": 2,
		}},
		"Services": []any{map[string]any{"Name": service, "MaxConns": 110, "ColdS": 0, "ColdPerS": 0, "HealthPath": "/health"}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	}
}
