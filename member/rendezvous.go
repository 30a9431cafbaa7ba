package member

import "github.com/cespare/xxhash/v2"

// OwnerOf returns the host that owns a placement group by rendezvous hashing
// over the given hosts, and false if there are none. Removing a host moves only
// the groups that it owned.
func OwnerOf(group string, hosts []Host) (Host, bool) {
	var (
		best      Host
		maxWeight uint64
		found     bool
	)
	for _, h := range hosts {
		weight := hashWeight(group, h.Name)
		if !found || weight > maxWeight || (weight == maxWeight && h.Name < best.Name) {
			best, maxWeight, found = h, weight, true
		}
	}
	return best, found
}

// hashWeight returns the rendezvous weight of a host for a group.
func hashWeight(group, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(group)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}
