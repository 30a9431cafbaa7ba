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
	"strconv"
	"syscall"
	"time"
)

// ports are those of a day: the same on all hosts, each of which has an address of its own.
type ports struct{ front, ready, peer, stats, beat int }

// freePorts returns ports that are free on all given addresses.
func freePorts(ips []string) (ports, error) {
	var list []int
	for len(list) < 5 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			at := net.JoinHostPort(ip, strconv.Itoa(port))
			t, errT := net.Listen("tcp", at)
			u, errU := net.ListenPacket("udp", at)
			free = free && errT == nil && errU == nil
			if errT == nil {
				_ = t.Close()
			}
			if errU == nil {
				_ = u.Close()
			}
		}
		if free {
			list = append(list, port)
		}
	}
	return ports{front: list[0], ready: list[1], peer: list[2], stats: list[3], beat: list[4]}, nil
}

// host is an entry host: the project's own program as the deploy file starts it.
type host struct {
	name, zone, ip string
	ports          ports
	dir            string
	// caps are the settings for the caps of client accounts; nil for none.
	caps    map[string]any
	process *exec.Cmd
	exited  chan struct{}
}

func (h *host) at(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// file returns the path of the settings file.
func (h *host) file() string { return filepath.Join(h.dir, h.name+".json") }

// configure writes what deploy/settings.json renders for the settings of a small deployment.
func (h *host) configure(storeAddress string, seeds []string, first bool) error {
	settings := map[string]any{
		"name": h.name, "zone": h.zone, "front": h.at(h.ports.front), "ready": h.at(h.ports.ready), "peer": h.at(h.ports.peer),
		"stats": h.at(h.ports.stats), "beat": h.at(h.ports.beat), "cores": 0.4, "store": storeAddress, "seeds": seeds,
		"memory": 284, "files": 4100, "report": 1.2, "first": first, "rollouts": false,
		"stop": map[string]any{"grace": 6}, "budget": map[string]any{"ratio": 0.2, "burst": 58, "window": 10},
	}
	if h.caps != nil {
		settings["caps"] = h.caps
		settings["accounts"] = map[string]any{"strict": false, "bound": 5}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.file(), data, 0o600)
}

// start writes the settings and starts the program.
func (h *host) start(storeAddress string, seeds []string, first bool) error {
	if err := h.configure(storeAddress, seeds, first); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command("target/hyssophub", "relay", "--config", h.file())
	h.process.Stdout, h.process.Stderr = out, out
	// The process ends with this one, whatever happens.
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
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

func (h *host) signal(s syscall.Signal) { _ = h.process.Process.Signal(s) }

func (h *host) end() {
	if h.process == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.at(h.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// fleet is a small deployment: hosts in four zones, the store behind a proxy, and the
// backend servers.
type fleet struct {
	dir      string
	store    *store
	link     *proxy
	hosts    []*host
	seeds    []string
	backends []*backend
	arrivals *arrivals
	// caps are the settings for the caps of client accounts; nil for none.
	caps map[string]any
	// spares are the addresses of machines that may be added.
	spares []string
}

// zones are the zones, with the number of hosts in each.
var zones = []struct {
	name  string
	hosts int
}{{"skane-a", 3}, {"skane-b", 2}, {"skane-c", 2}, {"skane-d", 2}}

func newFleet(dir string) (*fleet, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	link, err := newProxy(s.address())
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: s, link: link, arrivals: &arrivals{}}
	var ips []string
	// Runs beside each other use different addresses of the loopback range.
	net16 := 16 + os.Getpid()%200
	for z, zone := range zones {
		for n := range zone.hosts {
			ip := fmt.Sprintf("127.%d.%d.%d", net16, z+1, n+1)
			ips = append(ips, ip)
			f.hosts = append(f.hosts, &host{name: fmt.Sprintf("front-%s-%d", zone.name, n+1), zone: zone.name, ip: ip, dir: dir})
		}
	}
	for n := range 3 {
		f.spares = append(f.spares, fmt.Sprintf("127.%d.9.%d", net16, n+1))
	}
	p, err := freePorts(append(ips, f.spares...))
	if err != nil {
		return nil, err
	}
	for _, h := range f.hosts {
		h.ports = p
	}
	f.seeds = []string{f.hosts[0].at(p.peer), f.hosts[3].at(p.peer), f.hosts[5].at(p.peer)}
	return f, nil
}

func (f *fleet) addBackend(id, service, zone string) (*backend, error) {
	b, err := newBackend(id, service, zone, f.arrivals)
	if err == nil {
		f.backends = append(f.backends, b)
	}
	return b, err
}

// start starts all hosts and waits until they are ready.
func (f *fleet) start() error {
	for _, h := range f.hosts {
		h.caps = f.caps
		if err := h.start(f.link.address(), f.seeds, true); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready after 20 s", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) end() {
	for _, h := range f.hosts {
		h.end()
	}
}
