package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"hyssophub/props"
)

// The tests of this file run one host against a crowd of clients that do not keep to
// the protocol, or keep to it and hold many requests open. Each guards against a process
// that ends, that uses more memory or descriptors than its machine has, or that answers
// no ordinary request any more. The crowds and bounds are in testdata/crowds. The tests
// run apart from other packages, see .ci/run.

func TestCrowdWholeBodies(t *testing.T)      { runCrowd(t, "whole") }
func TestCrowdShortBodies(t *testing.T)      { runCrowd(t, "short") }
func TestCrowdOneChunk(t *testing.T)         { runCrowd(t, "chunk") }
func TestCrowdSmallChunks(t *testing.T)      { runCrowd(t, "chunks") }
func TestCrowdLargeHeads(t *testing.T)       { runCrowd(t, "heads") }
func TestCrowdEndlessHeads(t *testing.T)     { runCrowd(t, "endless") }
func TestCrowdEmptyLines(t *testing.T)       { runCrowd(t, "lines") }
func TestCrowdSilent(t *testing.T)           { runCrowd(t, "silent") }
func TestCrowdUnreadAnswers(t *testing.T)    { runCrowd(t, "unread") }
func TestCrowdPipelined(t *testing.T)        { runCrowd(t, "pipelined") }
func TestCrowdOnHostListener(t *testing.T)   { runCrowd(t, "hosts") }
func TestCrowdOnOtherListeners(t *testing.T) { runCrowd(t, "others") }
func TestCrowdOfLegalBodies(t *testing.T)    { runCrowd(t, "burst") }
func TestCrowdTinyChunks(t *testing.T)       { runCrowd(t, "tiny") }
func TestCrowdBigChunks(t *testing.T)        { runCrowd(t, "big") }
func TestCrowdUnread(t *testing.T)           { runCrowd(t, "backlog") }
func TestCrowdComesAgain(t *testing.T)       { runCrowd(t, "again") }
func TestCrowdChangesKind(t *testing.T)      { runCrowd(t, "change") }
func TestCrowdOnAllListeners(t *testing.T)   { runCrowd(t, "listeners") }
func TestCrowdDrawn(t *testing.T)            { runCrowd(t, "drawn") }
func TestCrowdOnServe(t *testing.T)          { runCrowd(t, "serve") }

// Addresses of the tests of crowds on the network of the run, apart from those of the
// soak, and the limit on connections to a server, which admits a burst although the host expects others.
const (
	crowdStore       = "0.1:21902"
	crowdHost        = "20.1"
	crowdServerPort  = 23000
	crowdConnections = 1200
)

const (
	// crowdWrite bounds the time in which a client of a crowd sends its bytes. A host
	// that reads nothing ends it.
	crowdWrite = 5 * time.Second
	// crowdStart is the time for the start of a host, and answerTime that for an
	// ordinary request. They are far above what a host needs.
	crowdStart = 20 * time.Second
	answerTime = 20 * time.Second
	// crowdHold is the time for which the connections of a crowd stay open before the
	// check, so that a busy host accepts them and reads what was sent.
	crowdHold = 3 * time.Second
	// sampleInterval is the time between two counts of the open descriptors.
	sampleInterval = 20 * time.Millisecond
)

// crowd is the state of one script.
type crowd struct {
	deployment *deployment
	host       *host
	conns      []net.Conn
	// kinds are the messages of clients that come again, which over ends.
	kinds   map[string]func(io.Writer)
	clients sync.WaitGroup
	over    chan struct{}
	// ask sends one ordinary request.
	ask func() error
	// peakFiles is the greatest number of descriptors that the process had open.
	peakFiles int
	// peakMemory is the greatest sum of the memory of the process and of what the kernel
	// holds for its connections, peakQueued the greatest of the latter, in bytes.
	peakMemory, peakQueued int
}

func runCrowd(t *testing.T, name string) {
	c := &crowd{kinds: make(map[string]func(io.Writer)), over: make(chan struct{})}
	datadriven.RunTest(t, filepath.Join("testdata", "crowds", name), func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "start":
			c.start(t, int(props.Number(t, d, "memory")), int(props.Number(t, d, "files")), int(props.Number(t, d, "body")))
		case "serve":
			c.startServe(t)
		case "crowd":
			c.send(t, d)
		case "kind":
			c.kinds[props.Text(t, d, "name")] = crowdMessage(t, d)
		case "repeat":
			kinds, _ := d.Arg("kinds")
			c.startRepeats(props.Text(t, d, "to"), int(props.Number(t, d, "count")), int(props.Number(t, d, "from")), kinds.Vals)
		case "play":
			c.play(t, d)
			return "ok\n"
		case "end":
			c.endRepeats()
		case "check":
			return c.check(t, int(props.Number(t, d, "memory")), int(props.Number(t, d, "files")))
		case "burst":
			return c.burst(t, int(props.Number(t, d, "count")), int(props.Number(t, d, "body")))
		default:
			d.Fatalf(t, "unknown command")
		}
		return ""
	})
}

// start starts a host with the given memory in MB and number of descriptors, and the
// operators' limit on bodies in bytes.
func (c *crowd) start(t *testing.T, memory, files, body int) {
	binary := buildProgram(t)
	d := &deployment{t: t, executions: &executions{runs: make(map[string]int)}, servers: make(map[string]*server), port: crowdServerPort, bodyLimit: body, connections: crowdConnections}
	var err error
	d.store, err = newStore(loopback(crowdStore))
	require.NoError(t, err)
	for range zones {
		d.addServer("single", zoneName(0))
	}
	d.writeRules()
	t.Cleanup(func() {
		for _, s := range d.serverList() {
			s.close()
		}
		d.store.close()
	})
	c.deployment = d
	c.launch(t, &host{name: "host-0-0", ip: loopback(crowdHost), zone: zoneName(0), dir: t.TempDir(), binary: binary, memory: memory, descriptors: files}, nil)
}

// launch starts a host of the deployment and waits until it serves.
func (c *crowd) launch(t *testing.T, h *host, seeds []string) {
	c.host, c.ask = h, c.ordinary
	require.NoError(t, h.configure(loopback(crowdStore), seeds))
	require.NoError(t, h.start())
	t.Cleanup(func() { c.close() })
	require.Eventually(t, func() bool { return c.ask() == nil }, crowdStart, 50*time.Millisecond, "the host serves")
}

func buildProgram(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "hyssophub")
	require.NoError(t, exec.Command("go", "build", "-o", binary, "hyssophub/cmd/hyssophub").Run())
	return binary
}

// close ends all clients of the crowd, and the host.
func (c *crowd) close() {
	c.endRepeats()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.host.signal(syscall.SIGKILL)
	c.host.waitExit(time.Second)
}

// ports are the listeners of a host by their names in the scripts.
var ports = map[string]int{"clients": portClients, "hosts": portPeer, "readiness": portReadiness, "admin": portReadiness, "metrics": portMetrics}

// send opens connections, sends the input of the command on each, and returns when all
// are done or the host has closed them. The connections stay open.
func (c *crowd) send(t *testing.T, d *datadriven.TestData) {
	count, addresses := int(props.Number(t, d, "count")), 0
	d.MaybeScanArgs(t, "from", &addresses)
	address := c.host.address(ports[props.Text(t, d, "to")])
	message := crowdMessage(t, d)
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	done := make(chan struct{})
	for client := range count {
		dialer := net.Dialer{Timeout: crowdWrite, LocalAddr: crowdAddress(client, addresses)}
		group.Go(func() {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			mu.Lock()
			c.conns = append(c.conns, conn)
			mu.Unlock()
			message(limitWrites(conn))
		})
	}
	go func() { group.Wait(); close(done) }()
	for {
		c.sample(t)
		select {
		case <-done:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// crowdMessage returns what a client of a crowd writes: the input of the command, with
// "$n" for the end of a line, and then a body or a block without end.
func crowdMessage(t *testing.T, d *datadriven.TestData) func(io.Writer) {
	head := strings.ReplaceAll(strings.ReplaceAll(d.Input, "\n", ""), "$n", "\r\n")
	switch {
	case d.HasArg("endless"):
		size := int(props.Number(t, d, "endless"))
		head, block, _ := strings.Cut(head, "$repeat")
		blocks := strings.Repeat(block, max(1, blockRepeats/len(block)*1024))
		return func(w io.Writer) {
			_, err := io.WriteString(w, head)
			for sent := 0; err == nil && sent < size; sent += len(blocks) {
				_, err = io.WriteString(w, blocks)
			}
		}
	case d.HasArg("body"):
		size := int(props.Number(t, d, "body"))
		body := bytes.Repeat([]byte("x"), size)
		if d.HasArg("chunk") {
			body = chunked(body, int(props.Number(t, d, "chunk")))
		}
		return func(w io.Writer) {
			if _, err := io.WriteString(w, head); err == nil {
				_, _ = w.Write(body)
			}
		}
	default:
		times := 1
		if d.HasArg("times") {
			times = int(props.Number(t, d, "times"))
		}
		all := strings.Repeat(head, times)
		return func(w io.Writer) { _, _ = io.WriteString(w, all) }
	}
}

// chunked encodes a body in chunks of the given size, without the last, empty one. The
// last byte of the body is announced and not sent.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.Bytes()[:b.Len()-len("x\r\n")]
}

// sample updates the peaks.
func (c *crowd) sample(t *testing.T) {
	pid := c.host.process.Process.Pid
	files, inodes := openFiles(pid)
	c.peakFiles = max(c.peakFiles, files)
	queued, err := queuedBytes(c.host.ip, inodes)
	require.NoError(t, err)
	c.peakQueued = max(c.peakQueued, queued)
	c.peakMemory = max(c.peakMemory, queued+residentMemory(pid))
}

// check requires that the process lives and that it and the kernel's queues have kept
// within the bounds, and that one ordinary request is answered while the crowd's
// connections are open.
func (c *crowd) check(t *testing.T, memory, files int) string {
	for end := time.Now().Add(crowdHold); time.Now().Before(end); sleep(sampleInterval) {
		c.sample(t)
	}
	require.Eventually(t, func() bool { return !c.host.isRunning() || c.ask() == nil }, answerTime, 100*time.Millisecond, "an ordinary request is answered")
	c.sample(t)
	peak := c.host.peakMemory()
	t.Logf("peak memory %d MB, with the kernel's queues %d MB (%d MB of queues at most) of %d, descriptors %d of %d", peak>>20, c.peakMemory>>20, c.peakQueued>>20, memory, c.peakFiles, files)
	require.Positive(t, peak, "the process lives")
	require.LessOrEqual(t, c.peakMemory, memory<<20, "peak memory with the kernel's queues in bytes")
	require.LessOrEqual(t, peak, memory<<20, "peak memory in bytes")
	require.LessOrEqual(t, c.peakFiles, files, "open descriptors")
	return "ok\n"
}

// ordinary sends one request on a connection of its own.
func (c *crowd) ordinary() error {
	status, err := c.request("ordinary", http.MethodGet, pathSingle, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

func (c *crowd) request(id, method, path string, body []byte) (int, error) {
	client := &http.Client{Timeout: crowdWrite, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+c.host.address(portClients)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = soakHost
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(crowdWrite.Milliseconds(), 10))
	request.Header.Set(headerCopy, id)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	reason, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s", reason)
	}
	return response.StatusCode, err
}

// burst sends bodies within the limits, all at once, and requires an answer to each.
func (c *crowd) burst(t *testing.T, count, size int) string {
	body := bytes.Repeat([]byte("x"), size)
	results := make([]string, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			status, err := c.request("burst-"+strconv.Itoa(i), http.MethodPost, pathOnce, body)
			if err != nil || status != http.StatusOK {
				results[i] = fmt.Sprintf("request %d: status %d, %v", i, status, err)
			}
		})
	}
	group.Wait()
	for _, r := range results {
		require.Empty(t, r)
	}
	return "ok\n"
}
