package route

import "time"

// MarkDraining notes that a backend server leaves, before a result says so.
func (t *Table) MarkDraining(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	r.Figures.Usable = false
	r.FiguresAt = now
	r.set.invalidate()
}
