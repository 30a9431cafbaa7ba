// Package work provides the worker pool on which every daemon runs its jobs,
// and Gate, with which a component waits for the calls in progress when it
// closes. Pool owns the job queues and the worker goroutines; callers choose
// the class of each job and handle a rejected one.
package work

import (
	"errors"
	"sync"

	"hyssophub/shard"
)

// Errors of Pool.Submit. In both cases the job was not queued and will not run.
var (
	ErrFull   = errors.New("work: queue is full")
	ErrClosed = errors.New("work: pool is closed")
)

// Pool runs jobs of type J on a bounded number of workers, which start when
// they are first needed. Queued urgent jobs run before routine ones. Each class
// has a bounded queue of its own, so that routine load cannot fill the urgent
// queue.
type Pool[J any] struct {
	handle     func(J)
	recovery   Recovery[J]
	maxWorkers int
	queueLimit int

	mu       sync.Mutex
	jobReady *sync.Cond
	queues   [shard.ClassCount]queue[J]
	// started is the number of workers. idle is the number of workers that wait
	// for a job and have not been signalled.
	started int
	idle    int
	closed  bool

	workers sync.WaitGroup
}

// NewPool returns a pool of at most the given number of workers, which call
// handle for each job. Each class queues at most limit jobs.
func NewPool[J any](workers, limit int, handle func(J), recovery Recovery[J]) *Pool[J] {
	p := &Pool[J]{handle: handle, recovery: recovery, maxWorkers: workers, queueLimit: limit}
	p.jobReady = sync.NewCond(&p.mu)
	return p
}

// Submit queues a job. It returns ErrFull or ErrClosed if the job was not
// queued.
func (p *Pool[J]) Submit(class shard.Class, job J) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	if p.queues[class].size >= p.queueLimit {
		return ErrFull
	}
	p.queues[class].push(job)
	p.wakeOrStart()
	return nil
}

// wakeOrStart signals an idle worker for a queued job or, if none is idle,
// starts one below the maximum. Otherwise the next worker that finishes runs
// the job. Workers are not started in advance, because unused ones would cost
// memory and time in each garbage collection.
func (p *Pool[J]) wakeOrStart() {
	switch {
	case p.idle > 0:
		p.idle--
		p.jobReady.Signal()
	case p.started < p.maxWorkers:
		p.started++
		p.workers.Go(p.run)
	}
}

// Close rejects new jobs, runs the queued ones and waits for the workers.
func (p *Pool[J]) Close() {
	p.mu.Lock()
	p.closed = true
	p.jobReady.Broadcast()
	p.mu.Unlock()
	p.workers.Wait()
}

func (p *Pool[J]) run() {
	for {
		job, ok := p.next()
		if !ok {
			return
		}
		p.perform(job)
	}
}

// next waits for a job and returns it. It returns false once the pool is closed
// and its queues are empty.
func (p *Pool[J]) next() (J, bool) {
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
		p.jobReady.Wait()
	}
}
