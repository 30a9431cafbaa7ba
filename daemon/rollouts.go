package daemon

import (
	"context"
	"errors"
	"time"

	"hyssophub/canary"
	"hyssophub/platform"
	"hyssophub/work"
)

// rolloutInterval is the time between two checks of the roll-outs in progress. A verdict
// passes from the counts of one host to another one in three of them.
const rolloutInterval = 200 * time.Millisecond

// progressInterval is the time between two log lines on a roll-out in progress.
const progressInterval = 2 * time.Second

// followRollouts carries out what the table of roll-outs decides, until the host closes.
func (r *Relay) followRollouts() {
	var mixed map[string]string
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			work.Guard(r.reportPanic, func() { r.tickRollouts(time.Now()) })
			mixed = r.logMixed(mixed)
		case <-progress.C:
			work.Guard(r.reportPanic, r.logProgress)
		case <-r.ctx.Done():
			return
		}
	}
}

// logProgress logs the roll-outs that this host decides on.
func (r *Relay) logProgress() {
	for _, s := range r.rollouts.Summaries(time.Now()) {
		if s.IsDecider && !s.IsDecided {
			r.logRollout(s, "roll-out in progress")
		}
	}
}

func (r *Relay) tickRollouts(now time.Time) {
	for _, action := range r.rollouts.Tick(now) {
		switch a := action.(type) {
		case canary.Tell:
			if err := r.permits.TellRollout(a); err != nil {
				r.log.Debug().Err(err).Msg("report on a roll-out not sent")
			}
		case canary.Write:
			// The store may be slow, and the other roll-outs go on.
			r.jobs.Go(func() { work.Guard(r.reportPanic, func() { r.writeStatus(a) }) })
		case canary.Entered:
			r.logRollout(a.Summary, "roll-out entered a stage")
		}
	}
}

// logMixed logs which services have servers of several versions since the last call, and
// which version their requests go to without an order.
func (r *Relay) logMixed(before map[string]string) map[string]string {
	mixed := r.fleet.MixedServices()
	for service, version := range mixed {
		if _, known := before[service]; !known {
			r.log.Info().Str("service", service).Str("version", version).Msg("service has servers of several versions")
		}
	}
	return mixed
}

// writeStatus writes a status to the store. After an error the table repeats the write
// with the same conditions.
func (r *Relay) writeStatus(w canary.Write) {
	ctx, cancel := context.WithTimeout(r.ctx, writeTimeout)
	defer cancel()
	revision, err := r.store.WriteStatus(ctx, w)
	line := r.log.Info()
	var conflict platform.Conflict
	switch {
	case err == nil:
		r.rollouts.Written(w, revision, time.Now())
	case errors.As(err, &conflict):
		line = line.Err(err)
		r.rollouts.Conflict(w, conflict.OrderRevision, conflict.Status, time.Now())
	default:
		line = r.log.Warn().Err(err)
	}
	line.Str("service", w.Status.Service).Str("target", w.Status.Target).Str("stage", canary.NameOf(w.Status.Stage)).
		Uint64("order", w.OrderRevision).Uint64("after", w.StatusRevision).Uint64("revision", revision).Msg("status of a roll-out written")
}

// writeTimeout bounds a write of a status.
const writeTimeout = 1500 * time.Millisecond

func (r *Relay) logRollout(s canary.Summary, message string) {
	r.log.Info().Str("service", s.Order.Service).Str("target", s.Order.Target).Str("stage", canary.NameOf(s.Stage)).Str("reason", s.Reason).
		Dur("age", s.Age).Dur("duration", s.Order.Duration).Int("sent", s.Sent).Int("sent_target", s.SentTarget).Int("bad", s.Bad).
		Str("evidence", s.Evidence.String()).Msg(message)
}

// Hear implements peer.PermitHandler.
func (h permitHandler) Hear(reports []canary.Report) []canary.Report {
	var replies []canary.Report
	for _, report := range reports {
		if reply, ok := h.rollouts.Hear(report, time.Now()); ok {
			replies = append(replies, reply)
		}
	}
	return replies
}
