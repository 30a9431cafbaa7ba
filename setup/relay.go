package setup

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/samber/oops"

	"hyssophub/strict"
)

// Relay are the settings of an entry host that serves the operators' routes on
// the users' platform.
type Relay struct {
	Name string
	Zone string
	// ClientAddr, Ready, Peer and Stats are the TCP addresses of clients, of the
	// balancer's question, of other hosts and of the metrics.
	ClientAddr    string
	ReadinessAddr string
	PeerAddr      string
	MetricsAddr   string
	// HeartbeatAddr is the UDP address of heartbeats between hosts.
	HeartbeatAddr string
	// MilliCores is the processor share in thousandths of a core.
	MilliCores int
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// Seeds are the peer addresses of hosts that may be asked at the start.
	Seeds []string
	// MemoryMB is the memory limit of the process in MB; zero sets none.
	MemoryMB int
	Stop     RelayStop
	Budget   RelayBudget
}

// RelayStop holds the time limits of a planned stop.
type RelayStop struct {
	// Grace is the time from the signal to the forced end.
	Grace time.Duration
}

// RelayBudget bounds the extra requests of the whole fleet.
type RelayBudget struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// relayFields is shown when a file cannot be decoded.
const relayFields = "the strings name, zone, front, ready, peer, stats, beat, store, the list seeds, the numbers cores and memory and the objects stop (grace) and budget (ratio, burst, window)"

// wireRelay is the settings file. Times are in seconds, memory is in MB.
type wireRelay struct {
	Name   string   `json:"name"`
	Zone   string   `json:"zone"`
	Front  string   `json:"front"`
	Ready  string   `json:"ready"`
	Peer   string   `json:"peer"`
	Stats  string   `json:"stats"`
	Beat   string   `json:"beat"`
	Cores  float64  `json:"cores"`
	Store  string   `json:"store"`
	Seeds  []string `json:"seeds"`
	Memory int      `json:"memory"`
	Stop   struct {
		Grace *float64 `json:"grace"`
	} `json:"stop"`
	Budget struct {
		Ratio  float64  `json:"ratio"`
		Burst  float64  `json:"burst"`
		Window *float64 `json:"window"`
	} `json:"budget"`
}

// Defaults in seconds, for a platform that names no such bound. Without a ratio
// and a burst there are no extra requests.
const (
	defaultGrace  = 6
	defaultWindow = 10
)

// ReadRelay reads and checks a settings file. The error names the file, each
// wrong field, and what is allowed.
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

// DecodeRelay reads and checks settings. Unknown fields are ignored, because a
// platform that writes the file may add some.
func DecodeRelay(data []byte) (Relay, error) {
	if err := strict.CheckDuplicateKeys(data); err != nil {
		return Relay{}, err
	}
	var w wireRelay
	if err := json.Unmarshal(data, &w); err != nil {
		return Relay{}, oops.Wrapf(err, "allowed is an object with %s", relayFields)
	}
	grace, window := orElse(w.Stop.Grace, defaultGrace), orElse(w.Budget.Window, defaultWindow)
	settings := Relay{
		Name:          w.Name,
		Zone:          w.Zone,
		ClientAddr:    w.Front,
		ReadinessAddr: w.Ready,
		PeerAddr:      w.Peer,
		MetricsAddr:   w.Stats,
		HeartbeatAddr: w.Beat,
		MilliCores:    int(w.Cores * 1000),
		StoreAddr:     w.Store,
		Seeds:         w.Seeds,
		MemoryMB:      w.Memory,
		Stop:          RelayStop{Grace: seconds(grace)},
		Budget:        RelayBudget{Ratio: w.Budget.Ratio, Burst: w.Budget.Burst, Window: seconds(window)},
	}
	faults := []error{checkName("name", w.Name), checkName("zone", w.Zone)}
	for _, field := range []struct{ name, value string }{
		{"front", w.Front}, {"ready", w.Ready}, {"peer", w.Peer}, {"stats", w.Stats}, {"beat", w.Beat}, {"store", w.Store},
	} {
		faults = append(faults, checkAddress(field.name, field.value))
	}
	for _, seed := range w.Seeds {
		faults = append(faults, checkAddress("seeds", seed))
	}
	faults = append(faults,
		checkRange("cores", w.Cores, minCores, maxCores),
		checkRange("memory", float64(w.Memory), 0, maxMemory),
		checkRange("stop.grace", grace, minGrace, maxStop.Seconds()),
		checkRange("budget.ratio", w.Budget.Ratio, 0, 1),
		checkRange("budget.burst", w.Budget.Burst, 0, maxBurst),
		checkRange("budget.window", window, 1, maxWindow),
	)
	return settings, errors.Join(faults...)
}

// Bounds of the settings: memory in MB, times in seconds, bursts in requests.
const (
	minCores  = 0.001
	maxCores  = 1024
	maxMemory = 1 << 20
	minGrace  = 1
	maxBurst  = 1e6
	maxWindow = 3600
)

func orElse(value *float64, preset float64) float64 {
	if value == nil {
		return preset
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
