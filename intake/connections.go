package intake

import "time"

// ConnLimiter bounds the connections of one listener. Its state is under the lock of its table.
type ConnLimiter struct {
	table *Table
	limit int
	conns map[*Conn]bool
	// byAddress is the number of connections from each address.
	byAddress map[string]int
}

// NewConnLimiter returns a bound of limit connections; zero sets none.
func (t *Table) NewConnLimiter(limit int) *ConnLimiter {
	d := &ConnLimiter{table: t, limit: limit, conns: make(map[*Conn]bool), byAddress: make(map[string]int)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiters[d] = true
	return d
}

// Open enters a connection that was accepted. If the bound is reached, a connection without
// a whole request is closed: one that has served none before others, then one of an address
// with more than its share, then the one that has sent least and stands longest. Without
// such a connection the new one is refused, and the caller closes it.
func (d *ConnLimiter) Open(address string, holder Holder, now time.Time) (*Conn, Decision) {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	granted := Granted{}
	if d.limit > 0 && len(d.conns) >= d.limit {
		victim := d.choose(address, now)
		if victim == nil {
			d.table.counts.Rejected++
			return nil, Refused{}
		}
		d.table.counts.Closed++
		d.remove(victim)
		granted.Evicted = append(granted.Evicted, victim.Holder)
	}
	d.table.begun++
	c := &Conn{Order: d.table.begun, Holder: holder, Address: address, Since: now}
	d.conns[c] = true
	d.byAddress[address]++
	return c, granted
}

// choose returns the connection that is closed for one from an address, or nil.
func (d *ConnLimiter) choose(address string, now time.Time) *Conn {
	addresses := len(d.byAddress)
	if d.byAddress[address] == 0 {
		addresses++
	}
	share := d.limit / addresses
	var worst *Conn
	for c := range d.conns {
		if c.Busy || now.Sub(c.Since) < d.table.limits.Stall {
			continue
		}
		if worst == nil || d.goesBefore(c, worst, share) {
			worst = c
		}
	}
	return worst
}

func (d *ConnLimiter) goesBefore(a, b *Conn, share int) bool {
	if newA, newB := a.Served == 0, b.Served == 0; newA != newB {
		return newA
	}
	if overA, overB := d.byAddress[a.Address] > share, d.byAddress[b.Address] > share; overA != overB {
		return overA
	}
	if a.Received != b.Received {
		return a.Received < b.Received
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.Order < b.Order
}

// Receive records bytes that have arrived.
func (d *ConnLimiter) Receive(c *Conn, bytes int) {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	c.Received += int64(bytes)
}

// Occupy records that the head of a request has been read.
func (d *ConnLimiter) Occupy(c *Conn) {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	c.Busy = true
}

// Free records the end of a request.
func (d *ConnLimiter) Free(c *Conn, now time.Time) {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	c.Busy = false
	c.Served++
	c.Since = now
}

// Close removes a connection.
func (d *ConnLimiter) Close(c *Conn) {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	d.remove(c)
}

func (d *ConnLimiter) remove(c *Conn) {
	if !d.conns[c] {
		return
	}
	delete(d.conns, c)
	if d.byAddress[c.Address]--; d.byAddress[c.Address] == 0 {
		delete(d.byAddress, c.Address)
	}
}
