//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// deployment is the store, the backend servers and the entry hosts of a case.
type deployment struct {
	binary string
	dir    string
	// port is the first of the ports that all hosts listen on.
	port    int
	started time.Time
	store   *store
	hosts   []*host
	servers []*server

	mu     sync.Mutex
	record *os.File
	closed bool
}

// Offsets of the ports of a host from deployment.port.
const (
	offsetClients = iota
	offsetReady
	offsetPeer
	offsetStats
	offsetBeat
	offsetServer
	portCount
)

// storeIP and the addresses of hosts and servers are loopback addresses.
const storeIP = "127.61.0.1"

func newDeployment(binary, record string) (*deployment, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{binary: binary, dir: dir, started: time.Now(), record: file}
	if d.port, err = freePorts(); err != nil {
		return nil, err
	}
	if d.store, err = newStore(d.address(storeIP, offsetClients)); err != nil {
		return nil, err
	}
	return d, nil
}

// freePorts returns the first port of a range that is free on the store's address.
func freePorts() (int, error) {
	for range 50 {
		first := 20000 + rand.IntN(1000)*portCount
		if isFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func isFree(first int) bool {
	for offset := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", first+offset))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, d.port+offset)
}

// note writes a line with the time since the start to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(d.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(d.record, line)
}

// close ends all processes that the case started.
func (d *deployment) close() {
	d.mu.Lock()
	closed := d.closed
	d.closed = true
	d.mu.Unlock()
	if closed {
		return
	}
	for _, h := range d.hosts {
		h.kill()
	}
	for _, s := range d.servers {
		s.close()
	}
	d.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// host is an entry host: the real program as a process.
type host struct {
	d    *deployment
	name string
	zone string
	ip   string

	process *exec.Cmd
	exited  chan struct{}
}

// addHost adds an entry host to a zone, which is a number from 1.
func (d *deployment) addHost(zone, number int) *host {
	h := &host{d: d, name: fmt.Sprintf("entry-%s-%d", zoneName(zone), number), zone: zoneName(zone), ip: fmt.Sprintf("127.61.%d.%d", zone, number)}
	d.hosts = append(d.hosts, h)
	return h
}

func zoneName(zone int) string { return "zone-" + string(rune('a'+zone-1)) }

// start writes the settings as the template of the deploy file gives them and starts
// the process.
func (h *host) start() error {
	d := h.d
	var seeds []string
	for _, other := range d.hosts[:min(3, len(d.hosts))] {
		seeds = append(seeds, d.address(other.ip, offsetPeer))
	}
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "zone": h.zone,
		"front": d.address(h.ip, offsetClients), "ready": d.address(h.ip, offsetReady), "peer": d.address(h.ip, offsetPeer),
		"stats": d.address(h.ip, offsetStats), "beat": d.address(h.ip, offsetBeat),
		"cores": 0.4, "store": d.store.address, "seeds": seeds, "memory": 284, "first": false,
		"stop":   map[string]any{"grace": 6},
		"budget": map[string]any{"ratio": 0.2, "burst": 58, "window": 10},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, h.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command(d.binary, "relay", "--config", path)
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(h.process)
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.process.Process.Signal(s) }

// kill ends the process and waits for its end.
func (h *host) kill() {
	if h.process == nil || h.process.Process == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// startAll starts all hosts and waits until they are ready.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + h.d.address(h.ip, offsetReady) + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			h.d.note("host %s is ready", h.name)
			return nil
		}
	}
	return fmt.Errorf("host %s did not become ready", h.name)
}
