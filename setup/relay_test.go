package setup

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func relaySettings() map[string]any {
	return map[string]any{
		"name": "h", "zone": "z", "front": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3",
		"stats": "127.0.0.1:4", "beat": "127.0.0.1:5", "store": "127.0.0.1:6", "cores": 0.192,
		"seeds": []string{"127.0.0.2:3"}, "memory": 184,
		"stop":   map[string]any{"grace": 6},
		"budget": map[string]any{"ratio": 0.2, "burst": 58, "window": 10},
	}
}

// TestRelaySettings guards against invalid settings that are accepted, and against
// errors that do not name the field and its allowed values.
func TestRelaySettings(t *testing.T) {
	cases := []struct {
		name  string
		field string
		value any
		error string
	}{
		{"valid", "", nil, ""},
		{"unknown field", "other", 1, ""},
		{"bound that the platform does not set", "stop", map[string]any{"grace": nil}, ""},
		{"no name", "name", "", `field "name" is "", allowed is a name of 1 to 64 characters`},
		{"host name instead of an IP address", "front", "host:1", `field "front" is "host:1", allowed is an IP address and a port such as 127.0.0.1:8080`},
		{"no cores", "cores", 0, `field "cores" is 0, allowed is a number from 0.001 to 1024`},
		{"bad seed", "seeds", []string{"x"}, `field "seeds" is "x"`},
		{"no grace", "stop", map[string]any{"grace": 0}, `field "stop.grace" is 0`},
		{"ratio over 1", "budget", map[string]any{"ratio": 2, "burst": 1, "window": 10}, `field "budget.ratio" is 2, allowed is a number from 0 to 1`},
		{"wrong type", "memory", "much", "allowed is an object with"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fields := maps.Clone(relaySettings())
			if c.field != "" {
				fields[c.field] = c.value
			}
			data, err := json.Marshal(fields)
			require.NoError(t, err)
			settings, err := DecodeRelay(data)
			if c.error != "" {
				require.ErrorContains(t, err, c.error)
				return
			}
			require.NoError(t, err)
			require.Equal(t, 192, settings.MilliCores)
			require.Equal(t, 6*time.Second, settings.Stop.Grace)
			require.Equal(t, RelayBudget{Ratio: 0.2, Burst: 58, Window: 10 * time.Second}, settings.Budget)
			require.Equal(t, 1200*time.Millisecond, settings.ReportInterval)
		})
	}
}

// TestRelayExample guards against an example file that is refused.
func TestRelayExample(t *testing.T) {
	settings, err := ReadRelay("../examples/relay.json")
	require.NoError(t, err)
	require.Equal(t, 400, settings.MilliCores)
	require.Equal(t, []string{"127.0.0.2:8106"}, settings.Seeds)
}

// TestRelayRepeatedKey guards against a repeated key of which the decoder silently
// uses the last value.
func TestRelayRepeatedKey(t *testing.T) {
	_, err := DecodeRelay([]byte(`{"name":"a","stop":{"grace":5,"grace":6}}`))
	require.ErrorContains(t, err, `key "grace" is given twice in one object`)
}
