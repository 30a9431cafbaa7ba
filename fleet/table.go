package fleet

import (
	"slices"
	"sync"
	"time"

	"hyssophub/flow"
	"hyssophub/rules"
	"hyssophub/store"
)

// Table holds the registered instances. In the lock order, its lock comes after
// that of package rules and before that of package flow; no other lock is
// acquired while it is held.
type Table struct {
	zone string
	// bounds holds what the instances say of the requests that they take.
	bounds *flow.Table

	mu       sync.Mutex
	byID     map[string]*server
	services map[string][]*server
	// hosts is the number of live hosts, by which connection limits of an instance are
	// divided.
	hosts int
	// mixed holds the services whose instances have several software versions, with the
	// one that requests go to without an order.
	mixed map[string]string
	// unreachable holds the availability zones that are considered unreachable.
	unreachable map[string]bool
}

// NewTable returns an empty table for a host in the given availability zone.
func NewTable(zone string, bounds *flow.Table) *Table {
	return &Table{zone: zone, bounds: bounds, byID: make(map[string]*server), services: make(map[string][]*server), mixed: make(map[string]string), hosts: 1}
}

// SetHosts sets the number of live hosts, this one included.
func (t *Table) SetHosts(hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(1, hosts)
}

// SetUnreachable sets the availability zones that are considered unreachable.
// Their instances are chosen only if no other is left.
func (t *Table) SetUnreachable(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = zones
}

// Register adds or replaces the registration of an instance. A position that is
// not newer than the known one is ignored. One that is read again in a later era of the
// store leaves the instance as cold as it was. The statistics are reset if the start
// time, service or address changed.
func (t *Table) Register(i Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[i.ID]
	if ok && !i.Position.IsAfter(s.Position) {
		return
	}
	if ok && i.Position.Era > s.Position.Era {
		known := s.Instance
		known.Position.Era = i.Position.Era
		if known == i {
			s.Instance = i
			return
		}
	}
	if ok && (s.StartMs != i.StartMs || s.Service != i.Service || s.Address != i.Address) {
		t.remove(s)
		ok = false
	}
	if !ok {
		s = &server{}
		t.byID[i.ID] = s
		t.services[i.Service] = append(t.services[i.Service], s)
	}
	s.Instance = i
	t.updateVersions(i.Service)
	s.coldUntil = now.Add(i.ColdFor)
	if i.ColdFor <= 0 {
		t.bounds.EndCold(i.ID)
	}
}

// MarkZoneCold marks the instances of an availability zone that is back in service
// as cold, if their service has a cold rate, because they had no requests while
// the zone was out. The next registration of an instance overrides the mark.
func (t *Table) MarkZoneCold(view *rules.View, zone string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		rule, ok := view.Service(s.Service)
		if ok && s.Zone == zone && rule.ColdRate > 0 {
			s.coldUntil = now.Add(rule.ColdTime)
		}
	}
}

// Remove removes an instance whose registration was deleted at the given position.
// It has no effect on a newer registration.
func (t *Table) Remove(id string, position store.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byID[id]; ok && !s.Position.IsAfter(position) {
		t.remove(s)
	}
}

func (t *Table) remove(s *server) {
	t.bounds.Forget(s.ID)
	delete(t.byID, s.ID)
	list := t.services[s.Service]
	if at := slices.Index(list, s); at >= 0 {
		t.services[s.Service] = slices.Delete(list, at, at+1)
	}
	if len(t.services[s.Service]) == 0 {
		delete(t.services, s.Service)
	}
	t.updateVersions(s.Service)
}

// CountInZone returns how many of the services have instances in the zone of the host.
func (t *Table) CountInZone(services []string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, name := range services {
		if slices.ContainsFunc(t.services[name], func(s *server) bool { return s.Zone == t.zone }) {
			count++
		}
	}
	return count
}

// Addresses returns the set of addresses of all instances.
func (t *Table) Addresses() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make(map[string]bool, len(t.byID))
	for _, s := range t.byID {
		addresses[s.Address] = true
	}
	return addresses
}

// Size returns the number of instances.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Instances returns a copy of all registrations.
func (t *Table) Instances() []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Instance, 0, len(t.byID))
	for _, s := range t.byID {
		list = append(list, s.Instance)
	}
	return list
}
