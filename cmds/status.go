package cmds

import "strings"

type statusCmd struct{ adminClient }

// statusResponse is the status of a host; admin.Status describes the fields.
type statusResponse struct {
	Host     string   `json:"host"`
	Zone     string   `json:"zone"`
	Revision uint64   `json:"revision"`
	Fresh    bool     `json:"fresh"`
	Members  []string `json:"members"`
	Servers  []string `json:"servers"`
	Waits    []string `json:"waits"`
}

// Run prints the status of a host.
func (c *statusCmd) Run(streams *Streams) error {
	var s statusResponse
	if decoded, err := c.get(streams.Out, "/v1/status", &s); !decoded || err != nil {
		return err
	}
	printf(streams.Out, "host %s in zone %s, revision %d, fresh %t\n", s.Host, s.Zone, s.Revision, s.Fresh)
	printf(streams.Out, "members: %s\n", strings.Join(s.Members, ", "))
	printf(streams.Out, "owns %d servers: %s\n", len(s.Servers), strings.Join(s.Servers, ", "))
	for _, w := range s.Waits {
		printf(streams.Out, "waits for %s\n", w)
	}
	return nil
}
