package admin

import (
	"net/http"
	"time"
)

// Status describes an entry host.
type Status struct {
	Host        string
	Zone        string
	Revision    uint64
	ConfigFresh bool
	// Members are the live hosts of the host's zone.
	Members []string
	// Servers are the backend servers that the host owns.
	Servers []string
	// Pending says what the host waits for before it serves fully.
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
