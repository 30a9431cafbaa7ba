package intake

import (
	"sync"
	"time"
)

// Table is the account of a host. No other lock is acquired while its lock is held; in the
// lock order it is the last one before that of package work.
type Table struct {
	limits Limits

	mu      sync.Mutex
	entries map[*Entry]bool
	// byAddress is the memory that is reserved for each address.
	byAddress map[string]int64
	limiters  map[*ConnLimiter]bool
	counts    Counts
	// begun counts the entries and connections so far.
	begun uint64
}

// NewTable returns an empty account.
func NewTable(limits Limits) *Table {
	return &Table{
		limits:    limits,
		entries:   make(map[*Entry]bool),
		byAddress: make(map[string]int64),
		limiters:  make(map[*ConnLimiter]bool),
		counts:    Counts{Bound: limits.Memory},
	}
}

// Counts returns figures for the metrics.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	for d := range t.limiters {
		counts.Connections += len(d.conns)
	}
	return counts
}

// Begin enters a message that has reserved nothing yet.
func (t *Table) Begin(kind Kind, address string, holder Holder, now time.Time) *Entry {
	e := &Entry{Kind: kind, Holder: holder, Address: address, Began: now, Progressed: now, WindowBegan: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun++
	e.Order = t.begun
	t.entries[e] = true
	return e
}

// Reserve asks for more memory for a message. If the account is full, messages that have
// made no progress for Limits.Stall are evicted, and those of addresses that hold more than
// their share to one that holds less. A message that is refused is ended, unless it is
// held.
func (t *Table) Reserve(e *Entry, bytes int64, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Ended || !t.entries[e] {
		return Refused{RetryAfter: t.limits.Stall}
	}
	victims, ok := t.makeRoom(e, bytes, now)
	if !ok {
		t.counts.Refused++
		if isEvictable(e) {
			t.remove(e)
			e.Ended = true
		}
		return Refused{RetryAfter: t.limits.Stall}
	}
	granted := Granted{}
	for _, v := range victims {
		t.evict(v)
		granted.Evicted = append(granted.Evicted, v.Holder)
	}
	t.add(e, bytes)
	return granted
}

// makeRoom chooses the messages that are evicted for one that asks for memory. It returns
// false if too few can.
func (t *Table) makeRoom(asking *Entry, bytes int64, now time.Time) ([]*Entry, bool) {
	missing := t.counts.Memory + bytes - t.limits.Memory
	if t.limits.Memory <= 0 || missing <= 0 {
		return nil, true
	}
	if bytes > t.limits.Memory {
		return nil, false
	}
	addresses := int64(len(t.byAddress))
	if _, ok := t.byAddress[asking.Address]; !ok {
		addresses++
	}
	share := t.limits.Memory / addresses
	modest := t.byAddress[asking.Address]+bytes <= share
	var victims []*Entry
	chosen := make(map[*Entry]bool)
	for missing > 0 {
		var worst *Entry
		for e := range t.entries {
			if e == asking || chosen[e] || e.Bytes == 0 || !isEvictable(e) {
				continue
			}
			stalled := now.Sub(e.Progressed) >= t.limits.Stall
			if !stalled && (!modest || e.Address == asking.Address || t.byAddress[e.Address] <= share) {
				continue
			}
			if worst == nil || goesBefore(e, worst, now) {
				worst = e
			}
		}
		if worst == nil {
			return nil, false
		}
		chosen[worst] = true
		victims = append(victims, worst)
		missing -= worst.Bytes
	}
	return victims, true
}

// isEvictable reports whether a message may be ended: one that is held may have run.
func isEvictable(e *Entry) bool {
	switch e.Kind.(type) {
	case Head, Body, Answer:
		return true
	default:
		return false
	}
}

// goesBefore reports whether a is evicted before b: the one that has moved fewer bytes for
// the time that it has stood, and of equals the one that has stood longer.
func goesBefore(a, b *Entry, now time.Time) bool {
	stoodA, stoodB := now.Sub(a.Began), now.Sub(b.Began)
	rateA, rateB := float64(a.Moved)/max(stoodA.Seconds(), minStood), float64(b.Moved)/max(stoodB.Seconds(), minStood)
	if rateA != rateB {
		return rateA < rateB
	}
	if stoodA != stoodB {
		return stoodA > stoodB
	}
	return a.Order < b.Order
}

// minStood is the least time, in seconds, by which the bytes of a message are divided.
const minStood = 0.001

// Progress records bytes that were read or written, and returns Deadline.
func (t *Table) Progress(e *Entry, bytes int64, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Moved += bytes
	e.Progressed = now
	if e.WindowMoved += bytes; e.WindowMoved >= t.limits.Least {
		e.WindowBegan, e.WindowMoved = now, 0
	}
	return e.WindowBegan.Add(t.limits.Window)
}

// Deadline returns the time by which the message must have moved more bytes.
func (t *Table) Deadline(e *Entry) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.WindowBegan.Add(t.limits.Window)
}

// IsEnded reports whether the table has evicted the message.
func (t *Table) IsEnded(e *Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.Ended
}

// RecordSlow counts a message that was ended at its deadline.
func (t *Table) RecordSlow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Slow++
}

// Hold keeps the memory of a message that has been read whole. It returns false if the
// message has been evicted.
func (t *Table) Hold(e *Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Kind = Held{}
	return !e.Ended
}

// Release gives back a part of the memory of a message.
func (t *Table) Release(e *Entry, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[e] {
		t.add(e, -bytes)
	}
}

// End releases the memory of a message.
func (t *Table) End(e *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(e)
}

// evict ends a message for others. The lock must be held.
func (t *Table) evict(e *Entry) {
	t.counts.Evicted++
	t.remove(e)
	e.Ended = true
}

func (t *Table) add(e *Entry, bytes int64) {
	e.Bytes += bytes
	t.counts.Memory += bytes
	t.byAddress[e.Address] += bytes
}

func (t *Table) remove(e *Entry) {
	if !t.entries[e] {
		return
	}
	delete(t.entries, e)
	t.counts.Memory -= e.Bytes
	if t.byAddress[e.Address] -= e.Bytes; t.byAddress[e.Address] <= 0 {
		delete(t.byAddress, e.Address)
	}
	e.Bytes = 0
}
