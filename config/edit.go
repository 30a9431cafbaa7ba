package config

import (
	"fmt"
	"slices"
	"strings"
)

// maxChanges is the number of recent changes that a value holds at most.
const maxChanges = 64

// Edit is the modification that a change makes to the configuration. The
// interface is sealed.
type Edit interface{ edit() }

type (
	// ReplaceManifest installs a new manifest. Zones that are out of service
	// stay out of service.
	ReplaceManifest struct{ Manifest Manifest }
	// ZoneOut takes an availability zone out of service.
	ZoneOut struct{ Zone string }
	// ZoneIn brings an availability zone back into service.
	ZoneIn struct{ Zone string }
)

func (ReplaceManifest) edit() {}
func (ZoneOut) edit()         {}
func (ZoneIn) edit()          {}

// FaultsError is the error of an edit that cannot be applied. It holds all faults
// of the edit.
type FaultsError struct{ Faults []Fault }

// Error returns the faults, separated by semicolons.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// Apply returns the value after an edit, with the change as its newest audit
// entry. The result has the revision of the given value until the store assigns
// a new one. All errors are of type *FaultsError.
func Apply(value Value, e Edit, change Change) (Value, error) {
	next := value
	var faults []Fault
	switch e := e.(type) {
	case ReplaceManifest:
		faults = CheckManifest(e.Manifest)
		next.Manifest = e.Manifest
		next.ZonesOut = filterExisting(value.ZonesOut, e.Manifest.Zones)
	case ZoneOut:
		faults = checkZoneOut(value, e.Zone)
		next.ZonesOut = append(slices.Clone(value.ZonesOut), e.Zone)
		slices.Sort(next.ZonesOut)
	case ZoneIn:
		faults = checkZoneIn(value, e.Zone)
		next.ZonesOut = slices.DeleteFunc(slices.Clone(value.ZonesOut), func(z string) bool { return z == e.Zone })
	}
	// With no zone in service, every query would be refused.
	if len(faults) == 0 && len(next.ZonesOut) >= len(next.Manifest.Zones) {
		faults = []Fault{{Place: "zones", Problem: "no zone would be left in service"}}
	}
	if len(faults) > 0 {
		return Value{}, &FaultsError{Faults: faults}
	}
	change.From = value.Revision
	next.Changes = append(slices.Clone(value.Changes), change)
	if extra := len(next.Changes) - maxChanges; extra > 0 {
		next.Changes = next.Changes[extra:]
	}
	return next, nil
}

// DescribeEdit returns the text of an edit for its audit entry.
func DescribeEdit(e Edit) string {
	switch e := e.(type) {
	case ReplaceManifest:
		return fmt.Sprintf("manifest %s with %d services", e.Manifest.Name, len(e.Manifest.Services))
	case ZoneOut:
		return "zone " + e.Zone + " out"
	case ZoneIn:
		return "zone " + e.Zone + " in"
	default:
		return ""
	}
}

func checkZoneOut(value Value, zone string) []Fault {
	switch {
	case !hasZone(value.Manifest.Zones, zone):
		return []Fault{{Place: "zone", Problem: fmt.Sprintf("unknown zone %q", zone)}}
	case slices.Contains(value.ZonesOut, zone):
		return []Fault{{Place: "zone", Problem: fmt.Sprintf("zone %q is already out", zone)}}
	default:
		return nil
	}
}

func checkZoneIn(value Value, zone string) []Fault {
	switch {
	case !hasZone(value.Manifest.Zones, zone):
		return []Fault{{Place: "zone", Problem: fmt.Sprintf("unknown zone %q", zone)}}
	case !slices.Contains(value.ZonesOut, zone):
		return []Fault{{Place: "zone", Problem: fmt.Sprintf("zone %q is not out", zone)}}
	default:
		return nil
	}
}

func hasZone(zones []Zone, name string) bool {
	return slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == name })
}

// filterExisting returns the zones of out that the manifest still has.
func filterExisting(out []string, zones []Zone) []string {
	var existing []string
	for _, name := range out {
		if hasZone(zones, name) {
			existing = append(existing, name)
		}
	}
	return existing
}
