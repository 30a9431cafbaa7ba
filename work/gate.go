package work

import "sync"

// Gate admits callers until it is closed, and Close waits until all admitted
// callers have left. The zero value is open.
type Gate struct {
	mu      sync.Mutex
	closed  bool
	callers sync.WaitGroup
}

// Enter admits a caller, which must call Leave when it is done. It returns
// false once the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.callers.Add(1)
	return true
}

// Leave must be called once for each call of Enter that returned true.
func (g *Gate) Leave() { g.callers.Done() }

// Closed reports whether the gate is closed, so that Enter would return false.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Close rejects further callers and waits until the admitted ones have left.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.callers.Wait()
}
