package daemon

import (
	"context"
	"errors"
	"time"
)

// Stop performs a planned stop: the host reports not ready, serves until the
// balancer has removed it, finishes its requests, hands its backend servers over
// and closes. The end of ctx cuts the waiting short.
func (d *Daemon) Stop(ctx context.Context) error {
	d.ready.Store(false)
	d.core.AnnounceStop(ctx)
	d.callerListener.leave()
	noticeTimer := time.NewTimer(d.settings.Stop.UnreadyDelay)
	defer noticeTimer.Stop()
	select {
	case <-noticeTimer.C:
	case <-ctx.Done():
	}
	err := d.callerListener.close(ctx, d.settings.Stop.FinishTimeout)
	d.core.Drain()
	leaveCtx, cancel := context.WithTimeout(ctx, d.settings.Stop.LeaveTimeout)
	defer cancel()
	d.core.Leave(leaveCtx)
	return errors.Join(err, d.Close())
}

// Close stops the host without a notice period, but lets requests in progress
// finish.
func (d *Daemon) Close() error {
	d.ready.Store(false)
	ctx := context.Background()
	var errs []error
	if d.callerListener != nil {
		errs = append(errs, d.callerListener.close(ctx, d.settings.Stop.FinishTimeout))
	}
	if d.core != nil {
		errs = append(errs, d.core.Close())
	}
	for _, l := range []*listener{d.peerListener, d.adminListener} {
		if l != nil {
			errs = append(errs, l.close(ctx, d.settings.Stop.FinishTimeout))
		}
	}
	if d.heartbeats != nil {
		errs = append(errs, d.heartbeats.Close())
	}
	if d.peers != nil {
		d.peers.Close()
		d.backends.Close()
		d.store.Close()
	}
	if d.stats != nil {
		errs = append(errs, d.stats.Close())
	}
	return errors.Join(errs...)
}
