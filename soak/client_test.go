package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// observations counts the answers that clients received and collects the
// guarantees that were violated.
type observations struct {
	// served counts answers with status 200, partial those of them without some
	// parts, refused answers with status 503, and failed all other statuses.
	served  atomic.Int64
	partial atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
	lastID  atomic.Int64

	mu         sync.Mutex
	violations []string
	// nonIdempotent maps the ids of non-idempotent requests to the statuses that
	// the client received; zero means no answer.
	nonIdempotent map[string]int
}

func (o *observations) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *observations) recordStatus(id string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nonIdempotent[id] = status
}

// client is one client. It sends all requests to one host until an answer has
// another status than 200 or the host closes the connection.
type client struct {
	d       *deployment
	o       *observations
	random  *rand.Rand
	http    *http.Client
	current *host
	// key is the key of the client's account; empty if it has none.
	key string
}

func newClient(d *deployment, o *observations, seed uint64) *client {
	return &client{d: d, o: o, random: rand.New(rand.NewPCG(seed, 1)), http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
	}}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch c.random.IntN(4) {
		case 0:
			c.querySingle()
		case 1:
			c.runOnce()
		default:
			c.gather()
		}
		sleepContext(ctx, time.Duration(c.random.IntN(20))*time.Millisecond)
	}
	c.http.CloseIdleConnections()
}

// The requests of the clients. Backend servers must get them unchanged, with a field that
// repeats the id.
const (
	soakHost   = "soak.example"
	headerCopy = "X-Copy"
	pathGather = "/all/x?a=%20b"
	pathSingle = "/one/x?a=%20b"
	pathOnce   = "/pay/x?a=%20b"
)

func gatherBody(id string) []byte { return []byte("gather for " + id) }

// isUnchanged reports whether a backend server got the request of a client with all that
// belongs to it.
func isUnchanged(r *http.Request, id string, body []byte) bool {
	if r.Host != soakHost || r.Header.Get(headerCopy) != id {
		return false
	}
	switch r.RequestURI {
	case pathGather:
		return r.Method == http.MethodPost && bytes.Equal(body, gatherBody(id))
	case pathSingle:
		return r.Method == http.MethodGet && len(body) == 0
	case pathOnce:
		return r.Method == http.MethodPost && len(body) > 0 && string(body) == strings.Repeat(id, len(body)/len(id))
	default:
		return false
	}
}

// requestTimeout is the deadline that clients send with each request.
const requestTimeout = 1500 * time.Millisecond

// answer is an answer to a client.
type answer struct {
	// status is zero if none arrived.
	status int
	header http.Header
	body   []byte
	// unframed is set if the body has neither a length nor chunks and ends with the
	// connection, so that the client knows that bytes may be missing.
	unframed bool
}

// isFrom reports whether an answer has the body that a backend server sent. An unframed
// answer may have lost its last bytes.
func (a answer) isFrom(sent []byte) bool {
	if a.unframed {
		return bytes.HasPrefix(sent, a.body)
	}
	return bytes.Equal(a.body, sent)
}

// send performs a request. After a failure the client picks another host.
func (c *client) send(method, path, id string, body []byte) answer {
	if c.current == nil {
		c.current = c.d.pickHost(c.random)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.current.address(portClients)+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	r.Host = soakHost
	r.Header.Set("Attempt-Id", id)
	if c.key != "" {
		r.Header.Set("Key", c.key)
		r.Header.Set("Tenant", "forged")
	}
	r.Header.Set(headerCopy, id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	response, err := c.http.Do(r)
	if err != nil {
		c.current = nil
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		c.current = nil
		return answer{}
	}
	if response.StatusCode != http.StatusOK || response.Close {
		c.current = nil
	}
	c.countStatus(response.StatusCode)
	return answer{
		status: response.StatusCode, header: response.Header, body: received,
		unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}
}

func (c *client) countStatus(status int) {
	switch status {
	case http.StatusOK:
		c.o.served.Add(1)
	case http.StatusServiceUnavailable:
		c.o.refused.Add(1)
	default:
		c.o.failed.Add(1)
	}
	if status == http.StatusNotFound || status == http.StatusBadRequest {
		c.o.addViolation("a valid request was answered with status %d", status)
	}
}

func (c *client) newID() string { return "id" + strconv.FormatInt(c.o.lastID.Add(1), 10) }

// gather queries all shards and checks that the answer merges exactly the parts
// that its header lists. It reports whether no part is missing.
func (c *client) gather() bool {
	id := c.newID()
	a := c.send(http.MethodPost, pathGather, id, gatherBody(id))
	if a.status != http.StatusOK {
		return false
	}
	if a.unframed {
		c.o.addViolation("request %s: the merged answer has no length", id)
	}
	var services []string
	seen := make(map[string]bool)
	for _, s := range partSeals(a.header) {
		service, owner, _ := strings.Cut(strings.TrimPrefix(s, "seal."), ".")
		if owner != id || seen[service] {
			c.o.addViolation("request %s: seal %s belongs to another request or occurs twice", id, s)
		}
		seen[service] = true
		services = append(services, service)
	}
	missing, _ := strconv.Atoi(a.header.Get("Missing-Parts"))
	if len(services)+missing != shards || float64(len(services)) < minShare*shards {
		c.o.addViolation("request %s: %d parts and %d missing parts for %d shards", id, len(services), missing, shards)
	}
	if !bytes.Equal(a.body, topRecords(services, id, topK)) {
		c.o.addViolation("request %s: the records are not the greatest ones of its parts", id)
	}
	if missing > 0 {
		c.o.partial.Add(1)
	}
	return missing == 0
}

// querySingle queries a single service.
func (c *client) querySingle() {
	id := c.newID()
	a := c.send(http.MethodGet, pathSingle, id, nil)
	if a.status == http.StatusOK && (a.header.Get("Server-Seal") != seal("single", id) || !a.isFrom(records("single", id))) {
		c.o.addViolation("request %s: the answer differs from the one of the backend server", id)
	}
}

// runOnce sends a non-idempotent request.
func (c *client) runOnce() {
	id := c.newID()
	payload := []byte(strings.Repeat(id, 1+c.random.IntN(600)))
	a := c.send(http.MethodPost, pathOnce, id, payload)
	if a.status == http.StatusOK && !a.isFrom([]byte("echo "+string(payload))) {
		c.o.addViolation("request %s: the answer differs from the one of the backend server", id)
	}
	c.o.recordStatus(id, a.status)
}
