package query

import (
	"cmp"
	"slices"

	"hyssophub/shard"
)

// Merge returns the first limit hits of all parts, by descending score, then by
// key. Servers normally send sorted parts, which Merge combines with a heap of
// the parts' first hits; parts that are not sorted are sorted first.
func Merge(parts []shard.PartialAnswer, limit int) []shard.Hit {
	size := 0
	heads := make(heads, 0, len(parts))
	for _, p := range parts {
		if len(p.Hits) == 0 {
			continue
		}
		size += len(p.Hits)
		heads = append(heads, sortedHits(p.Hits))
	}
	for i := len(heads)/2 - 1; i >= 0; i-- {
		heads.siftDown(i)
	}
	hits := make([]shard.Hit, 0, max(0, min(limit, size)))
	for len(heads) > 0 && len(hits) < limit {
		hits = append(hits, heads[0][0])
		heads = heads.pop()
	}
	return hits
}

// sortedHits returns the hits in order. It sorts a copy if they are not sorted.
func sortedHits(hits []shard.Hit) []shard.Hit {
	if slices.IsSortedFunc(hits, compareHits) {
		return hits
	}
	hits = slices.Clone(hits)
	slices.SortFunc(hits, compareHits)
	return hits
}

func compareHits(a, b shard.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

// heads is a heap of non-empty sorted lists, ordered by their first hits. It
// does not use container/heap, whose interface calls cost more than the
// comparisons.
type heads [][]shard.Hit

// pop removes the first hit of the first list and restores the heap order.
func (h heads) pop() heads {
	h[0] = h[0][1:]
	if len(h[0]) == 0 {
		h[0] = h[len(h)-1]
		h = h[:len(h)-1]
	}
	h.siftDown(0)
	return h
}

// siftDown moves the list at index i down until the heap order holds.
func (h heads) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if compareHits(h[c][0], h[least][0]) < 0 {
				least = c
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
