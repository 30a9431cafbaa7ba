// Package setup reads and checks the settings file of an entry host.
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

// Settings are the settings of one entry host.
type Settings struct {
	Name string
	Zone string
	// CallerAddr, Admin and Peer are TCP addresses, Beat is a UDP address; all
	// are IP numbers with a port.
	CallerAddr    string
	AdminAddr     string
	PeerAddr      string
	HeartbeatAddr string
	// PlatformAddr is the address of the platform's service.
	PlatformAddr string
	// TokensFile is the path of the file with the offices' tokens.
	TokensFile string
	Stop       Stop
}

// Stop holds the time limits of a planned stop.
type Stop struct {
	// UnreadyDelay is how long the host goes on serving after it reported unready,
	// until the balancer has noticed.
	UnreadyDelay time.Duration
	// FinishTimeout is how long requests in progress may take to end.
	FinishTimeout time.Duration
	// LeaveTimeout is how long leaving the roster and the handover may take. The
	// heartbeats tell the other hosts even if the store does not answer.
	LeaveTimeout time.Duration
}

// Defaults of the time limits.
const (
	defaultNotice = 5 * time.Second
	defaultFinish = 30 * time.Second
	defaultLeave  = 2 * time.Second
)

// allowedFields is shown when a file cannot be decoded.
const allowedFields = "name, zone, caller, admin, peer, beat, platform, tokens"

type wireSettings struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Caller   string   `json:"caller"`
	Admin    string   `json:"admin"`
	Peer     string   `json:"peer"`
	Beat     string   `json:"beat"`
	Platform string   `json:"platform"`
	Tokens   string   `json:"tokens"`
	Stop     wireStop `json:"stop"`
}

type wireStop struct {
	Notice string `json:"notice"`
	Finish string `json:"finish"`
	Leave  string `json:"leave"`
}

// Read reads and checks a settings file. The error names the file, each wrong
// field, and what is allowed.
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

// Decode reads and checks settings. Unknown fields are errors.
func Decode(data []byte) (Settings, error) {
	if err := strict.CheckDuplicateKeys(data); err != nil {
		return Settings{}, err
	}
	var w wireSettings
	switch _, err := strict.Decode(data, &w); {
	case errors.Is(err, strict.ErrTrailing):
		return Settings{}, err
	case err != nil:
		return Settings{}, oops.Wrapf(err, "allowed is an object with the strings %s and the object stop with the strings notice, finish, leave", allowedFields)
	}
	settings := Settings{
		Name:          w.Name,
		Zone:          w.Zone,
		CallerAddr:    w.Caller,
		AdminAddr:     w.Admin,
		PeerAddr:      w.Peer,
		HeartbeatAddr: w.Beat,
		PlatformAddr:  w.Platform,
		TokensFile:    w.Tokens,
	}
	var faults []error
	faults = append(faults, checkName("name", w.Name), checkName("zone", w.Zone))
	for _, field := range []struct{ name, value string }{
		{"caller", w.Caller}, {"admin", w.Admin}, {"peer", w.Peer}, {"beat", w.Beat}, {"platform", w.Platform},
	} {
		faults = append(faults, checkAddress(field.name, field.value))
	}
	var err error
	settings.Stop.UnreadyDelay, err = limit("stop.notice", w.Stop.Notice, defaultNotice)
	faults = append(faults, err)
	settings.Stop.FinishTimeout, err = limit("stop.finish", w.Stop.Finish, defaultFinish)
	faults = append(faults, err)
	settings.Stop.LeaveTimeout, err = limit("stop.leave", w.Stop.Leave, defaultLeave)
	faults = append(faults, err)
	return settings, errors.Join(faults...)
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
		return oops.Errorf("field %q is %q, allowed is an IP number and a port such as 127.0.0.1:8080", field, value)
	}
	return nil
}

// maxStop bounds the time limits of a planned stop.
const maxStop = 10 * time.Minute

func limit(field, value string, preset time.Duration) (time.Duration, error) {
	if value == "" {
		return preset, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 || d > maxStop {
		return 0, oops.Errorf("field %q is %q, allowed is a duration from 0s to %s", field, value, maxStop)
	}
	return d, nil
}
