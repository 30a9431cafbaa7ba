package route

import "time"

// SetOwner notes the owner of a backend server. What was held against the server
// under its last owner may have been that owner's failure, so that the server
// is tried again at once.
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
