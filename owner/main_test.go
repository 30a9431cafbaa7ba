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

// epoch is the time zero of scripts and properties.
var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func permitAll(string, time.Time) (fault.Reason, bool) { return "", true }

func testService(name string, slots int) *config.Service {
	return &config.Service{Name: name, Slots: slots, Connections: 25, Floor: 5, Warmup: 10 * time.Second}
}

func place(service *config.Service, name string) config.PlacedServer {
	return config.PlacedServer{Service: service, Server: config.Server{Name: name, Address: name}}
}

// warm returns the state with which a server comes into full service.
func warm(server string, latency time.Duration) State {
	return State{Server: server, Warm: 1, Latency: latency}
}

func testSub(id uint64, server string, class shard.Class, deadline time.Time) shard.Sub {
	return shard.Sub{ID: id, Server: server, Class: class, Deadline: deadline}
}
