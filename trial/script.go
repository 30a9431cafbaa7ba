// Package trial runs experiments in virtual time that compare the product with
// a baseline. It owns the script format, the models of network, platform and
// backend servers, and the measured figures; the product itself runs as real
// daemon.Core values, one for each entry host.
package trial

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"hyssophub/shard"
)

// Script is one experiment, parsed from its data file.
type Script struct {
	Name string
	Seed uint64
	// ServiceTime is the median service time of a warm backend server.
	ServiceTime time.Duration
	Deadline    time.Duration
	// Rate is the number of queries per second of each tenant.
	Rate float64
	// Duration is the time during which queries are sent.
	Duration time.Duration
	// Before is the fault-free window, During the measured window.
	Before  Window
	During  Window
	Events  []Event
	Targets []Target
}

// Window is a span of virtual time, measured from the start of the load.
type Window struct{ From, To time.Duration }

// Target is an upper bound for a figure of the product's run.
type Target struct {
	Figure string
	Max    float64
}

// Event is an action at a time after the start of the load.
type Event struct {
	At     time.Duration
	Action Action
}

// Action is a change to hosts, backend servers, network, store or load. The
// interface is sealed.
type Action interface{ action() }

// ServerSelector selects one replica of a service. Service is the position of
// the service in the manifest, Replica the position of the server within the
// service. If Every is not zero, it selects that replica of all services whose
// position is a multiple of Every.
type ServerSelector struct {
	Service int
	Replica int
	Every   int
}

type (
	// SlowServers multiplies the service time of servers by Factor.
	SlowServers struct {
		Servers ServerSelector
		Factor  float64
	}
	// DrainServers makes servers refuse new requests and stop after Grace.
	DrainServers struct {
		Servers ServerSelector
		Grace   time.Duration
	}
	// ColdServers makes servers cold. With Restart they also refuse connections
	// for a second, as after a restart; otherwise the change is silent.
	ColdServers struct {
		Servers ServerSelector
		Restart bool
	}
	// StopServers makes servers refuse connections until StartServers.
	StopServers struct{ Servers ServerSelector }
	// StartServers ends StopServers. The servers are cold afterwards.
	StartServers struct{ Servers ServerSelector }
	// SilenceConnections permanently stops the traffic on a share of the idle
	// connections of all servers, without closing them.
	SilenceConnections struct{ Share float64 }
	// RollOut moves all services to a new version, server by server, within Over.
	// Each server removes the old version KeepOld after it received the new one.
	// With Split, the last shard of each service is split in two.
	RollOut struct {
		Version shard.Version
		Over    time.Duration
		KeepOld time.Duration
		Split   bool
	}
	// KillHost makes a host fail without warning.
	KillHost struct{ Host int }
	// PauseHost delays the messages that a host sends and receives until
	// ResumeHost. The clock of the host runs on, so that its own time
	// checks do not detect the pause.
	PauseHost struct{ Host int }
	// ResumeHost ends PauseHost.
	ResumeHost struct{ Host int }
	// RestartHost stops a host as planned and starts it again.
	RestartHost struct{ Host int }
	// IsolateZone drops all messages between a zone and the other zones or the
	// platform until ReconnectZone.
	IsolateZone struct{ Zone string }
	// ReconnectZone ends IsolateZone.
	ReconnectZone struct{ Zone string }
	// StoreState sets the faults of the store: Down refuses all calls, Delay is
	// added to each call, Loss is the share of answers that are lost.
	StoreState struct {
		Down  bool
		Delay time.Duration
		Loss  float64
	}
	// SetZone takes a zone out of service, or returns all zones to service.
	SetZone struct {
		Name string
		Out  bool
	}
	// ChangeConfig makes changes of the configuration, each through the next
	// host, starting with Host.
	ChangeConfig struct {
		Author  string
		Host    int
		Every   time.Duration
		Changes int
	}
	// SendWrites sends write requests, which must not run twice. Loss is the
	// share of their messages to and from backend servers that are lost.
	SendWrites struct {
		Every time.Duration
		Count int
		Loss  float64
	}
	// SetLoad sets the rate of the tenants of a class to a multiple of the
	// capacity of their backend servers.
	SetLoad struct {
		Class    shard.Class
		Capacity float64
	}
)

func (SlowServers) action()        {}
func (DrainServers) action()       {}
func (ColdServers) action()        {}
func (StopServers) action()        {}
func (StartServers) action()       {}
func (SilenceConnections) action() {}
func (RollOut) action()            {}
func (KillHost) action()           {}
func (PauseHost) action()          {}
func (ResumeHost) action()         {}
func (RestartHost) action()        {}
func (IsolateZone) action()        {}
func (ReconnectZone) action()      {}
func (StoreState) action()         {}
func (SetZone) action()            {}
func (SetLoad) action()            {}
func (ChangeConfig) action()       {}
func (SendWrites) action()         {}

// Parse reads a script. Each line holds one setting, event ("at TIME ACTION
// key=value …") or target ("target FIGURE MAX"); comments start with "#".
func Parse(name, text string) (Script, error) {
	s := Script{Name: name}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.parseLine(words); err != nil {
			return s, oops.Wrapf(err, "%s line %d", name, i+1)
		}
	}
	return s, nil
}

func (s *Script) parseLine(words []string) error {
	a := args{words: words}
	switch words[0] {
	case "seed":
		s.Seed = uint64(a.numberAt(1))
	case "service":
		s.ServiceTime = a.durationAt(1)
	case "deadline":
		s.Deadline = a.durationAt(1)
	case "rate":
		s.Rate = a.numberAt(1)
	case "run":
		s.Duration = a.durationAt(1)
	case "before":
		s.Before = Window{From: a.durationAt(1), To: a.durationAt(2)}
	case "during":
		s.During = Window{From: a.durationAt(1), To: a.durationAt(2)}
	case "target":
		s.Targets = append(s.Targets, Target{Figure: a.wordAt(1), Max: a.numberAt(2)})
	case "at":
		s.Events = append(s.Events, Event{At: a.durationAt(1), Action: a.action()})
	default:
		return oops.Errorf("unknown setting %q", words[0])
	}
	return a.err
}

// args parses the words of a line and records the first error.
type args struct {
	words []string
	err   error
}

func (a *args) wordAt(i int) string {
	if i >= len(a.words) {
		a.setError("word %d is missing", i)
		return ""
	}
	return a.words[i]
}

func (a *args) numberAt(i int) float64 { return a.parseNumber(a.wordAt(i)) }

func (a *args) durationAt(i int) time.Duration { return a.parseDuration(a.wordAt(i)) }

func (a *args) parseNumber(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		a.setError("%q is not a number", text)
	}
	return f
}

func (a *args) parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		a.setError("%q is not a duration", text)
	}
	return d
}

func (a *args) setError(format string, values ...any) {
	if a.err == nil {
		a.err = oops.Errorf(format, values...)
	}
}

// value returns the value of the word key=value, or fallback if there is none.
func (a *args) value(key, fallback string) string {
	for _, w := range a.words {
		if k, v, ok := strings.Cut(w, "="); ok && k == key {
			return v
		}
	}
	return fallback
}

func (a *args) selector() ServerSelector {
	return ServerSelector{
		Service: int(a.parseNumber(a.value("service", "0"))),
		Replica: int(a.parseNumber(a.value("replica", "0"))),
		Every:   int(a.parseNumber(a.value("every", "0"))),
	}
}

func (a *args) host() int { return int(a.parseNumber(a.value("host", "0"))) }

func (a *args) action() Action {
	switch a.wordAt(2) {
	case "slow":
		return SlowServers{Servers: a.selector(), Factor: a.parseNumber(a.value("factor", "1"))}
	case "drain":
		return DrainServers{Servers: a.selector(), Grace: a.parseDuration(a.value("grace", "10s"))}
	case "cold":
		return ColdServers{Servers: a.selector(), Restart: a.value("restart", "") != ""}
	case "down":
		return StopServers{Servers: a.selector()}
	case "up":
		return StartServers{Servers: a.selector()}
	case "silence":
		return SilenceConnections{Share: a.parseNumber(a.value("share", "0.5"))}
	case "roll":
		return RollOut{
			Version: shard.Version(a.parseNumber(a.value("version", "2"))),
			Over:    a.parseDuration(a.value("over", "5s")),
			KeepOld: a.parseDuration(a.value("keep", "5s")),
			Split:   a.value("split", "") != "",
		}
	case "kill":
		return KillHost{Host: a.host()}
	case "pause":
		return PauseHost{Host: a.host()}
	case "resume":
		return ResumeHost{Host: a.host()}
	case "restart":
		return RestartHost{Host: a.host()}
	case "cut":
		return IsolateZone{Zone: a.value("zone", "a")}
	case "heal":
		return ReconnectZone{Zone: a.value("zone", "a")}
	case "store":
		return StoreState{
			Down:  a.value("down", "") != "",
			Delay: a.parseDuration(a.value("delay", "2ms")),
			Loss:  a.parseNumber(a.value("loss", "0")),
		}
	case "zone":
		return SetZone{Name: a.value("name", "a"), Out: a.value("out", "") != ""}
	case "office":
		return ChangeConfig{
			Author:  a.value("name", "office"),
			Host:    a.host(),
			Every:   a.parseDuration(a.value("every", "1s")),
			Changes: int(a.parseNumber(a.value("changes", "1"))),
		}
	case "write":
		return SendWrites{
			Every: a.parseDuration(a.value("every", "50ms")),
			Count: int(a.parseNumber(a.value("count", "1"))),
			Loss:  a.parseNumber(a.value("loss", "0")),
		}
	case "load":
		class, ok := shard.ParseClass(a.value("class", "routine"))
		if !ok {
			a.setError("unknown class")
		}
		return SetLoad{Class: class, Capacity: a.parseNumber(a.value("capacity", "1"))}
	default:
		a.setError("unknown action %q", a.wordAt(2))
		return nil
	}
}
