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

// changeFlags holds the flags of the commands that change the configuration.
type changeFlags struct {
	Revision *uint64 `help:"Refuse unless the configuration is still at this revision."`
	Change   string  `help:"Id of a pending change to repeat; needs --revision."`
}

// Validate is called by kong. It requires --revision for a repeated change,
// because the change could be applied twice without it.
func (f changeFlags) Validate() error {
	if f.Change != "" && f.Revision == nil {
		return errors.New("--change needs --revision")
	}
	return nil
}

// queryParams returns the flags as parameters of a request URL.
func (f changeFlags) queryParams() url.Values {
	params := make(url.Values)
	if f.Revision != nil {
		params.Set("revision", strconv.FormatUint(*f.Revision, 10))
	}
	if f.Change != "" {
		params.Set("change", f.Change)
	}
	return params
}

type manifestCheckCmd struct {
	File  string `arg:"" help:"Manifest." type:"path"`
	Admin string `help:"Address of a host's administration API, to list what would change." env:"HYSSOPHUB_ADMIN" placeholder:"IP:PORT"`
	Token string `help:"File that holds the office's token." env:"HYSSOPHUB_TOKEN" type:"path" placeholder:"FILE"`
	JSON  bool   `help:"Print the answer as JSON." name:"json"`
}

// checkResponse is the result of a manifest check. Only a check on a host sets
// Differences and Revision: the differences from the configuration at Revision.
type checkResponse struct {
	Faults      []fault      `json:"faults"`
	Differences []difference `json:"differences,omitempty"`
	Revision    uint64       `json:"revision,omitempty"`
}

// difference is a part of the manifest that was added, removed or changed.
type difference struct {
	Kind   string `json:"kind"`
	Place  string `json:"place"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Run checks the manifest on the host at c.Admin, or in this process if no
// address is given. It returns errReported if the manifest has faults.
func (c *manifestCheckCmd) Run(streams *Streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return oops.Wrapf(err, "manifest")
	}
	response, err := c.check(data)
	if err != nil {
		return err
	}
	if c.JSON {
		line, err := json.Marshal(response)
		if err != nil {
			return err
		}
		if err := printJSON(streams.Out, line); err != nil {
			return err
		}
	} else {
		c.print(streams, response)
	}
	if len(response.Faults) > 0 {
		return errReported
	}
	return nil
}

func (c *manifestCheckCmd) check(data []byte) (checkResponse, error) {
	response := checkResponse{Faults: []fault{}}
	if c.Admin == "" {
		manifest, err := codec.DecodeManifest(data)
		if err != nil {
			return response, oops.Wrapf(err, "manifest %s", c.File)
		}
		for _, f := range config.CheckManifest(manifest) {
			response.Faults = append(response.Faults, fault(f))
		}
		return response, nil
	}
	r, err := adminClient{Admin: c.Admin, Token: c.Token}.call(http.MethodPost, "/v1/manifest/check", nil, data)
	if err != nil {
		return response, err
	}
	if r.status != http.StatusOK {
		var refused changeResponse
		_ = json.Unmarshal(r.body, &refused)
		return response, oops.Errorf("status %d: %s", r.status, refused.Error)
	}
	return response, oops.Wrapf(json.Unmarshal(r.body, &response), "answer")
}

func (c *manifestCheckCmd) print(streams *Streams, response checkResponse) {
	printf(streams.Out, "%s: %d faults\n", c.File, len(response.Faults))
	printFaults(streams.Out, response.Faults)
	if c.Admin == "" {
		return
	}
	printf(streams.Out, "%d differences from revision %d\n", len(response.Differences), response.Revision)
	for _, d := range response.Differences {
		if d.Kind == "changed" {
			printf(streams.Out, "  changed %s: %s -> %s\n", d.Place, d.Before, d.After)
			continue
		}
		printf(streams.Out, "  %s %s\n", d.Kind, d.Place)
	}
}

type manifestApplyCmd struct {
	adminClient
	changeFlags
	File string `arg:"" help:"Manifest." type:"path"`
}

// Run replaces the manifest of the deployment.
func (c *manifestApplyCmd) Run(streams *Streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return oops.Wrapf(err, "manifest")
	}
	r, err := c.call(http.MethodPut, "/v1/manifest", c.queryParams(), data)
	if err != nil {
		return err
	}
	return c.printResult(streams.Out, r)
}

type manifestShowCmd struct{ adminClient }

// configResponse is the configuration in force on a host.
type configResponse struct {
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

// Run prints the configuration in force on the host, with its recent changes.
func (c *manifestShowCmd) Run(streams *Streams) error {
	var response configResponse
	if decoded, err := c.get(streams.Out, "/v1/manifest", &response); !decoded || err != nil {
		return err
	}
	printf(streams.Out, "revision %d, zones out: %v\n", response.Revision, response.Out)
	for _, change := range response.Changes {
		printf(streams.Out, "  %s %s from revision %d: %s (%s)\n", change.At, change.Author, change.From, change.Note, change.ID)
	}
	return printJSON(streams.Out, response.Manifest)
}
