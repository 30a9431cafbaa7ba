package cmds

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/samber/oops"

	"hyssophub/codec"
	"hyssophub/config"
)

type manifestCmd struct {
	Check manifestCheckCmd `cmd:"" help:"Check a manifest without applying it."`
	Apply manifestApplyCmd `cmd:"" help:"Replace the manifest."`
	Show  manifestShowCmd  `cmd:"" help:"Show the configuration in force on a host."`
}

// guard holds the flags of the commands that change the configuration.
type guard struct {
	Revision *uint64 `help:"Refuse unless the configuration is still at this revision."`
	Change   string  `help:"Id of a pending change to repeat; needs --revision."`
}

// Validate is called by kong. Without the revision, a repeated change could be
// applied twice.
func (g guard) Validate() error {
	if g.Change != "" && g.Revision == nil {
		return errors.New("--change needs --revision")
	}
	return nil
}

func (g guard) query() url.Values {
	query := make(url.Values)
	if g.Revision != nil {
		query.Set("revision", strconv.FormatUint(*g.Revision, 10))
	}
	if g.Change != "" {
		query.Set("change", g.Change)
	}
	return query
}

type manifestCheckCmd struct {
	File  string `arg:"" help:"Manifest." type:"path"`
	Admin string `help:"Address of a host's administration API, to list what would change." env:"HYSSOPHUB_ADMIN" placeholder:"IP:PORT"`
	Token string `help:"File that holds the office's token." env:"HYSSOPHUB_TOKEN" type:"path" placeholder:"FILE"`
	JSON  bool   `help:"Print the answer as JSON." name:"json"`
}

type checkAnswer struct {
	Faults      []fault      `json:"faults"`
	Differences []difference `json:"differences,omitempty"`
	Revision    uint64       `json:"revision,omitempty"`
}

type difference struct {
	Kind   string `json:"kind"`
	Place  string `json:"place"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Run checks the manifest here, or on a host if an address is given.
func (c *manifestCheckCmd) Run(streams *Streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return oops.Wrapf(err, "manifest")
	}
	answer, err := c.check(data)
	if err != nil {
		return err
	}
	if c.JSON {
		line, err := json.Marshal(answer)
		if err != nil {
			return err
		}
		if err := printRaw(streams.Out, line); err != nil {
			return err
		}
	} else {
		c.print(streams, answer)
	}
	if len(answer.Faults) > 0 {
		return errFailed
	}
	return nil
}

func (c *manifestCheckCmd) check(data []byte) (checkAnswer, error) {
	answer := checkAnswer{Faults: []fault{}}
	if c.Admin == "" {
		manifest, err := codec.DecodeManifest(data)
		if err != nil {
			return answer, oops.Wrapf(err, "manifest %s", c.File)
		}
		for _, f := range config.CheckManifest(manifest) {
			answer.Faults = append(answer.Faults, fault(f))
		}
		return answer, nil
	}
	r, err := operator{Admin: c.Admin, Token: c.Token}.call(http.MethodPost, "/v1/manifest/check", nil, data)
	if err != nil {
		return answer, err
	}
	if r.status != http.StatusOK {
		var refused outcome
		_ = json.Unmarshal(r.body, &refused)
		return answer, oops.Errorf("status %d: %s", r.status, refused.Error)
	}
	return answer, oops.Wrapf(json.Unmarshal(r.body, &answer), "answer")
}

func (c *manifestCheckCmd) print(streams *Streams, answer checkAnswer) {
	printf(streams.Out, "%s: %d faults\n", c.File, len(answer.Faults))
	printFaults(streams.Out, answer.Faults)
	if c.Admin == "" {
		return
	}
	printf(streams.Out, "%d differences from revision %d\n", len(answer.Differences), answer.Revision)
	for _, d := range answer.Differences {
		if d.Kind == "changed" {
			printf(streams.Out, "  changed %s: %s -> %s\n", d.Place, d.Before, d.After)
			continue
		}
		printf(streams.Out, "  %s %s\n", d.Kind, d.Place)
	}
}

type manifestApplyCmd struct {
	operator
	guard
	File string `arg:"" help:"Manifest." type:"path"`
}

// Run replaces the manifest.
func (c *manifestApplyCmd) Run(streams *Streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return oops.Wrapf(err, "manifest")
	}
	r, err := c.call(http.MethodPut, "/v1/manifest", c.query(), data)
	if err != nil {
		return err
	}
	return c.show(streams.Out, r)
}

type manifestShowCmd struct{ operator }

type shownConfig struct {
	Revision uint64   `json:"revision"`
	Out      []string `json:"out"`
	Changes  []struct {
		ID     string `json:"id"`
		Author string `json:"author"`
		At     string `json:"at"`
		From   uint64 `json:"from"`
		Note   string `json:"note"`
	} `json:"changes"`
	Manifest json.RawMessage `json:"manifest"`
}

// Run prints the configuration with its recent changes.
func (c *manifestShowCmd) Run(streams *Streams) error {
	var shown shownConfig
	if text, err := c.get(streams.Out, "/v1/manifest", &shown); !text || err != nil {
		return err
	}
	printf(streams.Out, "revision %d, zones out: %v\n", shown.Revision, shown.Out)
	for _, change := range shown.Changes {
		printf(streams.Out, "  %s %s from revision %d: %s (%s)\n", change.At, change.Author, change.From, change.Note, change.ID)
	}
	return printRaw(streams.Out, shown.Manifest)
}
