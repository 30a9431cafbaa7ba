//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the case: requests before the evacuation, and its length.
const (
	bodyBefore  = 5 * time.Second
	bodyTrouble = 8 * time.Second
)

func init() { cases["body"] = runBody }

// runBody sends gathered requests with a body to a host of zone-a, whose zone is then
// evacuated. Each server must get the body that the client sent.
func runBody(d *deployment, trouble bool) (bool, error) {
	var services []string
	for i := range 8 {
		services = append(services, fmt.Sprintf("shard-%d", i+1))
	}
	for zone := 1; zone <= 2; zone++ {
		for _, s := range services {
			if _, err := d.addServer(s, zone, 2, 5*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	for _, s := range d.servers {
		d.store.apply(write{s.key(), s.registration("ready", 1)})
	}
	d.store.apply(write{"op/config", configuration(1, []map[string]any{
		gatherRoute("search", services, 5, 0.75, 150*time.Millisecond, 1500*time.Millisecond),
	}, services, 26)})
	d.addHost(1, 1)
	d.addHost(2, 1)
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var (
		mu   sync.Mutex
		sent = make(map[string]string)
		got  []answer
	)
	c := d.newClient(d.hosts[0])
	stop := time.Now().Add(bodyBefore + bodyTrouble)
	if trouble {
		timer := time.AfterFunc(bodyBefore, func() {
			d.store.apply(write{"op/evacuate/zone-a", map[string]any{}})
			d.note("the store confirmed the evacuation of zone-a")
		})
		defer timer.Stop()
	}
	number := 0
	every(100*time.Millisecond, stop, func() {
		mu.Lock()
		number++
		body := "class=" + strconv.Itoa(number) + "&filter=" + strings.Repeat("x", 40)
		mu.Unlock()
		a := c.send(http.MethodPost, "/search/2f", body, 1500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		sent[a.id], got = body, append(got, a)
	})

	var counts statuses
	for _, a := range got {
		counts.add(a.status)
		if a.status == http.StatusOK {
			d.note("answer to %s: %d parts, records of these parts: %v", a.id, len(partSeals(a.header)), bytes.Equal(a.body, topRecords(servicesOf(a), a.id, 5)))
		}
	}
	ran, changed := 0, 0
	for _, s := range d.servers {
		for _, x := range s.seen() {
			ran++
			body, known := sent[x.id]
			if !known || x.body != body || x.method != http.MethodPost || x.uri != "/search/2f" {
				changed++
				d.note("server %s of %s in %s: ran %s as %s %s with a body of %d bytes, but the client sent %d", s.id, s.service, s.zone, x.id, x.method, x.uri, len(x.body), len(body))
			}
		}
	}
	d.note("answers by status: %s; parts run: %d; run with another body than sent: %d", &counts, ran, changed)
	return changed > 0, nil
}

func partSeals(header http.Header) []string {
	var list []string
	for _, value := range header.Values("Part-Seals") {
		for _, s := range strings.Split(value, ",") {
			list = append(list, strings.TrimSpace(s))
		}
	}
	return list
}

// servicesOf returns the services whose parts an answer names.
func servicesOf(a answer) []string {
	var list []string
	for _, s := range partSeals(a.header) {
		list = append(list, strings.TrimSuffix(s, "."+a.id))
	}
	return list
}
