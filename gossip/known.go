package gossip

import "time"

// Known is a host that may be serving.
type Known struct {
	Host
	// Live is set if the host is considered to be serving, and not only not forgotten
	// yet.
	Live bool
}

// Known returns the hosts that Expire has not removed, the local one included.
func (t *Table) Known(now time.Time) []Known {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Known, 0, len(t.hosts)+1)
	list = append(list, Known{Host: t.self.Host, Live: !t.self.Leaving})
	for _, r := range t.hosts {
		list = append(list, Known{Host: r.Host, Live: t.isLive(r, now)})
	}
	return list
}
