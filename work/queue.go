package work

// queue is a first-in, first-out queue in a ring buffer. The buffer grows by
// doubling and never shrinks, so that a steady load causes no allocations.
type queue[J any] struct {
	ring []J
	head int
	size int
}

const initialRingSize = 16

func (q *queue[J]) push(job J) {
	if q.size == len(q.ring) {
		q.grow()
	}
	q.ring[(q.head+q.size)%len(q.ring)] = job
	q.size++
}

// pop removes the oldest job. The queue must not be empty.
func (q *queue[J]) pop() J {
	job := q.ring[q.head]
	var zero J
	q.ring[q.head] = zero
	q.head = (q.head + 1) % len(q.ring)
	q.size--
	return job
}

func (q *queue[J]) grow() {
	ring := make([]J, max(initialRingSize, 2*len(q.ring)))
	n := copy(ring, q.ring[q.head:])
	copy(ring[n:], q.ring[:q.head])
	q.ring, q.head = ring, 0
}
