package route

import "time"

// Drain notes that a backend server leaves, before a result says so.
func (t *Table) Drain(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	r.Figures.Usable = false
	r.Seen = now
	r.set.forget()
}
