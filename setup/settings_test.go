package setup

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExample guards against an example file that is refused, and against time
// limits that are decoded wrongly.
func TestExample(t *testing.T) {
	s, err := Read("../examples/entry-a-1.json")
	require.NoError(t, err)
	require.Equal(t, Stop{UnreadyDelay: 5 * time.Second, FinishTimeout: 30 * time.Second, LeaveTimeout: 2 * time.Second}, s.Stop)
	require.Equal(t, "127.0.0.1:8083", s.HeartbeatAddr)
}

// TestWrongSettings guards against errors that do not name the file, an invalid
// field and its allowed values, and against unknown fields that are ignored.
func TestWrongSettings(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown", `{"name":"a","colour":1}`, `unknown field "colour"`},
		{"name", `{"zone":"a"}`, `field "name" is ""`},
		{"host name", `{"caller":"localhost:80"}`, `field "caller" is "localhost:80", allowed is an IP address and a port`},
		{"port", `{"beat":"127.0.0.1:99999"}`, `field "beat" is "127.0.0.1:99999"`},
		{"limit", `{"stop":{"notice":"1h"}}`, `field "stop.notice" is "1h", allowed is a duration`},
		{"leave", `{"stop":{"leave":"x"}}`, `field "stop.leave" is "x"`},
		{"memory", `{"memory":63}`, `field "memory" is 63`},
		{"files", `{"files":-1}`, `field "files" is -1`},
		{"two values", `{} {}`, "more than one JSON value"},
		{"repeated key", `{"name":"a","name":"b"}`, `key "name" is given twice`},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "host.json")
			require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
			_, err := Read(path)
			require.ErrorContains(t, err, c.want)
			require.ErrorContains(t, err, path)
		})
	}
}

// FuzzDecode guards against settings that crash the host, and against accepted
// settings with an empty name or address.
func FuzzDecode(f *testing.F) {
	example, err := os.ReadFile("../examples/entry-a-1.json")
	require.NoError(f, err)
	f.Add(example)
	f.Add([]byte(`{"stop":{"notice":"-1s"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		require.NotEmpty(t, s.Name)
		require.NotEmpty(t, s.PlatformAddr)
		require.GreaterOrEqual(t, s.Stop.UnreadyDelay, time.Duration(0))
	})
}
