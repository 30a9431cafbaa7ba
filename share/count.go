package share

import "time"

const (
	// countSlots slots of countSlot each make the time over which requests are
	// counted. It covers some exchanges of asks and grants.
	countSlots = 5
	countSlot  = 100 * time.Millisecond
	// CountTime is the time that a RecentCount covers.
	CountTime = countSlots * countSlot
)

// RecentCount counts events of the last CountTime, such as requests that want a permit.
type RecentCount struct {
	slots [countSlots]int
	// last is the number of the newest slot, counted from the Unix epoch.
	last int64
}

// Add counts an event.
func (c *RecentCount) Add(now time.Time) {
	c.slide(now)
	c.slots[c.last%countSlots]++
}

// Sum returns the number of events in the slots up to now.
func (c *RecentCount) Sum(now time.Time) int {
	c.slide(now)
	sum := 0
	for _, n := range c.slots {
		sum += n
	}
	return sum
}

// slide clears the slots that are older than the count reaches.
func (c *RecentCount) slide(now time.Time) {
	slot := now.UnixNano() / int64(countSlot)
	for c.last = max(c.last, slot-countSlots); c.last < slot; {
		c.last++
		c.slots[c.last%countSlots] = 0
	}
}
