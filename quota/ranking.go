package quota

import (
	"time"

	"hyssophub/share"
)

// ranking is the hosts that own the shares of a cap. It holds while the members are the
// same.
type ranking struct {
	epoch uint64
	// owners holds the owner of each zone, that of this host's zone first, in an order
	// that differs between accounts; nil in its place if the zone has none.
	owners []*share.Peer
	// from is the time from which this host owns the share of its zone, if owns is set.
	from time.Time
	owns bool
}

// ownZone returns the owner of this host's zone; nil if there is none.
func (r *ranking) ownZone() *share.Peer { return r.owners[0] }

// ranking returns the ranking of an account's cap.
func (t *Table) ranking(account string) *ranking {
	r := t.rankings[account]
	if r != nil && r.epoch == t.members.Epoch {
		return r
	}
	r = &ranking{epoch: t.members.Epoch, owners: []*share.Peer{nil}}
	t.rankings[account] = r
	self := t.members.Peers[t.members.Self]
	if self == nil {
		return r
	}
	key := share.Key{ID: account, Zone: self.Zone}
	r.from, r.owns = t.members.OwnedFrom(key)
	for _, p := range t.members.Owners(key) {
		if p.Zone == self.Zone {
			r.owners[0] = p
		} else {
			r.owners = append(r.owners, p)
		}
	}
	return r
}
