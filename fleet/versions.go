package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Versions says which software versions of a service a request may go to. The interface
// is sealed. Without any, requests go to the version of the instance that started first,
// as long as one of its instances is ready: no order sends them to another one.
type Versions interface{ versions() }

type (
	// OnlyVersion allows one version, or any if no instance of it is registered.
	OnlyVersion struct{ Version string }
	// OtherVersions allows all but the versions Denied.
	OtherVersions struct{ Denied []string }
)

func (OnlyVersion) versions()   {}
func (OtherVersions) versions() {}

// MixedServices returns the services whose instances have several software versions, with
// the one that requests go to without an order.
func (t *Table) MixedServices() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.mixed) == 0 {
		return nil
	}
	return maps.Clone(t.mixed)
}

// CountVersion returns the number of instances of a service with a software version that
// are not draining.
func (t *Table) CountVersion(service, version string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countVersion(service, version)
}

func (t *Table) countVersion(service, version string) int {
	count := 0
	for _, s := range t.services[service] {
		if _, draining := s.State.(Draining); !draining && s.Version == version {
			count++
		}
	}
	return count
}

// isVersionAllowed reports whether a request may go to the version of an instance.
func (t *Table) isVersionAllowed(constraints Constraints, s *server) bool {
	if constraints.Trial != "" {
		return s.Version == constraints.Trial
	}
	if constraints.Versions == nil {
		return true
	}
	switch v := constraints.Versions[s.Service].(type) {
	case OnlyVersion:
		return s.Version == v.Version || t.countVersion(s.Service, v.Version) == 0
	case OtherVersions:
		return !slices.Contains(v.Denied, s.Version)
	}
	first, isMixed := t.mixed[s.Service]
	return !isMixed || s.Version == first
}

// updateVersions sets the version of a service to which requests go without an order, if
// its instances have several.
func (t *Table) updateVersions(service string) {
	list := t.services[service]
	if !slices.ContainsFunc(list, func(s *server) bool { return s.Version != list[0].Version }) {
		delete(t.mixed, service)
		return
	}
	ready := slices.DeleteFunc(slices.Clone(list), func(s *server) bool {
		_, draining := s.State.(Draining)
		return draining
	})
	if len(ready) == 0 {
		delete(t.mixed, service)
		return
	}
	// Of servers without a start time, the one that this host knew first counts.
	first := slices.MinFunc(ready, func(a, b *server) int { return cmp.Compare(a.StartMs, b.StartMs) })
	t.mixed[service] = first.Version
}
