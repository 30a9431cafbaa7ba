package admin

import (
	"net/http"
	"time"
)

// Status is the state of an entry host.
type Status struct {
	Host     string
	Zone     string
	Revision uint64
	// ConfigFresh reports whether the host may act on its configuration outside its
	// own zone; see config.FreshUntil.
	ConfigFresh bool
	// Members are the names of the live hosts in the host's availability zone.
	Members []string
	// Servers are the names of the backend servers that the host owns.
	Servers []string
	// Pending lists what the host still needs before it can serve all requests.
	Pending []string
}

type wireStatus struct {
	Host     string   `json:"host"`
	Zone     string   `json:"zone"`
	Revision uint64   `json:"revision"`
	Fresh    bool     `json:"fresh"`
	Members  []string `json:"members"`
	Servers  []string `json:"servers"`
	Waits    []string `json:"waits"`
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	s := h.host.Status(time.Now())
	writeJSON(w, http.StatusOK, wireStatus{
		Host:     s.Host,
		Zone:     s.Zone,
		Revision: s.Revision,
		Fresh:    s.ConfigFresh,
		Members:  append([]string{}, s.Members...),
		Servers:  append([]string{}, s.Servers...),
		Waits:    append([]string{}, s.Pending...),
	})
}
