package fleet

import (
	"slices"
	"sync"
	"time"

	"hyssophub/rules"
)

// Table holds the registered instances. Its lock comes after that of rules
// and before that of dial; no other lock is taken under it.
type Table struct {
	zone string

	mu       sync.Mutex
	byID     map[string]*server
	services map[string][]*server
	// hosts is the number of live hosts of the tier, among which limits of
	// the whole fleet are shared.
	hosts int
	// phase is the host's place within the interval of requests to a cold
	// instance, 0 to 1.
	phase float64
	// cut are the availability zones that are taken to be cut off.
	cut map[string]bool
}

// NewTable returns an empty table of a host in the given availability zone. The
// hosts' phases, 0 to 1, are to be spread evenly.
func NewTable(zone string, phase float64) *Table {
	return &Table{zone: zone, phase: phase, byID: make(map[string]*server), services: make(map[string][]*server), hosts: 1}
}

// SetHosts sets the number of live hosts of the tier.
func (t *Table) SetHosts(hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(1, hosts)
}

// SetUnreachable sets the availability zones that are taken to be cut off. Their
// instances are chosen only if no other is left.
func (t *Table) SetUnreachable(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut = zones
}

// Register takes over a registration. One that is older than what is known of
// the instance is ignored.
func (t *Table) Register(i Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[i.ID]
	if ok && i.Revision <= s.Revision {
		return
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
	wasCold := s.isCold(now)
	s.Instance = i
	s.coldUntil = now.Add(i.ColdFor)
	if wasCold {
		// The intervals go on as they were.
		s.held = s.coldUntil
	}
}

// MarkZoneCold says that an availability zone takes work again. Its instances had
// none meanwhile, so those of services with a cold rate count as cold until they
// say otherwise.
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

// Remove forgets an instance whose registration went at the given revision.
func (t *Table) Remove(id string, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byID[id]; ok && s.Revision <= revision {
		t.remove(s)
	}
}

func (t *Table) remove(s *server) {
	delete(t.byID, s.ID)
	list := t.services[s.Service]
	if at := slices.Index(list, s); at >= 0 {
		t.services[s.Service] = slices.Delete(list, at, at+1)
	}
	if len(t.services[s.Service]) == 0 {
		delete(t.services, s.Service)
	}
}

// Addresses returns the addresses of all instances.
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
