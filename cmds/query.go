package cmds

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"
)

type queryCmd struct {
	Caller   string        `required:"" help:"Address of a host for callers." env:"HYSSOPHUB_CALLER" placeholder:"IP:PORT"`
	Tenant   string        `required:"" help:"Tenant whose services are queried."`
	Services []string      `help:"Services to query; all of the tenant's if none is given."`
	Class    string        `help:"Class: urgent or routine; the tenant's if empty."`
	Limit    int           `help:"Largest number of hits." default:"20"`
	Timeout  time.Duration `help:"Time until the deadline." default:"500ms"`
	Coverage float64       `help:"Smallest share of the shards that is accepted, 0 to 1."`
	JSON     bool          `help:"Print the answer as JSON." name:"json"`
	Text     string        `arg:"" optional:"" help:"Text to look for."`
}

// queryRequest is the body of a query.
type queryRequest struct {
	Tenant   string   `json:"tenant"`
	Services []string `json:"services,omitempty"`
	Text     string   `json:"text"`
	Limit    int      `json:"limit"`
	Class    string   `json:"class,omitempty"`
	// Timeout is in milliseconds.
	Timeout  int64   `json:"timeout"`
	Coverage float64 `json:"coverage,omitempty"`
}

// queryError is the body of the response to a failed query.
type queryError struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Error   string `json:"error"`
}

// Run sends one query to the caller API of a host and prints the response.
func (c *queryCmd) Run(streams *Streams) error {
	body, err := json.Marshal(queryRequest{
		Tenant:   c.Tenant,
		Services: c.Services,
		Text:     c.Text,
		Limit:    c.Limit,
		Class:    c.Class,
		Timeout:  c.Timeout.Milliseconds(),
		Coverage: c.Coverage,
	})
	if err != nil {
		return err
	}
	target := url.URL{Scheme: "http", Host: c.Caller, Path: "/v1/query"}
	r, err := send(http.MethodPost, target.String(), "", body)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(streams.Out, r.body); err != nil {
			return err
		}
	}
	if r.status != http.StatusOK {
		var failure queryError
		_ = json.Unmarshal(r.body, &failure)
		return oops.Errorf("status %d: %s (%s): %s", r.status, failure.Reason, failure.Verdict, failure.Error)
	}
	if c.JSON {
		return nil
	}
	var response queryResponse
	if err := json.Unmarshal(r.body, &response); err != nil {
		return oops.Wrapf(err, "answer")
	}
	responsePrinter{out: streams.Out}.print("query", c.Tenant, response)
	return nil
}
