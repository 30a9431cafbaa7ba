package canary

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/props"
)

// TestScripts plays the roll-outs in testdata, each with one failure. The comments in the
// scripts name the failure that each of them guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

// script is a world whose roll-out is scripted.
type script struct {
	w       *world
	servers int
	zones   int
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "world":
		s.zones, s.servers = int(props.Number(t, d, "zones")), int(props.Number(t, d, "servers"))
		s.w = newWorld(1, int(props.Number(t, d, "hosts")), s.zones, props.Number(t, d, "rate"))
		s.w.addServers(oldName, s.servers, s.zones, time.Minute)
		s.w.run(time.Second)
	case "servers":
		s.w.addServers(props.Text(t, d, "version"), s.servers, s.zones, 0)
	case "order":
		s.w.order(props.Text(t, d, "target"), props.Duration(t, d, "duration"))
	case "withdraw":
		s.w.withdraw()
	case "older-copy":
		s.w.restoreOlderCopy(d.HasArg("late"))
	case "fault":
		s.fault(t, d)
	case "rate":
		s.w.rate = props.Number(t, d, "rate")
	case "cut-zone":
		s.w.cutZone = props.Text(t, d, "zone")
	case "host":
		return s.host(t, d)
	case "store":
		s.store(t, d)
	case "run":
		s.w.run(props.Duration(t, d, "for"))
		return s.w.state()
	case "bounds":
		return s.bounds()
	case "silent":
		return s.silent(t, d)
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// fault sets a fault of the servers of a version, or of one of them.
func (s *script) fault(t *testing.T, d *datadriven.TestData) {
	index, portion, slower, route := -1, 1.0, 1.0, -1
	after := time.Duration(0)
	for name, value := range map[string]*float64{"portion": &portion, "slower": &slower} {
		if d.HasArg(name) {
			*value = props.Number(t, d, name)
		}
	}
	for name, value := range map[string]*int{"server": &index, "route": &route} {
		if d.HasArg(name) {
			*value = int(props.Number(t, d, name))
		}
	}
	if d.HasArg("after") {
		after = props.Duration(t, d, "after")
	}
	s.w.setFault(props.Text(t, d, "version"), index, badVersion(portion, slower, s.w.now.Add(after), route))
}

// host applies a fault to a host: the one named, or the first in order of duty.
func (s *script) host(t *testing.T, d *datadriven.TestData) string {
	n := s.w.nodes[0]
	name := props.Text(t, d, "name")
	for _, other := range s.w.nodes {
		if other.name == name || (name == "first" && s.w.rankOf(other) < s.w.rankOf(n)) || (name == "second" && s.w.rankOf(other) == 1) {
			n = other
		}
	}
	switch action := props.Text(t, d, "do"); action {
	case "kill":
		n.up = false
	case "restart":
		s.w.restart(n)
	case "pause":
		n.isPaused = true
	case "resume":
		n.isPaused = false
	case "cut":
		n.cut = true
	case "join":
		n.cut = false
	case "offline":
		n.offline = true
	case "online":
		n.offline = false
	default:
		d.Fatalf(t, "unknown action %s", action)
	}
	s.w.tellMembers()
	return ""
}

func (s *script) store(t *testing.T, d *datadriven.TestData) {
	switch action := props.Text(t, d, "do"); action {
	case "stop":
		s.w.store.down = true
	case "start":
		s.w.store.down = false
	case "lose":
		s.w.store.loses = true
	case "keep":
		s.w.store.loses = false
	default:
		d.Fatalf(t, "unknown action %s", action)
	}
}

// bounds compares the requests that the target version got since the order with the bound
// of the deployment: a tenth of all, and 50.
func (s *script) bounds() string {
	target, all := s.w.counts[newName].arrived, s.w.counts[newName].arrived+s.w.counts[oldName].arrived
	if float64(target) > 0.1*float64(all)+50 {
		return fmt.Sprintf("target got %d of %d requests, over the bound", target, all)
	}
	if target == 0 {
		return "target got no requests"
	}
	return "target within the bound"
}

// silent reports whether a version got no request for a time.
func (s *script) silent(t *testing.T, d *datadriven.TestData) string {
	version := props.Text(t, d, "version")
	age := s.w.now.Sub(s.w.counts[version].lastAt)
	return fmt.Sprintf("%s silent: %t", version, age >= props.Duration(t, d, "for"))
}

// rankOf returns the index of a host in the order of duty.
func (w *world) rankOf(n *node) int {
	rank := 0
	for _, other := range w.nodes {
		if hash(serviceName, other.name) > hash(serviceName, n.name) {
			rank++
		}
	}
	return rank
}

// restart starts a host again; it joins after some seconds.
func (w *world) restart(n *node) {
	n.joinedAt = w.now.Add(5 * time.Second)
	w.boot(n)
}

// restoreOlderCopy brings the store back from a copy without the status. The operators
// write their order again, at a lower revision than before, or at a higher one if it is
// late.
func (w *world) restoreOlderCopy(isLate bool) {
	w.store.order.Revision--
	if isLate {
		w.store.order.Revision += 100
	}
	w.store.revision = w.store.order.Revision
	w.store.status = Status{}
	w.store.verdicts = nil
	for _, n := range w.nodes {
		n.table.EnterEra()
	}
	w.publish()
}
