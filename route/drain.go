package route

import "time"

// MarkDraining marks a backend server as not usable because it is draining,
// before a result reports the same.
func (t *Table) MarkDraining(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	r.Stats.Usable = false
	r.StatsAt = now
	r.set.invalidate()
}
