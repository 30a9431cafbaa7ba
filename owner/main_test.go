package owner

import (
	"os"
	"testing"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/props"
	"hyssophub/shard"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// startTime is the time at which scripts and property tests begin.
var startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func permitAll(string, time.Time) (fault.Reason, bool) { return "", true }

func testService(name string, slots int) *config.Service {
	return &config.Service{Name: name, Slots: slots, Connections: 25, Floor: 5, Warmup: 10 * time.Second}
}

func testPlaced(service *config.Service, name string) config.PlacedServer {
	return config.PlacedServer{Service: service, Server: config.Server{Name: name, Address: name}}
}

// warmState returns the handover state of a warm server.
func warmState(server string, latency time.Duration) HandoverState {
	return HandoverState{Server: server, WarmupProgress: 1, MedianLatency: latency}
}

func testSub(id uint64, server string, class shard.Class, deadline time.Time) shard.SubRequest {
	return shard.SubRequest{ID: id, Server: server, Class: class, Deadline: deadline}
}
