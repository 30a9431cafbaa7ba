package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the entry hosts, the same on all of them.
const (
	portClients   = 21104
	portReadiness = 21108
	portPeer      = 21106
	portMetrics   = 21380
	portHeartbeat = 21381
)

// host is an entry host: the real program as a process.
type host struct {
	name   string
	ip     string
	zone   string
	dir    string
	binary string
	// program is the command that runs the host, relay if it is empty.
	program string

	// memory is the memory of the host in MB, and descriptors the number of its file
	// descriptors; zero sets none.
	memory      int
	descriptors int

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	out     *os.File
	// listed reports whether the simulated balancer sends clients to the host.
	listed bool
	// failedChecks counts consecutive failed readiness checks.
	failedChecks int
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// configure writes the settings file.
func (h *host) configure(store string, seeds []string) error {
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "zone": h.zone, "front": h.address(portClients), "ready": h.address(portReadiness),
		"peer": h.address(portPeer), "stats": h.address(portMetrics), "beat": h.address(portHeartbeat),
		"cores": 0.4, "store": store, "seeds": seeds, "memory": h.memory, "files": h.descriptors, "rollouts": true,
		"stop":   map[string]any{"grace": 6},
		"caps":   map[string]any{"window": capWindow.Seconds(), "excess": capExcess, "slack": capSlack, "zones": []string{zoneName(0), zoneName(1), zoneName(2)}},
		"budget": map[string]any{"ratio": 0.2, "burst": 58, "window": 10},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(h.dir, h.name+".json"), settings, 0o600)
}

// start starts the program unless it is running: faults overlap, so that two of
// them may start the same host. The log is saved if the seed fails.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isRunning() {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.out = out
	h.process = exec.Command(h.binary, cmp.Or(h.program, "relay"), "--config", filepath.Join(h.dir, h.name+".json"))
	h.process.Stdout, h.process.Stderr = out, out
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
		_ = out.Close()
	}(h.process, h.exited)
	return nil
}

func (h *host) isRunning() bool {
	if h.exited == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// waitExit waits until the process has exited. It kills the process after the
// limit and then returns false.
func (h *host) waitExit(limit time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		h.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// checkReadiness checks the readiness of the host, as the balancer does: two
// failed checks in a row remove the host from the balancer's list.
func (h *host) checkReadiness(client *http.Client) {
	response, err := client.Get("http://" + h.address(portReadiness) + "/readiness")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.listed, h.failedChecks = true, 0
		return
	}
	if h.failedChecks++; h.failedChecks >= 2 {
		h.listed = false
	}
}

func (h *host) isListed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed
}
