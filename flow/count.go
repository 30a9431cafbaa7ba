package flow

import "time"

const (
	// countSlots slots of countSlot each make the time over which requests are
	// counted. It covers some exchanges of asks and grants.
	countSlots = 5
	countSlot  = 100 * time.Millisecond
)

// recentCount counts events of the last countSlots slots.
type recentCount struct {
	slots [countSlots]int
	// last is the number of the newest slot, counted from the Unix epoch.
	last int64
}

func (c *recentCount) add(now time.Time) {
	c.slide(now)
	c.slots[c.last%countSlots]++
}

// sum returns the number of events in the slots up to now.
func (c *recentCount) sum(now time.Time) int {
	c.slide(now)
	sum := 0
	for _, n := range c.slots {
		sum += n
	}
	return sum
}

// slide clears the slots that are older than the count reaches.
func (c *recentCount) slide(now time.Time) {
	slot := now.UnixNano() / int64(countSlot)
	for c.last = max(c.last, slot-countSlots); c.last < slot; {
		c.last++
		c.slots[c.last%countSlots] = 0
	}
}
