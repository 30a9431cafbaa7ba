package codec

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssophub/config"
)

// seedInputs returns small manifests, because the fuzzer takes minutes to minimize
// large inputs.
func seedInputs() []string {
	return []string{
		`{}`, `{} {}`, `{"x":1}`, `{"network":{"zone":"1.5ms","client":1}}`,
		`{"tenants":[{"class":"x"},{"class":"y"}]}`,
		`{"name":"m","network":{"zone":"1ms","client":"1ms"},"zones":[{"name":"a","region":"r","hosts":1},{"name":"b","via":"a"}],
		"tenants":[{"name":"t","class":"urgent"}],"services":[{"name":"s","tenant":"t","shards":["0"],"slots":1,"connections":9,
		"connect":"6ms","floor":5,"warmup":"10s","servers":[{"name":"v","zone":"a","address":"10.0.0.1:80"}]}]}`,
	}
}

// TestExamples guards against example manifests that the check refuses, and against
// manifests that change when they are decoded and encoded again.
func TestExamples(t *testing.T) {
	for _, path := range []string{"../examples/skane.json", "../examples/capbon.json"} {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		m, err := DecodeManifest(data)
		require.NoError(t, err)
		require.Empty(t, config.CheckManifest(m))
		text, err := EncodeManifest(m)
		require.NoError(t, err)
		require.JSONEq(t, string(data), string(text))
	}
}

// TestEveryClassFaultIsNamed guards against an error that names only the first of
// several unknown classes.
func TestEveryClassFaultIsNamed(t *testing.T) {
	_, err := DecodeManifest([]byte(`{"tenants":[{"class":"x"},{"class":"urgent"},{"class":"y"}]}`))
	require.ErrorContains(t, err, "tenants[0].class")
	require.ErrorContains(t, err, "tenants[2].class")
}

// FuzzManifest guards against a manifest that causes a panic, and against a
// manifest that differs after it was encoded and decoded.
func FuzzManifest(f *testing.F) {
	for _, text := range seedInputs() {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeManifest(data)
		if err != nil {
			require.Empty(t, m)
			return
		}
		config.NewView(config.Value{Manifest: m})
		require.Empty(t, config.Differences(m, m))
		if len(config.CheckManifest(m)) > 0 {
			return
		}
		text, err := EncodeManifest(m)
		require.NoError(t, err)
		again, err := DecodeManifest(text)
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}

// FuzzValue guards against a stored value that causes a panic, and against a value
// that loses changes when it is encoded again.
func FuzzValue(f *testing.F) {
	f.Add([]byte(`{"manifest":{},"out":["a"],"changes":[{"id":"i","author":"o","at":"2026-09-01T08:00:00Z","from":7,"note":"n"}]}`))
	for _, text := range seedInputs() {
		f.Add([]byte(`{"out":null,"changes":[],"manifest":` + text + `}`))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// The input as a compressed value is only checked for panics.
		_, _ = DecodeValue(data, 7)
		value, err := decodeUncompressed(data, 7)
		if err != nil {
			require.Empty(t, value)
			return
		}
		config.NewView(value)
		text, err := EncodeValue(value)
		require.NoError(t, err)
		again, err := DecodeValue(text, 7)
		require.NoError(t, err)
		require.Equal(t, value.ZonesOut, again.ZonesOut)
		require.Len(t, again.Changes, len(value.Changes))
		for i, c := range value.Changes {
			require.True(t, c.At.Equal(again.Changes[i].At))
			c.At = again.Changes[i].At
			require.Equal(t, c, again.Changes[i])
		}
		require.Empty(t, config.Differences(value.Manifest, again.Manifest))
	})
}
