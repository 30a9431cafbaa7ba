package canary

import (
	"slices"
	"strings"
	"time"
)

// Summary describes a roll-out for logs and metrics, as far as this host knows.
type Summary struct {
	Order    Order
	Age      time.Duration
	Stage    Stage
	Reason   string
	IsHalted bool
	// IsDecided is set if the verdict is in the store, IsDecider if this host is one of those
	// that decide on it.
	IsDecided bool
	IsDecider bool
	// Sent and SentTarget count sends of all hosts that reported here, Bad the answers
	// of the target version that failed or were lost.
	Sent       int
	SentTarget int
	Bad        int
	// Evidence is that of the counts known here.
	Evidence Evidence
}

// Summaries returns the roll-outs with an order, by service.
func (t *Table) Summaries(now time.Time) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Summary
	for _, s := range t.services {
		if s.rollout != nil {
			list = append(list, t.summary(s, now))
		}
	}
	slices.SortFunc(list, func(a, b Summary) int { return strings.Compare(a.Order.Service, b.Order.Service) })
	return list
}

func (t *Table) summary(s *service, now time.Time) Summary {
	r := s.rollout
	rows := r.allRows()
	sums := total(rows)
	bad := 0
	for _, row := range rows {
		if row.IsTarget {
			bad += int(row.Failed + row.Lost)
		}
	}
	return Summary{
		Order:      r.order,
		Age:        now.Sub(r.since),
		Stage:      r.stage,
		Reason:     r.reason,
		IsHalted:   r.isHalted,
		IsDecided:  s.isDecided(),
		IsDecider:  r.duty.self >= 0 && r.duty.self < deciders,
		Sent:       sums.sent,
		SentTarget: sums.sentTarget,
		Bad:        bad,
		Evidence:   judge(rows, t.fleet.CountVersion(r.order.Service, r.order.Target)),
	}
}

// Counts are the numbers of roll-outs on this host, for metrics.
type Counts struct {
	// Open is the number of roll-outs whose verdict is not in the store. To the target
	// version of Held of them this host sends nothing, because it or the deciding hosts
	// found it bad.
	Open int
	Held int
	// Trials is the number of sends of this host to the target versions of these.
	Trials int
}

// Counts returns the numbers of roll-outs.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Counts
	for _, s := range t.services {
		r := s.rollout
		if r == nil || s.isDecided() {
			continue
		}
		c.Open++
		c.Trials += r.sentTarget
		if _, isRolledBack := r.stage.(RolledBack); isRolledBack || r.isHalted {
			c.Held++
		}
	}
	return c
}
