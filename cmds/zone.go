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

type zoneListCmd struct{ operator }

type shownZones struct {
	Revision uint64 `json:"revision"`
	Zones    []struct {
		Name    string `json:"name"`
		Region  string `json:"region"`
		Out     bool   `json:"out"`
		Servers int    `json:"servers"`
	} `json:"zones"`
}

// Run lists the zones.
func (c *zoneListCmd) Run(streams *Streams) error {
	var shown shownZones
	if text, err := c.get(streams.Out, "/v1/zones", &shown); !text || err != nil {
		return err
	}
	printf(streams.Out, "revision %d\n", shown.Revision)
	for _, z := range shown.Zones {
		state := "in"
		if z.Out {
			state = "out"
		}
		printf(streams.Out, "  %s (region %s): %s, %d servers\n", z.Name, z.Region, state, z.Servers)
	}
	return nil
}

// zoneChange holds the flags of the commands that change a zone.
type zoneChange struct {
	operator
	guard
	Zone string `arg:"" help:"Availability zone."`
}

func (c *zoneChange) change(out io.Writer, direction string) error {
	r, err := c.call(http.MethodPost, "/v1/zones/"+c.Zone+"/"+direction, c.query(), nil)
	if err != nil {
		return err
	}
	return c.show(out, r)
}

type zoneOutCmd struct{ zoneChange }

// Run takes a zone out.
func (c *zoneOutCmd) Run(streams *Streams) error { return c.change(streams.Out, "out") }

type zoneInCmd struct{ zoneChange }

// Run brings a zone in.
func (c *zoneInCmd) Run(streams *Streams) error { return c.change(streams.Out, "in") }
