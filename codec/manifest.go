// Package codec converts the manifest and the stored configuration value to
// and from JSON.
package codec

import (
	"encoding/json"
	"errors"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
	"hyssophub/strict"

	"github.com/samber/oops"
)

type wireManifest struct {
	Name     string        `json:"name"`
	Network  wireNetwork   `json:"network"`
	Zones    []wireZone    `json:"zones"`
	Tenants  []wireTenant  `json:"tenants"`
	Services []wireService `json:"services"`
}

type wireNetwork struct {
	Zone   duration `json:"zone"`
	Client duration `json:"client"`
}

type wireZone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Hosts  int    `json:"hosts"`
	Via    string `json:"via,omitempty"`
}

type wireTenant struct {
	Name  string `json:"name"`
	Class string `json:"class,omitempty"`
}

type wireService struct {
	Name        string       `json:"name"`
	Tenant      string       `json:"tenant"`
	Shards      []string     `json:"shards"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	Connect     duration     `json:"connect"`
	Floor       int          `json:"floor"`
	Warmup      duration     `json:"warmup"`
	Servers     []wireServer `json:"servers"`
}

type wireServer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// duration is written as a string such as "1.5ms".
type duration time.Duration

// MarshalJSON writes the duration as a string.
func (d duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a duration string.
func (d *duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return oops.Errorf("a duration such as \"6ms\" is wanted, not %s", text)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return oops.Errorf("a duration such as \"6ms\" is wanted, not %q", s)
	}
	*d = duration(parsed)
	return nil
}

// DecodeManifest reads a manifest. Unknown fields are errors.
func DecodeManifest(data []byte) (config.Manifest, error) {
	if err := strict.CheckDuplicateKeys(data); err != nil {
		return config.Manifest{}, oops.Wrapf(err, "JSON")
	}
	var w wireManifest
	if err := decodeStrict(data, &w); err != nil {
		return config.Manifest{}, err
	}
	return fromWire(w)
}

// EncodeManifest writes a manifest as indented JSON.
func EncodeManifest(m config.Manifest) ([]byte, error) {
	return json.MarshalIndent(toWire(m), "", "  ")
}

func decodeStrict(data []byte, target any) error {
	offset, err := strict.Decode(data, target)
	switch {
	case errors.Is(err, strict.ErrTrailing):
		return oops.Errorf("JSON has more than one value")
	case err != nil:
		return oops.Wrapf(err, "JSON at byte %d", offset)
	}
	return nil
}

func fromWire(w wireManifest) (config.Manifest, error) {
	m := config.Manifest{
		Name:    w.Name,
		Network: config.Network{Zone: time.Duration(w.Network.Zone), Client: time.Duration(w.Network.Client)},
	}
	for _, z := range w.Zones {
		m.Zones = append(m.Zones, config.Zone(z))
	}
	var faults []error
	for i, t := range w.Tenants {
		class, ok := shard.ParseClass(t.Class)
		if !ok {
			faults = append(faults, oops.Errorf("tenants[%d].class: %q is neither urgent nor routine", i, t.Class))
		}
		m.Tenants = append(m.Tenants, config.Tenant{Name: t.Name, Class: class})
	}
	for _, s := range w.Services {
		service := config.Service{
			Name:        s.Name,
			Tenant:      s.Tenant,
			Shards:      s.Shards,
			Slots:       s.Slots,
			Connections: s.Connections,
			Connect:     time.Duration(s.Connect),
			Floor:       s.Floor,
			Warmup:      time.Duration(s.Warmup),
		}
		for _, server := range s.Servers {
			service.Servers = append(service.Servers, config.Server(server))
		}
		m.Services = append(m.Services, service)
	}
	if err := errors.Join(faults...); err != nil {
		return config.Manifest{}, err
	}
	return m, nil
}

func toWire(m config.Manifest) wireManifest {
	w := wireManifest{
		Name:    m.Name,
		Network: wireNetwork{Zone: duration(m.Network.Zone), Client: duration(m.Network.Client)},
	}
	for _, z := range m.Zones {
		w.Zones = append(w.Zones, wireZone(z))
	}
	for _, t := range m.Tenants {
		w.Tenants = append(w.Tenants, wireTenant{Name: t.Name, Class: t.Class.String()})
	}
	for _, s := range m.Services {
		service := wireService{
			Name:        s.Name,
			Tenant:      s.Tenant,
			Shards:      s.Shards,
			Slots:       s.Slots,
			Connections: s.Connections,
			Connect:     duration(s.Connect),
			Floor:       s.Floor,
			Warmup:      duration(s.Warmup),
		}
		for _, server := range s.Servers {
			service.Servers = append(service.Servers, wireServer(server))
		}
		w.Services = append(w.Services, service)
	}
	return w
}
