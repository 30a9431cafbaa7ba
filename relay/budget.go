package relay

import "time"

// BudgetLimits limit the extra requests of all hosts together. Extra requests
// are retries and hedges.
type BudgetLimits struct {
	// Ratio and Burst limit the extra requests of a service within Window to
	// Ratio times the ordinary requests plus Burst, summed over all hosts.
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// budgetMargin scales the limit of each host down, so that all hosts together
// stay below the limit while they disagree on the number of hosts.
const budgetMargin = 0.85

// windowSlots is the number of slots of the sliding window.
const windowSlots = 20

// budget counts the ordinary and the extra requests of one service in a sliding
// window.
type budget struct {
	slots [windowSlots]struct{ ordinary, extra int }
	// base is the time of the first count. Slots are counted from it and not from an
	// epoch, so that a step of the clock neither empties nor refills the budget.
	base time.Time
	// last is the number of the newest slot.
	last int64
}

// slide clears the slots that have left the window and returns the index of the
// current one.
func (b *budget) slide(now time.Time, window time.Duration) int64 {
	if b.base.IsZero() {
		b.base = now
	}
	slot := int64(now.Sub(b.base) / (window / windowSlots))
	if slot-b.last >= windowSlots {
		b.slots = [windowSlots]struct{ ordinary, extra int }{}
		b.last = slot
	}
	for b.last < slot {
		b.last++
		b.slots[b.last%windowSlots] = struct{ ordinary, extra int }{}
	}
	return b.last % windowSlots
}

// countOrdinary counts an ordinary request.
func (b *budget) countOrdinary(now time.Time, limits BudgetLimits) {
	b.slots[b.slide(now, limits.Window)].ordinary++
}

// spend counts an extra request and returns true if the limit allows it. share is the
// part, 0 to 1, of the burst that belongs to this host.
func (b *budget) spend(now time.Time, limits BudgetLimits, share float64) bool {
	at := b.slide(now, limits.Window)
	ordinary, extra := 0, 0
	for _, s := range b.slots {
		ordinary += s.ordinary
		extra += s.extra
	}
	allowed := budgetMargin * (limits.Ratio*float64(ordinary) + limits.Burst*share)
	if float64(extra+1) > allowed {
		return false
	}
	b.slots[at].extra++
	return true
}

// refund removes an extra request that was not sent from the count.
func (b *budget) refund(now time.Time, limits BudgetLimits) {
	at := b.slide(now, limits.Window)
	b.slots[at].extra = max(0, b.slots[at].extra-1)
}
