package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/daemon"
	"hyssophub/fakes"
	"hyssophub/kvhttp"
	"hyssophub/logs"
	"hyssophub/setup"

	"github.com/samber/oops"
)

type demoCmd struct {
	Manifest string `help:"Manifest of the deployment." default:"examples/skane.json" type:"path"`
	JSON     bool   `help:"Print one JSON object a line." name:"json"`
}

// demoServiceTime is the time that a request takes on a fake server.
const demoServiceTime = 2 * time.Millisecond

// demoTimeout bounds the whole demo, so that a demo that hangs ends.
const demoTimeout = 25 * time.Second

// demoIndexVersion is the index version that all fake servers serve.
const demoIndexVersion = 1

// Run starts the deployment and queries it in three states: with all zones in
// service, with one zone out of service, and with a server down as well.
func (c *demoCmd) Run(cli *root, streams *Streams) error {
	log, err := logs.New(streams.Err, cli.Log)
	if err != nil {
		return err
	}
	if cli.Log == "" {
		log = logs.Discard()
	}
	data, err := os.ReadFile(c.Manifest)
	if err != nil {
		return oops.Wrapf(err, "manifest")
	}
	manifest, err := codec.DecodeManifest(data)
	if err != nil {
		return oops.Wrapf(err, "manifest %s", c.Manifest)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d, err := startDemo(manifest, log)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.runSteps(ctx, responsePrinter{out: streams.Out, json: c.JSON}); err != nil {
		return err
	}
	return nil
}

// demo is a deployment in one process: entry hosts over a fake store and fake
// backend servers.
type demo struct {
	manifest config.Manifest
	store    *fakes.Store
	servers  map[string]*fakes.Server
	hosts    []*daemon.Daemon
	revision uint64
}

func startDemo(manifest config.Manifest, log *logs.Loggers) (*demo, error) {
	d := &demo{manifest: manifest, servers: make(map[string]*fakes.Server)}
	var err error
	if d.store, err = fakes.NewStore(""); err != nil {
		return nil, err
	}
	if err := d.startServers(); err != nil {
		d.close()
		return nil, err
	}
	if err := d.startHosts(log); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// startServers starts a fake server on a free port for each backend server, and
// enters its address into the manifest.
func (d *demo) startServers() error {
	for i := range d.manifest.Services {
		s := &d.manifest.Services[i]
		for j := range s.Servers {
			server, err := fakes.NewServer(fakes.ServerOptions{
				Name:        s.Servers[j].Name,
				Slots:       s.Slots,
				ServiceTime: demoServiceTime,
				Indexes:     []fakes.Index{{Version: demoIndexVersion, All: s.Shards, Shards: s.Shards}},
			})
			if err != nil {
				return err
			}
			d.servers[s.Servers[j].Name] = server
			s.Servers[j].Address = server.Address()
		}
	}
	return nil
}

// maxDemoHosts bounds the entry hosts of the demo: one in each of the first zones
// of the manifest. The host in the first zone owns the servers of the zones
// without an entry host.
const maxDemoHosts = 3

// startHosts starts the entry hosts and lists them in the store.
func (d *demo) startHosts(log *logs.Loggers) error {
	var hosts []fakes.Host
	for i := range d.manifest.Zones {
		z := &d.manifest.Zones[i]
		if i >= maxDemoHosts {
			z.Via = d.manifest.Zones[0].Name
			continue
		}
		host, err := daemon.New(setup.Settings{
			Name:          "entry-" + z.Name,
			Zone:          z.Name,
			CallerAddr:    "127.0.0.1:0",
			AdminAddr:     "127.0.0.1:0",
			PeerAddr:      "127.0.0.1:0",
			HeartbeatAddr: "127.0.0.1:0",
			PlatformAddr:  d.store.Address(),
			Stop:          setup.Stop{FinishTimeout: time.Second},
		}, log)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, host)
		hosts = append(hosts, fakes.Host{Name: "entry-" + z.Name, Kind: "entry", Zone: z.Name, State: "live", Peer: host.PeerAddress(), Beat: host.HeartbeatAddress()})
	}
	d.store.SetHosts(hosts)
	return nil
}

func (d *demo) close() {
	for _, h := range d.hosts {
		_ = h.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = d.store.Close()
}

// runSteps changes the state of the deployment and queries it in each state.
func (d *demo) runSteps(ctx context.Context, p responsePrinter) error {
	if err := d.apply(ctx, nil); err != nil {
		return err
	}
	if err := d.runStep(ctx, p, "all zones in service", 1); err != nil {
		return err
	}
	zone := d.manifest.Zones[1].Name
	if err := d.apply(ctx, []string{zone}); err != nil {
		return err
	}
	if err := d.runStep(ctx, p, "availability zone "+zone+" out", 1); err != nil {
		return err
	}
	server := d.manifest.Services[0].Servers[0].Name
	if err := d.servers[server].Close(); err != nil {
		return err
	}
	return d.runStep(ctx, p, "availability zone "+zone+" out, server "+server+" down", 0)
}

// runStep queries each tenant until the coverage ratio of the answer is at least
// want, and prints that answer.
func (d *demo) runStep(ctx context.Context, p responsePrinter, title string, want float64) error {
	for _, t := range d.manifest.Tenants {
		answer, err := d.query(ctx, t.Name)
		for err == nil && answer.Coverage.ratio() < want {
			answer, err = d.query(ctx, t.Name)
			if ctx.Err() != nil {
				return oops.Errorf("%s: tenant %s: coverage is still %d of %d shards at the time limit of the demo", title, t.Name, answer.Coverage.Covered, answer.Coverage.Total)
			}
		}
		if err != nil {
			return err
		}
		p.print(title, t.Name, answer)
	}
	return nil
}

// queryResponse is the body of the response to a query; Error is set if the query
// failed.
type queryResponse struct {
	Request  string   `json:"request"`
	Snapshot uint64   `json:"snapshot"`
	Coverage coverage `json:"coverage"`
	Hits     []hit    `json:"hits"`
	// Took is in milliseconds.
	Took float64 `json:"took"`
	// Subs counts the sub-requests sent, and Extra those among them that were
	// hedges or retries.
	Subs  int    `json:"subs"`
	Extra int    `json:"extra"`
	Error string `json:"error,omitempty"`
}

// coverage says how many shards of the queried services contributed to the
// result, and why the others did not.
type coverage struct {
	Covered int `json:"covered"`
	Total   int `json:"total"`
	Missing []struct {
		Service string `json:"service"`
		Shard   string `json:"shard"`
		Reason  string `json:"reason"`
	} `json:"missing"`
}

type hit struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

func (c coverage) ratio() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// query sends a query for a tenant to the caller API of the first entry host.
func (d *demo) query(ctx context.Context, tenant string) (queryResponse, error) {
	body, err := json.Marshal(map[string]any{"tenant": tenant, "text": "plot 7", "limit": 5, "timeout": 500})
	if err != nil {
		return queryResponse{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.hosts[0].CallerAddress()+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return queryResponse{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return queryResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer queryResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return queryResponse{}, err
	}
	return answer, nil
}

// apply writes the manifest and the zones out of service to the store, and waits
// until the new configuration is in force on all hosts.
func (d *demo) apply(ctx context.Context, out []string) error {
	value, err := codec.EncodeValue(config.Value{Manifest: d.manifest, ZonesOut: out})
	if err != nil {
		return err
	}
	kv := kvhttp.NewClient(d.store.Address())
	defer kv.Close()
	e, err := kv.Swap(ctx, "config", d.revision, value, 0)
	if err != nil {
		return err
	}
	d.revision = e.Revision
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for _, h := range d.hosts {
		for h.Revision() < d.revision {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return oops.Errorf("configuration revision %d is not in force on all hosts at the time limit of the demo", d.revision)
			}
		}
	}
	return nil
}

// responsePrinter prints responses to queries as text or as JSON lines.
type responsePrinter struct {
	out  io.Writer
	json bool
}

func (p responsePrinter) print(title, tenant string, a queryResponse) {
	if p.json {
		line, _ := json.Marshal(struct {
			Step   string        `json:"step"`
			Tenant string        `json:"tenant"`
			Answer queryResponse `json:"answer"`
		}{title, tenant, a})
		_, _ = fmt.Fprintln(p.out, string(line))
		return
	}
	_, _ = fmt.Fprintf(p.out, "%s: tenant %s: snapshot %d, coverage %d of %d shards, %.1f ms, %d sub-requests (%d extra)\n",
		title, tenant, a.Snapshot, a.Coverage.Covered, a.Coverage.Total, a.Took, a.Subs, a.Extra)
	for _, h := range a.Hits {
		_, _ = fmt.Fprintf(p.out, "    %.3f %s %s\n", h.Score, h.Key, h.Text)
	}
	for _, m := range a.Coverage.Missing {
		_, _ = fmt.Fprintf(p.out, "    missing: service %s shard %s: %s\n", m.Service, m.Shard, m.Reason)
	}
}
