package daemon

import (
	"context"
	"errors"
	"time"
)

// Stop is a planned stop: the host reports unready, goes on serving until the
// balancer has noticed, finishes its requests, hands its servers over and
// closes. The end of ctx cuts the waiting short.
func (d *Daemon) Stop(ctx context.Context) error {
	d.ready.Store(false)
	d.core.Announce(ctx)
	notice := time.NewTimer(d.settings.Stop.UnreadyDelay)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err := d.callers.close(ctx, d.settings.Stop.FinishTimeout)
	d.core.Drain()
	leaving, cancel := context.WithTimeout(ctx, d.settings.Stop.LeaveTimeout)
	defer cancel()
	d.core.Leave(leaving)
	return errors.Join(err, d.Close())
}

// Close stops the host without notice, but lets requests in progress finish.
func (d *Daemon) Close() error {
	d.ready.Store(false)
	ctx := context.Background()
	var faults []error
	if d.callers != nil {
		faults = append(faults, d.callers.close(ctx, d.settings.Stop.FinishTimeout))
	}
	if d.core != nil {
		faults = append(faults, d.core.Close())
	}
	for _, l := range []*listener{d.others, d.admin} {
		if l != nil {
			faults = append(faults, l.close(ctx, d.settings.Stop.FinishTimeout))
		}
	}
	if d.beats != nil {
		faults = append(faults, d.beats.Close())
	}
	if d.peers != nil {
		d.peers.Close()
		d.backends.Close()
		d.platform.Close()
	}
	if d.stats != nil {
		faults = append(faults, d.stats.Close())
	}
	return errors.Join(faults...)
}
