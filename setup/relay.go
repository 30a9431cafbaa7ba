package setup

import (
	"cmp"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/samber/oops"

	"hyssophub/strict"
)

// Relay holds the settings of an entry host that serves operators' routes on the
// users' platform (command relay).
type Relay struct {
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// The host listens on these TCP addresses for clients, for the balancer's
	// readiness checks, for other hosts, and for readers of the metrics.
	ClientAddr    string
	ReadinessAddr string
	PeerAddr      string
	MetricsAddr   string
	// HeartbeatAddr is the UDP address of heartbeats between hosts, PermitAddr that of
	// permits for servers with a rate limit.
	HeartbeatAddr string
	PermitAddr    string
	// MilliCores is the CPU share of the host in thousandths of a core.
	MilliCores int
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// ReportInterval is the time between two reports of a backend server to the store.
	ReportInterval time.Duration
	// Seeds are the peer addresses of hosts from which a starting host may learn
	// of the others.
	Seeds []string
	// Together means that all hosts of the tier start for the first time.
	Together bool
	// MemoryMB is the memory limit of the process in MB; zero sets none.
	MemoryMB int
	// Descriptors is the limit on open file descriptors of the process; with zero, that
	// of the system holds.
	Descriptors int
	Stop        RelayStop
	Budget      RelayBudget
	Accounts    RelayAccounts
	// Rollouts is set if the operators move services to other software versions by
	// orders. Otherwise all versions of a service are alike.
	Rollouts bool
	Caps     RelayCaps
}

// RelayCaps is how far the caps of client accounts may be exceeded: within Window, all
// hosts together may serve (rate * Window + burst) * (1 + Excess) + Slack requests of an
// account. Caps are not kept if Window is zero.
type RelayCaps struct {
	Window time.Duration
	Excess float64
	Slack  float64
	// Zones are the availability zones that share each cap.
	Zones []string
}

// RelayAccounts says how a host treats the keys of client accounts while it cannot follow
// the operators' changes.
type RelayAccounts struct {
	// Strict refuses them once the rules have not been confirmed for Bound; otherwise
	// the last known keys stay valid.
	Strict bool
	Bound  time.Duration
}

// RelayStop holds the time limits of a planned stop.
type RelayStop struct {
	// Grace is the time from the stop signal to the forced end of the process.
	Grace time.Duration
}

// RelayBudget limits the extra requests (retries and hedges) of a service within
// Window to Ratio times the ordinary requests plus Burst, summed over all hosts.
type RelayBudget struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// relayFields lists the fields in the error for a file that cannot be decoded.
const relayFields = "the strings name, zone, front, ready, peer, stats, beat, permit, store, the list seeds, the booleans first and rollouts, the numbers cores, memory, files and report and the objects stop (grace), budget (ratio, burst, window) accounts (strict, bound) and caps (window, excess, slack, zones)"

// wireRelay is the format of the settings file. Times are in seconds, memory is in
// MB.
type wireRelay struct {
	Name   string   `json:"name"`
	Zone   string   `json:"zone"`
	Front  string   `json:"front"`
	Ready  string   `json:"ready"`
	Peer   string   `json:"peer"`
	Stats  string   `json:"stats"`
	Beat   string   `json:"beat"`
	Permit string   `json:"permit"`
	Cores  float64  `json:"cores"`
	Store  string   `json:"store"`
	Seeds  []string `json:"seeds"`
	Memory int      `json:"memory"`
	Files  int      `json:"files"`
	Report *float64 `json:"report"`
	First  bool     `json:"first"`
	Stop   struct {
		Grace *float64 `json:"grace"`
	} `json:"stop"`
	Budget struct {
		Ratio  float64  `json:"ratio"`
		Burst  float64  `json:"burst"`
		Window *float64 `json:"window"`
	} `json:"budget"`
	Rollouts bool `json:"rollouts"`
	Accounts struct {
		Strict bool     `json:"strict"`
		Bound  *float64 `json:"bound"`
	} `json:"accounts"`
	Caps struct {
		Window float64  `json:"window"`
		Excess float64  `json:"excess"`
		Slack  float64  `json:"slack"`
		Zones  []string `json:"zones"`
	} `json:"caps"`
}

// Defaults for a platform that does not set these bounds. Ratio and burst default
// to zero, which allows no extra requests.
const (
	defaultGraceSeconds  = 6
	defaultWindowSeconds = 10
	defaultBoundSeconds  = 5
	defaultReportSeconds = 1.2
)

// ReadRelay reads and checks a settings file. The error names the file, each
// invalid field and its allowed values.
func ReadRelay(path string) (Relay, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, oops.Wrapf(err, "settings")
	}
	settings, err := DecodeRelay(data)
	if err != nil {
		return Relay{}, oops.Wrapf(err, "settings %s", path)
	}
	return settings, nil
}

// DecodeRelay decodes and checks settings. Unknown fields are ignored, because a
// platform that writes the file may add some.
func DecodeRelay(data []byte) (Relay, error) {
	if err := strict.CheckDuplicateKeys(data); err != nil {
		return Relay{}, err
	}
	var decoded wireRelay
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Relay{}, oops.Wrapf(err, "allowed is an object with %s", relayFields)
	}
	grace, window := valueOr(decoded.Stop.Grace, defaultGraceSeconds), valueOr(decoded.Budget.Window, defaultWindowSeconds)
	bound := valueOr(decoded.Accounts.Bound, defaultBoundSeconds)
	report := valueOr(decoded.Report, defaultReportSeconds)
	settings := Relay{
		Name:          decoded.Name,
		Zone:          decoded.Zone,
		ClientAddr:    decoded.Front,
		ReadinessAddr: decoded.Ready,
		PeerAddr:      decoded.Peer,
		MetricsAddr:   decoded.Stats,
		HeartbeatAddr: decoded.Beat,
		// The ports of TCP and UDP are separate, so the default is free.
		PermitAddr:     cmp.Or(decoded.Permit, decoded.Stats),
		MilliCores:     int(decoded.Cores * 1000),
		StoreAddr:      decoded.Store,
		ReportInterval: seconds(report),
		Seeds:          decoded.Seeds,
		Together:       decoded.First,
		MemoryMB:       decoded.Memory,

		Descriptors: decoded.Files,
		Stop:        RelayStop{Grace: seconds(grace)},
		Budget:      RelayBudget{Ratio: decoded.Budget.Ratio, Burst: decoded.Budget.Burst, Window: seconds(window)},
		Rollouts:    decoded.Rollouts,
		Accounts:    RelayAccounts{Strict: decoded.Accounts.Strict, Bound: seconds(bound)},
		Caps:        RelayCaps{Window: seconds(decoded.Caps.Window), Excess: decoded.Caps.Excess, Slack: decoded.Caps.Slack, Zones: decoded.Caps.Zones},
	}
	errs := []error{checkName("name", decoded.Name), checkName("zone", decoded.Zone)}
	for _, field := range []struct{ name, value string }{
		{"front", decoded.Front}, {"ready", decoded.Ready}, {"peer", decoded.Peer}, {"stats", decoded.Stats}, {"beat", decoded.Beat}, {"permit", settings.PermitAddr}, {"store", decoded.Store},
	} {
		errs = append(errs, checkAddress(field.name, field.value))
	}
	for _, seed := range decoded.Seeds {
		errs = append(errs, checkAddress("seeds", seed))
	}
	errs = append(errs,
		checkRange("cores", decoded.Cores, minCores, maxCores),
		checkRange("report", report, minReportSeconds, maxWindowSeconds),
		checkRange("memory", float64(decoded.Memory), 0, maxMemoryMB),
		checkRange("files", float64(decoded.Files), 0, maxDescriptors),
		checkRange("stop.grace", grace, minGraceSeconds, maxStopLimit.Seconds()),
		checkRange("budget.ratio", decoded.Budget.Ratio, 0, 1),
		checkRange("budget.burst", decoded.Budget.Burst, 0, maxBurst),
		checkRange("budget.window", window, 1, maxWindowSeconds),
		checkRange("accounts.bound", bound, 0, maxWindowSeconds),
		checkRange("caps.window", decoded.Caps.Window, 0, maxWindowSeconds),
		checkRange("caps.excess", decoded.Caps.Excess, 0, 1),
		checkRange("caps.slack", decoded.Caps.Slack, 0, maxBurst),
	)
	return settings, errors.Join(errs...)
}

// Bounds of the settings: memory in MB, times in seconds, bursts in requests.
const (
	minCores         = 0.001
	maxCores         = 1024
	maxMemoryMB      = 1 << 20
	maxDescriptors   = 1 << 20
	minGraceSeconds  = 1
	minReportSeconds = 0.01
	maxBurst         = 1e6
	maxWindowSeconds = 3600
)

func valueOr(value *float64, defaultValue float64) float64 {
	if value == nil {
		return defaultValue
	}
	return *value
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func checkRange(field string, value, low, high float64) error {
	if value < low || value > high {
		return oops.Errorf("field %q is %v, allowed is a number from %v to %v", field, value, low, high)
	}
	return nil
}
