package fakes

import (
	"encoding/json"
	"net/http"
	"time"
)

// Host is an entry of the host list.
type Host struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	Peer  string `json:"peer,omitempty"`
	Beat  string `json:"beat,omitempty"`
}

// hostList is a version of the host list with the time at which it was set.
type hostList struct {
	since time.Time
	hosts []Host
}

// maxHostLists bounds the stored versions, for use with StoreFault.HostListLag.
const maxHostLists = 100

// SetHosts replaces the host list. Callers receive the new list after
// StoreFault.HostListLag.
func (s *Store) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLists = append(s.hostLists, hostList{since: time.Now(), hosts: hosts})
	if len(s.hostLists) > maxHostLists {
		s.hostLists = s.hostLists[1:]
	}
}

func (s *Store) serveHosts(w http.ResponseWriter, _ *http.Request) {
	s.countCall("hosts")
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.visibleHosts(time.Now()))
}

// visibleHosts returns the newest list that is at least HostListLag old.
func (s *Store) visibleHosts(now time.Time) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.hostLists) - 1; i >= 0; i-- {
		if !s.hostLists[i].since.After(now.Add(-s.fault.HostListLag)) {
			return s.hostLists[i].hosts
		}
	}
	return []Host{}
}
