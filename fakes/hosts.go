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

// listing is a host list with the time from which it is the true one.
type listing struct {
	from  time.Time
	hosts []Host
}

// keepListings bounds the older lists that a lagging host list can show.
const keepListings = 100

// SetHosts replaces the host list. Callers see it after StoreFault.HostLag.
func (s *Store) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, listing{from: time.Now(), hosts: hosts})
	if len(s.hosts) > keepListings {
		s.hosts = s.hosts[1:]
	}
}

func (s *Store) list(w http.ResponseWriter, _ *http.Request) {
	s.count("hosts")
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.listed(time.Now()))
}

// listed returns the host list as callers see it.
func (s *Store) listed(now time.Time) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.hosts) - 1; i >= 0; i-- {
		if !s.hosts[i].from.After(now.Add(-s.fault.HostListLag)) {
			return s.hosts[i].hosts
		}
	}
	return []Host{}
}
