//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of the entry hosts, the same on all of them.
type ports struct{ front, ready, peer, stats, beat int }

// freePorts returns ports that are free on all the addresses.
func freePorts(ips []string) (ports, error) {
	var found []int
	for port := 20000 + os.Getpid()%8000; len(found) < 5 && port < 32000; port++ {
		if isFree(ips, port) {
			found = append(found, port)
		}
	}
	if len(found) < 5 {
		return ports{}, fmt.Errorf("no free ports")
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func isFree(ips []string, port int) bool {
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}

// host is an entry host: the project's program as a process.
type host struct {
	name, ip, zone string
	dir            string
	ports          ports
	// processors is the number of processors that the process uses; zero for all.
	processors int

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// settings are the figures of a machine.
type settings struct {
	cores         float64
	memory, files int
	// burst is the burst of the budget of extra requests.
	burst float64
}

// configure writes the settings file as the template of the deploy file does.
func (h *host) configure(store string, seeds []string, m settings) error {
	data, err := json.Marshal(map[string]any{
		"name": h.name, "zone": h.zone, "front": h.address(h.ports.front), "ready": h.address(h.ports.ready),
		"peer": h.address(h.ports.peer), "stats": h.address(h.ports.stats), "beat": h.address(h.ports.beat),
		"cores": m.cores, "store": store, "seeds": seeds, "memory": m.memory, "files": m.files,
		"report": 1.2, "first": true, "rollouts": false,
		"stop":   map[string]any{"grace": 6},
		"budget": map[string]any{"ratio": 0.2, "burst": m.burst, "window": 10},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(h.file(), data, 0o600)
}

func (h *host) file() string { return filepath.Join(h.dir, h.name+".json") }

// start starts the program with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command("target/hyssophub", "relay", "--config", h.file())
	if h.processors > 0 {
		h.process.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", h.processors))
	}
	h.process.Stdout, h.process.Stderr = out, out
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(exited)
	}(h.process, h.exited)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isReady asks for the readiness of the host, as the platform does.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.address(h.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		all := true
		for _, h := range hosts {
			all = all && h.isReady()
		}
		if all {
			return true
		}
	}
	return false
}
