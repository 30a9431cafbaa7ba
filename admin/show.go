package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"hyssophub/codec"
	"hyssophub/config"
)

type wireCheck struct {
	Faults      []wireFault      `json:"faults"`
	Differences []wireDifference `json:"differences"`
	// Revision is the revision that the manifest is compared with.
	Revision uint64 `json:"revision"`
}

type wireDifference struct {
	Kind   string `json:"kind"`
	Place  string `json:"place"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

type wireConfig struct {
	Revision uint64          `json:"revision"`
	Out      []string        `json:"out"`
	Changes  []wireChange    `json:"changes"`
	Manifest json.RawMessage `json:"manifest"`
}

type wireChange struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	From   uint64    `json:"from"`
	Note   string    `json:"note"`
}

type wireZones struct {
	Revision uint64     `json:"revision"`
	Zones    []wireZone `json:"zones"`
}

type wireZone struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Out     bool   `json:"out"`
	Servers int    `json:"servers"`
}

// checkManifest answers with the faults of a manifest and its differences from the
// manifest in force. It changes nothing.
func (h *Handler) checkManifest(w http.ResponseWriter, r *http.Request) {
	manifest, ok := readManifest(w, r)
	if !ok {
		return
	}
	value := h.host.View().Value
	writeJSON(w, http.StatusOK, wireCheck{
		Faults:      encodeFaults(config.CheckManifest(manifest)),
		Differences: encodeDifferences(config.Differences(value.Manifest, manifest)),
		Revision:    value.Revision,
	})
}

func encodeDifferences(differences []config.Difference) []wireDifference {
	list := make([]wireDifference, 0, len(differences))
	for _, d := range differences {
		switch d := d.(type) {
		case config.Added:
			list = append(list, wireDifference{Kind: "added", Place: d.Place})
		case config.Removed:
			list = append(list, wireDifference{Kind: "removed", Place: d.Place})
		case config.Changed:
			list = append(list, wireDifference{Kind: "changed", Place: d.Place, Before: d.Before, After: d.After})
		}
	}
	return list
}

func (h *Handler) showManifest(w http.ResponseWriter, _ *http.Request) {
	value := h.host.View().Value
	manifest, err := codec.EncodeManifest(value.Manifest)
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, wireOutcome{Error: err.Error()})
		return
	}
	body := wireConfig{
		Revision: value.Revision,
		Out:      append([]string{}, value.ZonesOut...),
		Changes:  make([]wireChange, len(value.Changes)),
		Manifest: manifest,
	}
	for i, c := range value.Changes {
		body.Changes[i] = wireChange(c)
	}
	writeJSON(w, http.StatusOK, body)
}

func (h *Handler) listZones(w http.ResponseWriter, _ *http.Request) {
	view := h.host.View()
	counts := make(map[string]int)
	for _, s := range view.Value.Manifest.Services {
		for _, server := range s.Servers {
			counts[server.Zone]++
		}
	}
	body := wireZones{Revision: view.Value.Revision, Zones: []wireZone{}}
	for _, z := range view.Value.Manifest.Zones {
		body.Zones = append(body.Zones, wireZone{Name: z.Name, Region: z.Region, Out: view.IsOutOfService(z.Name), Servers: counts[z.Name]})
	}
	writeJSON(w, http.StatusOK, body)
}
