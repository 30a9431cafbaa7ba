package route

import "time"

// SetOwner sets the owner of a backend server. If the owner changes, the failures
// and slow replies recorded for the server are cleared, since the previous owner
// may have caused them, and the server may be chosen again at once.
func (t *Table) SetOwner(server, owner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	last := r.Owner
	r.Owner = owner
	if last == "" || last == owner {
		return
	}
	r.Down, r.SlowTime = false, 0
	r.NextProbe, r.Backoff = time.Time{}, minProbeBackoff
	r.set.invalidate()
}
