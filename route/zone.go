package route

// SetZoneLocal keeps the choice to replicas of the own zone, or ends that. A host
// that is not fresh may send to no other zone, and each refusal of such a
// sub-request would spend a retry.
func (t *Table) SetZoneLocal(zoneLocal bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zoneLocal = zoneLocal
}

// ZoneLocal reports whether only replicas of the own zone are chosen.
func (t *Table) ZoneLocal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zoneLocal
}
