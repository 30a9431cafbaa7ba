package route

// SetZoneLocal sets whether Choose is restricted to replicas in this host's
// availability zone. A host whose configuration is not fresh may not send to
// other zones, and each refusal of such a sub-request would spend a retry.
func (t *Table) SetZoneLocal(zoneLocal bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zoneLocal = zoneLocal
}

// ZoneLocal reports whether Choose is restricted to replicas in this host's
// availability zone.
func (t *Table) ZoneLocal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zoneLocal
}
