package rules

import (
	"cmp"
	"slices"
	"strings"
)

// View is an immutable snapshot of the rules in force. A request uses the view
// in which its route was found until it is answered.
type View struct {
	Set Set
	// OutZones is the set of availability zones that are out of service: their
	// backend servers get no new requests.
	OutZones map[string]bool

	byHost   map[string][]*Route
	services map[string]*Service
	accounts map[Key]*Account
}

func newView(set Set, out map[string]bool) *View {
	v := &View{
		Set:      set,
		OutZones: out,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(set.Services)),
		accounts: make(map[Key]*Account, len(set.Accounts)),
	}
	for i := range set.Routes {
		r := &set.Routes[i]
		v.byHost[r.Host] = append(v.byHost[r.Host], r)
	}
	// Match selects the route with the longest prefix of the path.
	for _, routes := range v.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range set.Services {
		v.services[set.Services[i].Name] = &set.Services[i]
	}
	for i := range set.Accounts {
		for _, k := range set.Accounts[i].Keys {
			v.accounts[k] = &set.Accounts[i]
		}
	}
	return v
}

// Match returns the route for a host name and path.
func (v *View) Match(host, path string) (*Route, bool) {
	for _, r := range v.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Route returns a route by name.
func (v *View) Route(name string) (*Route, bool) {
	for i := range v.Set.Routes {
		if v.Set.Routes[i].Name == name {
			return &v.Set.Routes[i], true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (v *View) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}
