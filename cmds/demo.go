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

// demoServiceTime is the time that a request takes on a stand-in server.
const demoServiceTime = 2 * time.Millisecond

// demoLimit ends a demo that hangs.
const demoLimit = 25 * time.Second

// demoVersion is the index version that all stand-in servers hold.
const demoVersion = 1

// Run starts the deployment, queries it, takes a zone out and a server down,
// and queries again after each.
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
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	d, err := startDemo(manifest, log)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.play(ctx, demoPrinter{out: streams.Out, json: c.JSON}); err != nil {
		return err
	}
	return nil
}

// demo is a deployment in one process.
type demo struct {
	manifest config.Manifest
	store    *fakes.Store
	servers  map[string]*fakes.Server
	hosts    []*daemon.Daemon
	revision uint64
}

func startDemo(manifest config.Manifest, log *logs.Logs) (*demo, error) {
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

// startServers starts a stand-in for each backend server on a free port.
func (d *demo) startServers() error {
	for i := range d.manifest.Services {
		s := &d.manifest.Services[i]
		for j := range s.Servers {
			server, err := fakes.NewServer(fakes.ServerOptions{
				Name:        s.Servers[j].Name,
				Slots:       s.Slots,
				ServiceTime: demoServiceTime,
				Indexes:     []fakes.Index{{Version: demoVersion, All: s.Shards, Shards: s.Shards}},
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

// demoHosts is the number of entry hosts of the demo, in the first zones. The
// first host's zone owns the servers of the zones without one.
const demoHosts = 3

func (d *demo) startHosts(log *logs.Logs) error {
	var listed []fakes.Host
	for i := range d.manifest.Zones {
		z := &d.manifest.Zones[i]
		if i >= demoHosts {
			z.Via = d.manifest.Zones[0].Name
			continue
		}
		host, err := daemon.New(setup.Settings{
			Name:     "entry-" + z.Name,
			Zone:     z.Name,
			Caller:   "127.0.0.1:0",
			Admin:    "127.0.0.1:0",
			Peer:     "127.0.0.1:0",
			Beat:     "127.0.0.1:0",
			Platform: d.store.Address(),
			Stop:     setup.Stop{Finish: time.Second},
		}, log)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, host)
		listed = append(listed, fakes.Host{Name: "entry-" + z.Name, Kind: "entry", Zone: z.Name, State: "live", Peer: host.PeerAddress(), Beat: host.BeatAddress()})
	}
	d.store.SetHosts(listed)
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

// play runs the steps of the demo.
func (d *demo) play(ctx context.Context, p demoPrinter) error {
	if err := d.apply(ctx, nil); err != nil {
		return err
	}
	if err := d.step(ctx, p, "all zones in service", 1); err != nil {
		return err
	}
	zone := d.manifest.Zones[1].Name
	if err := d.apply(ctx, []string{zone}); err != nil {
		return err
	}
	if err := d.step(ctx, p, "availability zone "+zone+" out", 1); err != nil {
		return err
	}
	server := d.manifest.Services[0].Servers[0].Name
	if err := d.servers[server].Close(); err != nil {
		return err
	}
	return d.step(ctx, p, "availability zone "+zone+" out, server "+server+" down", 0)
}

// step queries each tenant until the coverage is at least want, and prints the
// last answers.
func (d *demo) step(ctx context.Context, p demoPrinter, title string, want float64) error {
	for _, t := range d.manifest.Tenants {
		answer, err := d.query(ctx, t.Name)
		for err == nil && answer.Coverage.ratio() < want {
			answer, err = d.query(ctx, t.Name)
			if ctx.Err() != nil {
				return oops.Errorf("%s: tenant %s is covered only %d of %d", title, t.Name, answer.Coverage.Covered, answer.Coverage.Total)
			}
		}
		if err != nil {
			return err
		}
		p.print(title, t.Name, answer)
	}
	return nil
}

type demoAnswer struct {
	Request  string       `json:"request"`
	Snapshot uint64       `json:"snapshot"`
	Coverage demoCoverage `json:"coverage"`
	Hits     []demoHit    `json:"hits"`
	Took     float64      `json:"took"`
	Subs     int          `json:"subs"`
	Extra    int          `json:"extra"`
	Error    string       `json:"error,omitempty"`
}

type demoCoverage struct {
	Covered int `json:"covered"`
	Total   int `json:"total"`
	Missing []struct {
		Service string `json:"service"`
		Shard   string `json:"shard"`
		Reason  string `json:"reason"`
	} `json:"missing"`
}

type demoHit struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

func (c demoCoverage) ratio() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// query sends a caller's request to the first entry host.
func (d *demo) query(ctx context.Context, tenant string) (demoAnswer, error) {
	body, err := json.Marshal(map[string]any{"tenant": tenant, "text": "plot 7", "limit": 5, "timeout": 500})
	if err != nil {
		return demoAnswer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.hosts[0].CallerAddress()+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return demoAnswer{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return demoAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer demoAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return demoAnswer{}, err
	}
	return answer, nil
}

// apply writes the configuration and waits until it is in force on all hosts.
func (d *demo) apply(ctx context.Context, out []string) error {
	value, err := codec.EncodeValue(config.Value{Manifest: d.manifest, ZonesOut: out})
	if err != nil {
		return err
	}
	platform := kvhttp.NewClient(d.store.Address())
	defer platform.Close()
	e, err := platform.Swap(ctx, "config", d.revision, value, 0)
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
				return oops.Errorf("revision %d is not in force in time", d.revision)
			}
		}
	}
	return nil
}

// demoPrinter prints answers as text or as JSON lines.
type demoPrinter struct {
	out  io.Writer
	json bool
}

func (p demoPrinter) print(title, tenant string, a demoAnswer) {
	if p.json {
		line, _ := json.Marshal(struct {
			Step   string     `json:"step"`
			Tenant string     `json:"tenant"`
			Answer demoAnswer `json:"answer"`
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
