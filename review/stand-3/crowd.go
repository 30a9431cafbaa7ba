//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "crowd": many clients send whole bodies of legal size and come again at once
// after each answer or closed connection. The stand-in of the platform kills a process that
// uses more memory than its machine has, and starts it again.

const (
	// crowdBody is the length of each body, below the operators' limit bodyLimit.
	crowdBody = 200_000
	bodyLimit = 262_144
	// crowdClients send to one host, crowdPause after the last answer, and go on to the next
	// one once the processes of the host have ended maxEnds times.
	crowdClients = 800
	crowdPause   = 5 * time.Millisecond
	crowdHosts   = 2
	crowdTime    = 100 * time.Second
	// processors is the number of processors that a process sees.
	processors = 4
	// restartDelay is the time after which a process that ended is started again.
	restartDelay = 500 * time.Millisecond
	// maxEnds is how often processes must end on each of crowdHosts machines to break the
	// rule.
	maxEnds = 3
	// ordinaryClients send the same bodies, one at a time, and wait as they are told.
	ordinaryClients = 4
)

// memoryOf returns the memory of a host in bytes: that of its process, and what has arrived
// for its address and is not read yet.
func memoryOf(h *host, unread map[string]int) int {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	line, _, _ := strings.Cut(after, "kB")
	kilobytes, _ := strconv.Atoi(strings.TrimSpace(line))
	return kilobytes<<10 + unread[h.ip]
}

// unreadBytes returns the bytes that have arrived and are not read, by local address.
func unreadBytes() map[string]int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	unread := make(map[string]int)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || len(fields[1]) < 8 {
			continue
		}
		address, err := strconv.ParseUint(fields[1][:8], 16, 32)
		if err != nil {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queued, 16, 64)
		unread[net.IPv4(byte(address), byte(address>>8), byte(address>>16), byte(address>>24)).String()] += int(bytes)
	}
	return unread
}

// legalBody is the longest body that the operators allow.
var legalBody = bytes.Repeat([]byte("x"), bodyLimit)

// post sends a body of a length and returns the status and the time to come back.
func post(address, id string, length int) (status int, retryAfter time.Duration, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /records/%s HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", id, id, length); err != nil {
		return 0, 0, err
	}
	// A host may answer before it has read the body.
	_, _ = c.Write(legalBody[:length])
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

// outcomes counts what clients have got.
type outcomes struct{ served, refused, failed, closed atomic.Int64 }

func (o *outcomes) add(status int, err error) {
	switch {
	case err != nil:
		o.closed.Add(1)
	case status == http.StatusOK:
		o.served.Add(1)
	case status == http.StatusServiceUnavailable:
		o.refused.Add(1)
	default:
		o.failed.Add(1)
	}
}

func (o *outcomes) String() string {
	return fmt.Sprintf("%d served, %d refused with 503, %d with another status, %d closed without an answer", o.served.Load(), o.refused.Load(), o.failed.Load(), o.closed.Load())
}

// crowdServer is a backend server that reads each body and answers after 20 ms.
func crowdServer(id string) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("Instance-Id", id)
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", attempt)
		if r.Header.Get("Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Server-Seal", id+"."+attempt)
		_, _ = io.WriteString(w, "answer to "+attempt)
	})}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// registration returns the entry of a server in the store.
func registration(address, zone string) map[string]any {
	return map[string]any{
		"Service": "artefact-vault", "Addr": address, "Zone": zone, "Version": "v1",
		"Slots": 3, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
	}
}

// configuration returns the operators' configuration.
func configuration() map[string]any {
	return map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "artefact-fetch", "Host": "review.example", "Prefix": "/records/", "Service": "artefact-vault", "Kind": "idempotent",
			"TimeoutMs": 8000, "TargetLatencyMs": 1500, "Priority": 2, "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "artefact-vault", "HealthPath": "/health", "MaxConns": 430}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": bodyLimit, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	}
}

func crowd(r *record, trouble bool) int {
	if runtime.NumCPU() < 2 {
		r.printf("not run: needs two processors")
		return exitFailed
	}
	machine := settings{cores: 0.192, memory: 184, files: 4100, burst: 162}
	d, err := newDeployment([]string{"bp-kelenfold", "bp-angyalfold", "bp-csepel", "bp-kobanya"}, machine)
	if err != nil {
		r.printf("not run: %v", err)
		return exitFailed
	}
	defer d.close()
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		_, address, err := crowdServer(id)
		if err != nil {
			r.printf("not run: %v", err)
			return exitFailed
		}
		d.store.put("servers/"+id, registration(address, d.hosts[2*i].zone))
	}
	d.store.put("op/config", configuration())
	for _, h := range d.hosts {
		h.processors = processors
	}
	if err := d.start(); err != nil {
		r.printf("not run: %v", err)
		return exitFailed
	}
	r.printf("%d hosts ready, %d MB each", len(d.hosts), machine.memory)
	return playCrowd(d, r, machine.memory<<20, trouble)
}

func playCrowd(d *deployment, r *record, limit int, trouble bool) int {
	end := time.Now().Add(crowdTime)
	var over atomic.Bool
	// pressed is the host to which the crowd sends.
	var pressed atomic.Int64
	var ordinary, pressing outcomes
	var group sync.WaitGroup
	for n := range ordinaryClients {
		group.Go(func() {
			for k := 0; !over.Load(); k++ {
				id := fmt.Sprintf("o%d-%d", n, k)
				status, retryAfter, err := post(d.hosts[n%len(d.hosts)].address(d.hosts[0].ports.front), id, crowdBody)
				ordinary.add(status, err)
				time.Sleep(max(50*time.Millisecond, retryAfter))
			}
		})
	}
	if trouble {
		r.printf("%d clients send bodies of %d bytes to a host and come again", crowdClients, crowdBody)
		for n := range crowdClients {
			group.Go(func() {
				for k := 0; !over.Load(); k++ {
					status, _, err := post(d.hosts[pressed.Load()].address(d.hosts[0].ports.front), fmt.Sprintf("c%d-%d", n, k), crowdBody)
					pressing.add(status, err)
					time.Sleep(crowdPause)
				}
			})
		}
	}
	code := watchMemory(d, r, limit, end, &pressed)
	over.Store(true)
	group.Wait()
	r.printf("ordinary clients: %s", &ordinary)
	r.printf("crowd: %s", &pressing)
	if code == exitHeld && ordinary.served.Load() == 0 {
		return exitFailed
	}
	return code
}

// watchMemory kills and restarts hosts that use more memory than their machine has, until
// the rule is broken or the time is over.
func watchMemory(d *deployment, r *record, limit int, end time.Time, pressed *atomic.Int64) int {
	ends, peaks := make([]int, len(d.hosts)), make([]int, len(d.hosts))
	restartAt := make([]time.Time, len(d.hosts))
	code := exitHeld
	for now := time.Now(); now.Before(end) && code == exitHeld; now = time.Now() {
		unread := unreadBytes()
		for i, h := range d.hosts {
			switch {
			case !restartAt[i].IsZero() && now.After(restartAt[i]):
				restartAt[i] = time.Time{}
				if err := h.start(); err != nil {
					r.printf("not run: %v", err)
					return exitFailed
				}
			case restartAt[i].IsZero():
				memory := memoryOf(h, unread)
				peaks[i] = max(peaks[i], memory)
				if memory > limit {
					h.kill()
					ends[i]++
					restartAt[i] = now.Add(restartDelay)
					r.printf("%s uses %d MB of %d, %d MB of them not read yet: killed", h.name, memory>>20, limit>>20, unread[h.ip]>>20)
				}
			}
		}
		broken := 0
		for _, n := range ends {
			if n >= maxEnds {
				broken++
			}
		}
		pressed.Store(int64(min(broken, crowdHosts-1)))
		if broken >= crowdHosts {
			code = exitBroken
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i, h := range d.hosts {
		r.printf("%s: %d MB at most, ended %d times for its memory", h.name, peaks[i]>>20, ends[i])
	}
	return code
}
