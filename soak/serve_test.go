package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/fakes"
)

// startServe starts an entry host of the product's own interface with its default memory
// and the system's limit on descriptors, and applies testdata/serve.json.
func (c *crowd) startServe(t *testing.T) {
	binary, folder := buildProgram(t), t.TempDir()
	platform, err := fakes.NewStore(loopback(crowdStore))
	require.NoError(t, err)
	text, err := os.ReadFile("testdata/serve.json")
	require.NoError(t, err)
	m, err := codec.DecodeManifest(text)
	require.NoError(t, err)
	s := m.Services[0]
	server, err := fakes.NewServer(fakes.ServerOptions{
		Name: s.Servers[0].Name, Address: s.Servers[0].Address, Slots: s.Slots, ServiceTime: time.Millisecond,
		Indexes: []fakes.Index{{Version: 1, All: s.Shards, Shards: s.Shards}},
	})
	require.NoError(t, err)
	h := &host{name: "a1", ip: loopback(crowdHost), zone: "a", dir: folder, binary: binary, program: "serve"}
	platform.SetHosts([]fakes.Host{{Name: h.name, Kind: "entry", Zone: h.zone, State: "live", Peer: h.address(portPeer), Beat: h.address(portHeartbeat)}})
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "zone": h.zone, "caller": h.address(portClients), "admin": h.address(portReadiness), "peer": h.address(portPeer),
		"beat": h.address(portHeartbeat), "platform": platform.Address(), "tokens": filepath.Join(folder, "tokens.json"),
	})
	require.NoError(t, err)
	const token = "crowd-token-0123456789abcdef0123456789"
	for name, content := range map[string][]byte{h.name + ".json": settings, "tokens.json": []byte(`{"north":"` + token + `"}`), "north": []byte(token)} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), content, 0o600))
	}
	c.host, c.ask = h, c.query
	require.NoError(t, h.start())
	t.Cleanup(func() {
		c.close()
		_ = errors.Join(server.Close(), platform.Close())
	})
	apply := func() bool {
		return exec.Command(binary, "manifest", "apply", "testdata/serve.json", "--revision", "0", "--admin", h.address(portReadiness), "--token", filepath.Join(folder, "north")).Run() == nil
	}
	require.Eventually(t, apply, crowdStart, 50*time.Millisecond, "the host accepts a manifest")
	require.Eventually(t, func() bool { return c.ask() == nil }, crowdStart, 50*time.Millisecond, "the host serves")
}

// query sends one query on a connection of its own and requires whole coverage.
func (c *crowd) query() error {
	client := &http.Client{Timeout: crowdWrite, Transport: &http.Transport{DisableKeepAlives: true}}
	body := `{"tenant":"desk","text":"plot","limit":1,"timeout":2000,"coverage":1}`
	response, err := client.Post("http://"+c.host.address(portClients)+"/v1/query", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return errors.Join(err, response.Body.Close())
}
