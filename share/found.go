package share

// LargestTier is the number of hosts that the tier is designed for.
const LargestTier = 660

// SharingHosts returns the number of hosts among which a host divides what all hosts may use
// together. known is the number of hosts that it knows, itself included. A host that has not
// found out whether there are others must not take all of it for its own: the others may be
// using it. Members.OwnedFrom has the same rule for rates that one host owns.
func SharingHosts(known int, found bool) int {
	if !found {
		return LargestTier
	}
	return max(1, known)
}
