// Package codec converts manifests and the values of the platform's store to and
// from JSON: the configuration, the rosters of zones and the records of request
// keys. It owns the JSON field names and the compression. It leaves the checks of
// the decoded values to the packages that define them.
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

type manifestJSON struct {
	Name     string        `json:"name"`
	Network  networkJSON   `json:"network"`
	Zones    []zoneJSON    `json:"zones"`
	Tenants  []tenantJSON  `json:"tenants"`
	Services []serviceJSON `json:"services"`
}

type networkJSON struct {
	Zone   duration `json:"zone"`
	Client duration `json:"client"`
}

type zoneJSON struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Hosts  int    `json:"hosts"`
	Via    string `json:"via,omitempty"`
}

type tenantJSON struct {
	Name  string `json:"name"`
	Class string `json:"class,omitempty"`
}

type serviceJSON struct {
	Name        string       `json:"name"`
	Tenant      string       `json:"tenant"`
	Shards      []string     `json:"shards"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	Connect     duration     `json:"connect"`
	Floor       int          `json:"floor"`
	Warmup      duration     `json:"warmup"`
	Servers     []serverJSON `json:"servers"`
}

type serverJSON struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// duration is a time.Duration that is encoded as a string such as "1.5ms".
type duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return oops.Errorf("expected a duration such as \"6ms\", got %s", text)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return oops.Errorf("expected a duration such as \"6ms\", got %q", s)
	}
	*d = duration(parsed)
	return nil
}

// DecodeManifest decodes a manifest. Unknown fields, keys that an object has twice
// and unknown classes are errors. It does not check the manifest.
func DecodeManifest(data []byte) (config.Manifest, error) {
	if err := strict.CheckDuplicateKeys(data); err != nil {
		return config.Manifest{}, oops.Wrapf(err, "JSON")
	}
	var w manifestJSON
	if err := decodeStrict(data, &w); err != nil {
		return config.Manifest{}, err
	}
	return manifestFromJSON(w)
}

// EncodeManifest encodes a manifest as indented JSON.
func EncodeManifest(m config.Manifest) ([]byte, error) {
	return json.MarshalIndent(manifestToJSON(m), "", "  ")
}

// decodeStrict decodes exactly one JSON value without unknown fields.
func decodeStrict(data []byte, target any) error {
	offset, err := strict.Decode(data, target)
	switch {
	case errors.Is(err, strict.ErrTrailing):
		return oops.Errorf("JSON has data after its first value")
	case err != nil:
		return oops.Wrapf(err, "JSON at byte %d", offset)
	}
	return nil
}

// manifestFromJSON returns one error for each tenant with an unknown class, joined.
func manifestFromJSON(w manifestJSON) (config.Manifest, error) {
	m := config.Manifest{
		Name:    w.Name,
		Network: config.Network{Zone: time.Duration(w.Network.Zone), Client: time.Duration(w.Network.Client)},
	}
	for _, z := range w.Zones {
		m.Zones = append(m.Zones, config.Zone(z))
	}
	var classErrors []error
	for i, t := range w.Tenants {
		class, ok := shard.ParseClass(t.Class)
		if !ok {
			classErrors = append(classErrors, oops.Errorf("tenants[%d].class: %q is neither urgent nor routine", i, t.Class))
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
	if err := errors.Join(classErrors...); err != nil {
		return config.Manifest{}, err
	}
	return m, nil
}

func manifestToJSON(m config.Manifest) manifestJSON {
	w := manifestJSON{
		Name:    m.Name,
		Network: networkJSON{Zone: duration(m.Network.Zone), Client: duration(m.Network.Client)},
	}
	for _, z := range m.Zones {
		w.Zones = append(w.Zones, zoneJSON(z))
	}
	for _, t := range m.Tenants {
		w.Tenants = append(w.Tenants, tenantJSON{Name: t.Name, Class: t.Class.String()})
	}
	for _, s := range m.Services {
		service := serviceJSON{
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
			service.Servers = append(service.Servers, serverJSON(server))
		}
		w.Services = append(w.Services, service)
	}
	return w
}
