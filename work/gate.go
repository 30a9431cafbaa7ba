package work

import "sync"

// Gate admits holders until it is closed, and its Close waits for them. The
// zero value is open.
type Gate struct {
	mu      sync.Mutex
	closed  bool
	holders sync.WaitGroup
}

// Enter admits a holder, which must call Leave, and returns false once the gate
// is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.holders.Add(1)
	return true
}

// Leave ends a holder that Enter admitted.
func (g *Gate) Leave() { g.holders.Done() }

// Closed reports whether the gate admits no more holders.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Close admits no more holders and waits for those inside.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.holders.Wait()
}
