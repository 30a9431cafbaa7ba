package feed

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hyssophub/canary"
	"hyssophub/fleet"
	"hyssophub/rules"
	"hyssophub/store"
	"hyssophub/work"
)

const (
	// rewriteBound is the least time after a change of era in which versions that the store
	// has lost stay in force unless they are written again, and rewriteReports the least
	// number of report intervals: the store removes the registration of a server that has
	// left after three, and the operators need a moment.
	rewriteBound   = 10 * time.Second
	rewriteReports = 5
	// retryMin and retryMax bound the backoff after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// batchPause is the pause between two calls that wait for changes. It batches
	// changes that follow each other closely, because each call is charged.
	batchPause = 400 * time.Millisecond
	// notifyTimeout is how long a host that does not watch the store waits for a
	// notification from a peer before it decides again whether to watch.
	notifyTimeout = 300 * time.Millisecond
	// peerTimeout is the timeout of a call to another host.
	peerTimeout = 700 * time.Millisecond
)

// Syncer watches the store, or fetches its changes from other hosts, and applies
// them to the tables.
type Syncer struct {
	source Source
	peers  Peers
	rules  *rules.Table
	fleet  *fleet.Table
	// rollouts, if not nil, are the roll-outs of services' versions.
	rollouts *canary.Table
	log      zerolog.Logger
	options  Options
	// together is set if all hosts of the tier start for the first time.
	together bool
	// notified wakes followPeers after a notification from a peer.
	notified chan struct{}

	// mu comes before the locks of the tables in the lock order. It guards the
	// fields down to malformed.
	mu      sync.Mutex
	history *history
	// caughtUp says that a full state was applied that was up to date. Until then
	// the host watches the store itself.
	caughtUp bool
	// progress is the store revision, in the era of the history, up to which all changes
	// are applied. The next watch starts after it.
	progress uint64
	// watching says whether this host gets changes from the store itself: it last
	// got an answer and has not relied on peers since.
	watching bool
	outage   outage
	// malformed counts the entries that were ignored.
	malformed uint64

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Options are the settings of a Syncer.
type Options struct {
	// ReportInterval is the time between two reports of a backend server to the store; zero
	// means 1.2 s.
	ReportInterval time.Duration
	// OnPanic, if not nil, is called with the panic of a step, which then counts as a
	// failed call and does not end the process.
	OnPanic func(work.Panic)
}

// rewriteTime is the time after a change of era in which lost versions stay in force.
func (o Options) rewriteTime() time.Duration {
	return max(rewriteBound, rewriteReports*o.ReportInterval)
}

// NewSyncer returns a Syncer, which does nothing until Start is called.
func NewSyncer(source Source, peers Peers, routing *rules.Table, instances *fleet.Table, log zerolog.Logger, options Options) *Syncer {
	options.ReportInterval = cmp.Or(options.ReportInterval, defaultReportInterval)
	return &Syncer{
		source:   source,
		peers:    peers,
		rules:    routing,
		fleet:    instances,
		log:      log,
		options:  options,
		notified: make(chan struct{}, 1),
		history:  newHistory(),
		outage:   outage{expiring: make(map[string]expiry)},
	}
}

// Start starts the goroutine that keeps the tables up to date. together says that all
// hosts of the tier start for the first time, so that none has a state yet and nobody
// waits for them.
func (s *Syncer) Start(together bool) {
	s.together = together
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.follow(ctx) })
}

// Close stops the goroutine and waits for its end.
func (s *Syncer) Close() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	s.done.Wait()
}

// Notify signals that another host has newer changes. It does not block.
func (s *Syncer) Notify() {
	select {
	case s.notified <- struct{}{}:
	default:
	}
}

// Status is what a host believes of the store.
type Status struct {
	// CheckedAt is when the store was last known to hold nothing newer than what this
	// host has applied; zero if that is not known.
	CheckedAt time.Time
	// InDoubt is the number of deleted registrations that may be renewed, whose backend
	// servers are still in use.
	InDoubt int
	// Failing is set while the store leaves this host's calls without an answer, and Outages
	// counts its outages in which registrations may have expired.
	Failing bool
	Outages uint64
	// Malformed counts the entries that were ignored because they cannot be decoded.
	Malformed uint64
	// Lost is the number of entries that the store has lost in a change of era and that
	// are in force until they are written again.
	Lost int
}

// Status returns what this host believes of the store at present.
func (s *Syncer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		CheckedAt: s.peers.CheckedAt(s.history.position),
		InDoubt:   len(s.outage.expiring),
		Failing:   s.outage.isFailing(),
		Outages:   s.outage.count,
		Malformed: s.malformed,
		Lost:      len(s.history.lost),
	}
}

// ChangesAfter returns the changes after a position for another host, or the full
// state if the changes are no longer kept.
func (s *Syncer) ChangesAfter(position store.Position) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := s.history.after(position)
	update.CheckedAt = s.peers.CheckedAt(s.history.position)
	return update
}

// follow loads the full state and then applies its changes until ctx ends.
func (s *Syncer) follow(ctx context.Context) {
	loaded := false
	pause := retryMin
	for ctx.Err() == nil {
		err := errPanicked
		work.Guard(s.options.OnPanic, func() {
			s.removeExpired(time.Now())
			switch {
			case !loaded:
				err = s.load(ctx)
				loaded = err == nil
			case !s.isCaughtUp() || s.peers.ShouldWatch(time.Now()):
				err = s.watch(ctx)
			default:
				s.followPeers(ctx)
				err = nil
			}
		})
		switch {
		case err == nil:
			pause = retryMin
		case ctx.Err() != nil:
		case errors.Is(err, errOverdue):
			// A fresh connection shows at once whether the store or only the old one is silent.
			s.recordFailure(err, time.Now())
		case loaded && errors.Is(err, ErrCompacted):
			s.log.Warn().Uint64("after", s.progress).Msg("store revision compacted, reloading the full state")
			loaded = false
		case errors.Is(err, ErrEraChanged):
			if !loaded {
				sleep(ctx, pause)
				pause = min(2*pause, retryMax)
			}
			loaded = false
		case loaded && errors.Is(err, ErrUnreadable):
			// The pages of the full state are small, whatever has changed.
			s.log.Warn().Err(err).Uint64("after", s.progress).Msg("changes in the store unreadable, reloading the full state")
			loaded = false
			sleep(ctx, batchPause)
		default:
			s.recordFailure(err, time.Now())
			s.fetchFromPeer(ctx)
			sleep(ctx, pause)
			pause = min(2*pause, retryMax)
		}
	}
}

// errPanicked is the error of a step that ended with a panic.
var errPanicked = errors.New("feed: step ended with a panic")

// errOverdue is the error of a watch that the store did not answer in time, though its last
// call was answered.
var errOverdue = errors.New("feed: watch is overdue")

func (s *Syncer) isCaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp
}

// watch waits for the next changes in the store and applies them.
func (s *Syncer) watch(ctx context.Context) error {
	s.mu.Lock()
	position := s.history.position
	after := max(s.progress, position.Revision+s.peers.Idle(position))
	began := time.Now()
	wait := s.watchWait(began)
	timeout := wait + overdueTime
	isProbe := s.outage.isFailing()
	if isProbe {
		timeout = probeTimeout
	}
	s.mu.Unlock()
	answer, err := s.source.Wait(ctx, after, wait, timeout)
	now := time.Now()
	for _, address := range answer.Hosts {
		s.peers.AddHost(address)
	}
	if err != nil && !isProbe && now.Sub(began) >= timeout {
		return errors.Join(errOverdue, err)
	}
	if err != nil {
		return err
	}
	if err := s.apply(answer.Update, fromStore, now); err != nil {
		return err
	}
	if len(answer.Items)+len(answer.Hosts) > 0 {
		s.mu.Lock()
		pause := min(batchPause, s.watchWait(now))
		s.mu.Unlock()
		sleep(ctx, pause)
	}
	return nil
}

// watchWait returns how long the store may hold the next watch open: until the first
// registration in its grace period is due to be removed or versions that the store has lost
// are due to be released, and not at all if the last call
// failed, because no registration is removed before the store answers again.
func (s *Syncer) watchWait(now time.Time) time.Duration {
	if s.outage.isFailing() {
		return probeWait
	}
	// The pause after changes is part of the time between two answers.
	wait := max(probeWait, s.outage.heardAt.Add(watchTime).Sub(now))
	for _, e := range s.outage.expiring {
		wait = min(wait, max(probeWait, e.until.Sub(now)))
	}
	for key := range s.history.lost {
		wait = min(wait, max(probeWait, s.lostUntil(key).Sub(now)))
	}
	return wait
}

// followPeers waits for a notification from another host, at most for
// notifyTimeout, and fetches newer changes.
func (s *Syncer) followPeers(ctx context.Context) {
	s.mu.Lock()
	if s.watching || s.outage.isFailing() {
		// Other hosts reach the store, so deletions become final without an answer of
		// the store to this host.
		s.watching, s.outage.failingSince = false, time.Time{}
		s.peers.ReportStore(false, s.outage.returnedAt)
		s.log.Info().Msg("host relies on other hosts to watch the store")
	}
	s.reportApplied(time.Time{})
	s.mu.Unlock()
	timer := time.NewTimer(notifyTimeout)
	defer timer.Stop()
	select {
	case <-s.notified:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	s.fetchFromPeer(ctx)
}

// fetchFromPeer fetches and applies the changes from a host that has newer ones.
// Failed calls are logged and change nothing.
func (s *Syncer) fetchFromPeer(ctx context.Context) {
	address, ok := s.peers.NewestPeer(time.Now())
	if !ok {
		return
	}
	s.mu.Lock()
	after := s.history.position
	s.mu.Unlock()
	update, err := s.peerChanges(ctx, address, after)
	if err != nil {
		return
	}
	err = s.apply(update, fromPeer, time.Now())
	if !errors.Is(err, errNotCovered) {
		return
	}
	if update, err = s.peerChanges(ctx, address, store.Position{}); err == nil {
		_ = s.apply(update, fromPeer, time.Now())
	}
}

// peerChanges asks a host for the changes after a position, and marks the host as
// suspect if the call fails.
func (s *Syncer) peerChanges(ctx context.Context, address string, after store.Position) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	update, err := s.peers.Changes(ctx, address, after)
	if err != nil {
		s.peers.Suspect(address, time.Now())
		s.log.Warn().Err(err).Str("peer", address).Stringer("after", after).Msg("fetching changes from another host failed")
	}
	return update, err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
