package cmds

import "strings"

type statusCmd struct{ operator }

type shownStatus struct {
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
	var s shownStatus
	if text, err := c.get(streams.Out, "/v1/status", &s); !text || err != nil {
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
