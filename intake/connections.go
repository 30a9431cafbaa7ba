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

// Open enters a connection that was accepted. If the bound is reached, another connection is
// closed: one on which no request is being served and nothing has moved for Limits.Stall, or
// one of an address that has at least two connections more than that of the new one. Without
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
		if e := victim.Message; e != nil && isEvictable(e) {
			d.table.evict(e)
		}
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
	worstStalled := false
	for c := range d.conns {
		movedAt, ok := c.movedAt()
		if !ok {
			continue
		}
		stalled := now.Sub(movedAt) >= d.table.limits.Stall
		if !stalled && d.byAddress[c.Address] <= d.byAddress[address]+1 {
			continue
		}
		if worst == nil || stalled && !worstStalled || stalled == worstStalled && d.goesBefore(c, worst, share) {
			worst, worstStalled = c, stalled
		}
	}
	return worst
}

// movedAt returns the time from which the connection counts as stalled. It returns false if
// a request is being served on it, whose answer has not begun.
func (c *Conn) movedAt() (time.Time, bool) {
	switch writing := c.writingSince.Load(); {
	case c.Message != nil && isEvictable(c.Message):
		return c.Message.Progressed, true
	case writing != 0:
		return time.Unix(0, writing), true
	}
	return c.Since, !c.Busy
}

// goesBefore reports whether a is closed before b: one that has served no request before
// others, then one of an address with more than its share, then the one that has sent least
// and stands longest.
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

// Attach records the message that is in progress on a connection, which is then closed with
// it; nil ends it.
func (d *ConnLimiter) Attach(c *Conn, message *Entry) {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	c.Message = message
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
	c.Busy, c.Message = false, nil
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
