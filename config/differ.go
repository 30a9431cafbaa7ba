package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Difference is one difference between two manifests. The interface is sealed.
type Difference interface{ difference() }

type (
	// Added is an entry that only the newer manifest has.
	Added struct{ Place string }
	// Removed is an entry that only the older manifest has.
	Removed struct{ Place string }
	// Changed is a field whose value differs.
	Changed struct{ Place, Before, After string }
)

func (Added) difference()   {}
func (Removed) difference() {}
func (Changed) difference() {}

// Differences returns what a newer manifest changes, ordered by kind of entry
// and name. Entries are matched by name, so their order does not matter.
func Differences(before, after Manifest) []Difference {
	list := changedFields("", []fieldPair{
		{"name", before.Name, after.Name},
		{"network.zone", before.Network.Zone, after.Network.Zone},
		{"network.client", before.Network.Client, after.Network.Client},
	})
	list = append(list, compareByName("zones", before.Zones, after.Zones,
		func(z Zone) string { return z.Name }, compareZones)...)
	list = append(list, compareByName("tenants", before.Tenants, after.Tenants,
		func(t Tenant) string { return t.Name }, compareTenants)...)
	return append(list, compareByName("services", before.Services, after.Services,
		func(s Service) string { return s.Name }, compareServices)...)
}

// compareByName matches the entries of two lists by name. It calls pair for each
// name that both lists have. The result is ordered by name.
func compareByName[T any](kind string, before, after []T, name func(T) string, pair func(place string, a, b T) []Difference) []Difference {
	older, newer := indexByName(before, name), indexByName(after, name)
	names := make([]string, 0, len(older)+len(newer))
	for n := range older {
		names = append(names, n)
	}
	for n := range newer {
		names = append(names, n)
	}
	slices.Sort(names)
	var list []Difference
	for _, n := range slices.Compact(names) {
		place := fmt.Sprintf("%s[%s]", kind, n)
		a, inOlder := older[n]
		b, inNewer := newer[n]
		switch {
		case !inOlder:
			list = append(list, Added{Place: place})
		case !inNewer:
			list = append(list, Removed{Place: place})
		default:
			list = append(list, pair(place, a, b)...)
		}
	}
	return list
}

func indexByName[T any](entries []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(entries))
	for _, e := range entries {
		byName[name(e)] = e
	}
	return byName
}

// fieldPair is one field with its value in both manifests.
type fieldPair struct {
	name          string
	before, after any
}

// changedFields returns the fields whose two values differ.
func changedFields(prefix string, list []fieldPair) []Difference {
	var changed []Difference
	for _, f := range list {
		if f.before != f.after {
			changed = append(changed, Changed{
				Place:  prefix + f.name,
				Before: fmt.Sprint(f.before),
				After:  fmt.Sprint(f.after),
			})
		}
	}
	return changed
}

func compareZones(place string, a, b Zone) []Difference {
	return changedFields(place+".", []fieldPair{
		{"region", a.Region, b.Region},
		{"hosts", a.Hosts, b.Hosts},
		{"via", cmp.Or(a.Via, a.Name), cmp.Or(b.Via, b.Name)},
	})
}

func compareTenants(place string, a, b Tenant) []Difference {
	return changedFields(place+".", []fieldPair{{"class", a.Class.String(), b.Class.String()}})
}

func compareServices(place string, a, b Service) []Difference {
	list := changedFields(place+".", []fieldPair{
		{"tenant", a.Tenant, b.Tenant},
		{"shards", strings.Join(a.Shards, " "), strings.Join(b.Shards, " ")},
		{"slots", a.Slots, b.Slots},
		{"connections", a.Connections, b.Connections},
		{"connect", a.Connect, b.Connect},
		{"floor", a.Floor, b.Floor},
		{"warmup", a.Warmup, b.Warmup},
	})
	return append(list, compareByName(place+".servers", a.Servers, b.Servers,
		func(s Server) string { return s.Name }, compareServers)...)
}

func compareServers(place string, a, b Server) []Difference {
	return changedFields(place+".", []fieldPair{{"zone", a.Zone, b.Zone}, {"address", a.Address, b.Address}})
}
