// Package setup reads and checks the settings file of an entry host. It owns the
// format, the defaults and the bounds of the settings. The commands choose the
// file, and the host opens the addresses.
package setup

import (
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/samber/oops"

	"hyssophub/strict"
)

// Settings holds the settings of one entry host that serves callers' queries and
// non-idempotent requests (command serve).
type Settings struct {
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// The host listens on these addresses for callers, operators, other hosts
	// and heartbeats. HeartbeatAddr is a UDP address, the others are TCP
	// addresses. Each is an IP address with a port.
	CallerAddr    string
	AdminAddr     string
	PeerAddr      string
	HeartbeatAddr string
	// PlatformAddr is the TCP address of the platform's service, an IP address with
	// a port.
	PlatformAddr string
	// TokensFile is the path of the file with the offices' tokens.
	TokensFile string
	// MemoryMB is the memory of the host in MB.
	MemoryMB int
	// Descriptors is the limit on open file descriptors of the process; with zero, that
	// of the system holds.
	Descriptors int
	Stop        Stop
}

// Stop holds the time limits of a planned stop.
type Stop struct {
	// UnreadyDelay is the time during which the host still serves after it has
	// reported unready, so that the balancer can stop sending requests.
	UnreadyDelay time.Duration
	// FinishTimeout bounds the wait for requests in progress.
	FinishTimeout time.Duration
	// LeaveTimeout bounds the removal from the roster and the handover of state.
	// Heartbeats announce the stop to the other hosts even if the store does
	// not answer.
	LeaveTimeout time.Duration
}

// Defaults of the time limits.
const (
	defaultUnreadyDelay  = 5 * time.Second
	defaultFinishTimeout = 30 * time.Second
	defaultLeaveTimeout  = 2 * time.Second
)

// DefaultMemoryMB is the memory of a host whose settings name none, in MB.
const DefaultMemoryMB = 512

// leastMemoryMB is the least memory of a host of the product's own interface, in MB.
const leastMemoryMB = 64

// allowedFields lists the fields in the error for a file that cannot be decoded.
const allowedFields = "name, zone, caller, admin, peer, beat, platform, tokens"

// wireSettings is the format of the settings file. Durations are strings such as
// "5s", memory is in MB. Errors of the JSON decoder contain the names of these types.
type wireSettings struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Caller   string   `json:"caller"`
	Admin    string   `json:"admin"`
	Peer     string   `json:"peer"`
	Beat     string   `json:"beat"`
	Platform string   `json:"platform"`
	Tokens   string   `json:"tokens"`
	Memory   *int     `json:"memory"`
	Files    int      `json:"files"`
	Stop     wireStop `json:"stop"`
}

type wireStop struct {
	Notice string `json:"notice"`
	Finish string `json:"finish"`
	Leave  string `json:"leave"`
}

// Read reads and checks a settings file. The error names the file, each invalid
// field and its allowed values.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.Wrapf(err, "settings")
	}
	settings, err := Decode(data)
	if err != nil {
		return Settings{}, oops.Wrapf(err, "settings %s", path)
	}
	return settings, nil
}

// Decode decodes and checks settings. Unknown fields are errors.
func Decode(data []byte) (Settings, error) {
	if err := strict.CheckDuplicateKeys(data); err != nil {
		return Settings{}, err
	}
	var decoded wireSettings
	switch _, err := strict.Decode(data, &decoded); {
	case errors.Is(err, strict.ErrTrailing):
		return Settings{}, err
	case err != nil:
		return Settings{}, oops.Wrapf(err, "allowed is an object with the strings %s, the numbers memory and files, and the object stop with the strings notice, finish, leave", allowedFields)
	}
	settings := Settings{
		Name:          decoded.Name,
		Zone:          decoded.Zone,
		CallerAddr:    decoded.Caller,
		AdminAddr:     decoded.Admin,
		PeerAddr:      decoded.Peer,
		HeartbeatAddr: decoded.Beat,
		PlatformAddr:  decoded.Platform,
		TokensFile:    decoded.Tokens,
		MemoryMB:      DefaultMemoryMB,
		Descriptors:   decoded.Files,
	}
	if decoded.Memory != nil {
		settings.MemoryMB = *decoded.Memory
	}
	var errs []error
	errs = append(errs, checkName("name", decoded.Name), checkName("zone", decoded.Zone))
	for _, field := range []struct{ name, value string }{
		{"caller", decoded.Caller}, {"admin", decoded.Admin}, {"peer", decoded.Peer}, {"beat", decoded.Beat}, {"platform", decoded.Platform},
	} {
		errs = append(errs, checkAddress(field.name, field.value))
	}
	var err error
	settings.Stop.UnreadyDelay, err = parseLimit("stop.notice", decoded.Stop.Notice, defaultUnreadyDelay)
	errs = append(errs, err)
	settings.Stop.FinishTimeout, err = parseLimit("stop.finish", decoded.Stop.Finish, defaultFinishTimeout)
	errs = append(errs, err)
	settings.Stop.LeaveTimeout, err = parseLimit("stop.leave", decoded.Stop.Leave, defaultLeaveTimeout)
	errs = append(errs, err,
		checkRange("memory", float64(settings.MemoryMB), leastMemoryMB, maxMemoryMB),
		checkRange("files", float64(settings.Descriptors), 0, maxDescriptors))
	return settings, errors.Join(errs...)
}

func checkName(field, value string) error {
	if value == "" || len(value) > 64 {
		return oops.Errorf("field %q is %q, allowed is a name of 1 to 64 characters", field, value)
	}
	return nil
}

func checkAddress(field, value string) error {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 0 || number > 65535 {
		return oops.Errorf("field %q is %q, allowed is an IP address and a port such as 127.0.0.1:8080", field, value)
	}
	return nil
}

// maxStopLimit bounds each time limit of a planned stop.
const maxStopLimit = 10 * time.Minute

// parseLimit parses a duration; an empty value selects the default.
func parseLimit(field, value string, defaultValue time.Duration) (time.Duration, error) {
	if value == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 || d > maxStopLimit {
		return 0, oops.Errorf("field %q is %q, allowed is a duration from 0s to %s", field, value, maxStopLimit)
	}
	return d, nil
}
