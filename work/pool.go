// Package work provides the worker pool on which every daemon runs its jobs.
package work

import (
	"errors"
	"sync"

	"hyssophub/shard"
)

// Errors of Pool.Submit. In both cases the job was not taken.
var (
	ErrFull   = errors.New("work: queue is full")
	ErrClosed = errors.New("work: pool is closed")
)

// Pool runs jobs of type J on a bounded number of workers, which start when they
// are first needed. Urgent jobs are taken before routine ones, and each class
// has a bounded queue of its own, so that routine load cannot fill the urgent
// queue.
type Pool[J any] struct {
	handle func(J)
	most   int
	limit  int

	mu     sync.Mutex
	ready  *sync.Cond
	queues [shard.ClassCount]queue[J]
	// started is the number of workers, and idle that of those that wait for a
	// job and were not woken.
	started int
	idle    int
	closed  bool

	workers sync.WaitGroup
}

// NewPool returns a pool of at most the given number of workers, which call
// handle for each job. Each class queues at most limit jobs.
func NewPool[J any](workers, limit int, handle func(J)) *Pool[J] {
	p := &Pool[J]{handle: handle, most: workers, limit: limit}
	p.ready = sync.NewCond(&p.mu)
	return p
}

// Submit queues a job and returns ErrFull or ErrClosed if it was not taken.
func (p *Pool[J]) Submit(class shard.Class, job J) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	if p.queues[class].size >= p.limit {
		return ErrFull
	}
	p.queues[class].push(job)
	p.wake()
	return nil
}

// wake finds a worker for a job that was queued: an idle one, or a new one
// while there are few. Otherwise the next worker that finishes takes it. Workers
// that are never needed would cost memory and time of each collection of the
// heap.
func (p *Pool[J]) wake() {
	switch {
	case p.idle > 0:
		p.idle--
		p.ready.Signal()
	case p.started < p.most:
		p.started++
		p.workers.Go(p.run)
	}
}

// Close refuses new jobs, runs the queued ones and waits for the workers.
func (p *Pool[J]) Close() {
	p.mu.Lock()
	p.closed = true
	p.ready.Broadcast()
	p.mu.Unlock()
	p.workers.Wait()
}

func (p *Pool[J]) run() {
	for {
		job, ok := p.take()
		if !ok {
			return
		}
		p.handle(job)
	}
}

func (p *Pool[J]) take() (J, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for c := range p.queues {
			if p.queues[c].size > 0 {
				return p.queues[c].pop(), true
			}
		}
		if p.closed {
			var zero J
			return zero, false
		}
		p.idle++
		p.ready.Wait()
	}
}
