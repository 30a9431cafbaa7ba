package cmds

import (
	"io"
	"net/http"
)

type zoneCmd struct {
	List zoneListCmd `cmd:"" help:"List the availability zones."`
	Out  zoneOutCmd  `cmd:"" help:"Take an availability zone out of service."`
	In   zoneInCmd   `cmd:"" help:"Bring an availability zone back into service."`
}

type zoneListCmd struct{ adminClient }

// zonesResponse lists the zones of the configuration in force on a host.
type zonesResponse struct {
	Revision uint64 `json:"revision"`
	Zones    []struct {
		Name    string `json:"name"`
		Region  string `json:"region"`
		Out     bool   `json:"out"`
		Servers int    `json:"servers"`
	} `json:"zones"`
}

// Run prints the availability zones with their state and number of servers.
func (c *zoneListCmd) Run(streams *Streams) error {
	var response zonesResponse
	if decoded, err := c.get(streams.Out, "/v1/zones", &response); !decoded || err != nil {
		return err
	}
	printf(streams.Out, "revision %d\n", response.Revision)
	for _, z := range response.Zones {
		state := "in"
		if z.Out {
			state = "out"
		}
		printf(streams.Out, "  %s (region %s): %s, %d servers\n", z.Name, z.Region, state, z.Servers)
	}
	return nil
}

// zoneChange holds the flags and the argument of the commands that take a zone
// out of service or bring it back.
type zoneChange struct {
	adminClient
	changeFlags
	Zone string `arg:"" help:"Availability zone."`
}

// change requests the change of the zone; direction is "in" or "out".
func (c *zoneChange) change(out io.Writer, direction string) error {
	r, err := c.call(http.MethodPost, "/v1/zones/"+c.Zone+"/"+direction, c.queryParams(), nil)
	if err != nil {
		return err
	}
	return c.printResult(out, r)
}

type zoneOutCmd struct{ zoneChange }

// Run takes a zone out of service.
func (c *zoneOutCmd) Run(streams *Streams) error { return c.change(streams.Out, "out") }

type zoneInCmd struct{ zoneChange }

// Run brings a zone back into service.
func (c *zoneInCmd) Run(streams *Streams) error { return c.change(streams.Out, "in") }
