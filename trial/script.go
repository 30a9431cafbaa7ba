// Package trial holds the experiments in virtual time: a fleet of real host
// cores over in-memory ports, a model of the backend servers, and the baseline
// that the product is compared with.
package trial

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"hyssophub/shard"
)

// Script is one experiment as its data file describes it.
type Script struct {
	Name string
	Seed uint64
	// Service is the median service time of a warm backend server.
	ServiceTime time.Duration
	Deadline    time.Duration
	// Rate is the number of queries a second and tenant.
	Rate float64
	// Run is the length of the experiment.
	Duration time.Duration
	// Before is the fault-free window and During the measured one.
	Before  Window
	During  Window
	Events  []Event
	Targets []Target
}

// Window is a span of virtual time since the start.
type Window struct{ From, To time.Duration }

// Target bounds a figure of the product's run.
type Target struct {
	Figure string
	Max    float64
}

// Event is an action at a time since the start.
type Event struct {
	At     time.Duration
	Action Action
}

// Action is what an event does to the fleet. The interface is sealed.
type Action interface{ action() }

// Place selects a backend server by the position of its service in the
// manifest and its own position in the service, or all services whose position
// is a multiple of Every.
type ServerSelector struct {
	Service int
	Replica int
	Every   int
}

type (
	// Slow multiplies the service time of servers.
	SlowServers struct {
		Servers ServerSelector
		Factor  float64
	}
	// Drain makes servers refuse new work and stop after a grace time.
	DrainServers struct {
		Servers ServerSelector
		Grace   time.Duration
	}
	// Cold makes servers cold. With Restart they report a start by refusing
	// work for a second; otherwise the change is silent.
	ColdServers struct {
		Servers ServerSelector
		Restart bool
	}
	// Down makes servers refuse connections until Up.
	StopServers struct{ Servers ServerSelector }
	// Up ends Down; the servers come back cold.
	StartServers struct{ Servers ServerSelector }
	// Silence makes the share of the open connections of all servers go
	// silent for good.
	SilenceConnections struct{ Share float64 }
	// Roll moves all services to a new version, server by server, within Over.
	// The old version disappears from a server Keep after the new one came.
	RollOut struct {
		Version shard.Version
		Over    time.Duration
		KeepOld time.Duration
		Split   bool
	}
	// Kill ends a host without notice.
	KillHost struct{ Host int }
	// Pause holds the messages that a host sends and receives until Resume.
	// The clock of the host runs on, so its own checks do not see the pause.
	PauseHost struct{ Host int }
	// Resume ends Pause.
	ResumeHost struct{ Host int }
	// Restart closes a host in an orderly way and starts it anew.
	RestartHost struct{ Host int }
	// Cut separates a zone from the others and from the platform until Heal.
	IsolateZone struct{ Zone string }
	// Heal ends Cut.
	ReconnectZone struct{ Zone string }
	// Store sets the state of the store.
	StoreState struct {
		Down  bool
		Delay time.Duration
		Loss  float64
	}
	// Zone takes a zone out of service or brings it back.
	SetZone struct {
		Name string
		Out  bool
	}
	// Office makes changes of the configuration through one host after the
	// other.
	ChangeConfig struct {
		Author  string
		Host    int
		Every   time.Duration
		Changes int
	}
	// Write sends requests that may not be repeated. Loss is the share of
	// their messages to and from backend servers that are lost.
	SendWrites struct {
		Every time.Duration
		Count int
		Loss  float64
	}
	// Load sets the rate of the tenants of a class to a multiple of the
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

// Parse reads a script: one setting, event ("at TIME ACTION key=value …") or
// target ("target FIGURE MOST") a line, and comments after "#".
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
		return oops.Errorf("unknown word %q", words[0])
	}
	return a.err
}

// args reads the words of a line and keeps the first error.
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
		a.setError("%q is no number", text)
	}
	return f
}

func (a *args) parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		a.setError("%q is no duration", text)
	}
	return d
}

func (a *args) setError(format string, values ...any) {
	if a.err == nil {
		a.err = oops.Errorf(format, values...)
	}
}

// value returns the value of key=value, or preset.
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
