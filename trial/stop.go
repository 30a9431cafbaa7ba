package trial

import (
	"context"
	"time"
)

// Times of a planned stop, shorter than the defaults of the daemon's settings.
const (
	stopNotice = time.Second
	stopLeave  = 5 * time.Second
)

// restartHost stops a host as the daemon does on a signal, and starts it again.
func (f *Fleet) restartHost(i int) {
	f.mu.Lock()
	core := f.cores[i]
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopNotice+stopLeave)
	defer cancel()
	core.AnnounceStop(ctx)
	f.removeFromBalancer(i, true)
	time.Sleep(stopNotice)
	core.Drain()
	core.Leave(ctx)
	_ = core.Close()
	f.startHost(i)
}
