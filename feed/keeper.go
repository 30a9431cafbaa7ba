package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hyssophub/fleet"
	"hyssophub/rules"
)

const (
	// returnTime is how long registrations that lapsed in an outage of the
	// store may take to come back once it answers again. The platform names
	// about two seconds.
	returnTime = 2200 * time.Millisecond
	// lapsedAtOnce is the number of registrations that go in one answer from
	// which on a lapse is suspected instead of so many departures.
	lapsedAtOnce = 4
	// retryTime and retryMax bound the pause after a call that failed.
	retryTime = 100 * time.Millisecond
	retryMax  = time.Second
	// batchTime is the pause between two waits. Changes that follow each other
	// closely then come in one answer; each call is priced.
	batchTime = 400 * time.Millisecond
	// listenTime is how long a host that relies on others waits for news before
	// it decides again whether to do so.
	listenTime = 300 * time.Millisecond
	// askTime bounds a call to another host.
	askTime = 700 * time.Millisecond
)

// Syncer follows the store, itself or through other hosts, and applies its
// changes to the tables.
type Syncer struct {
	source Source
	peers  Peers
	rules  *rules.Table
	fleet  *fleet.Table
	log    zerolog.Logger
	// news wakes a host that relies on others.
	news chan struct{}

	// mu comes before the locks of the tables.
	mu      sync.Mutex
	history *history
	loaded  bool
	// position is the revision of the store from which the changes follow.
	position uint64
	watching bool
	failing  time.Time
	// back is when the store answered again after it had failed.
	back time.Time
	// lapsed holds the registrations that went and may come back.
	lapsed map[string]lapse

	cancel context.CancelFunc
	done   sync.WaitGroup
}

type lapse struct {
	revision uint64
	until    time.Time
}

// NewSyncer returns a keeper that does not run yet.
func NewSyncer(source Source, peers Peers, routing *rules.Table, instances *fleet.Table, log zerolog.Logger) *Syncer {
	return &Syncer{
		source:  source,
		peers:   peers,
		rules:   routing,
		fleet:   instances,
		log:     log,
		news:    make(chan struct{}, 1),
		history: newHistory(),
		lapsed:  make(map[string]lapse),
	}
}

// Start begins to follow the store.
func (k *Syncer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.done.Go(func() { k.follow(ctx) })
}

// Close stops following the store and waits until it has.
func (k *Syncer) Close() {
	if k.cancel == nil {
		return
	}
	k.cancel()
	k.done.Wait()
}

// Notify says that another host knows of changes.
func (k *Syncer) Notify() {
	select {
	case k.news <- struct{}{}:
	default:
	}
}

// ChangesAfter returns the changes after a revision, for another host.
func (k *Syncer) ChangesAfter(revision uint64) Update {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history.after(revision)
}

// follow reads the state and then its changes until ctx ends.
func (k *Syncer) follow(ctx context.Context) {
	known, exact := false, false
	pause := retryTime
	for ctx.Err() == nil {
		k.expire(time.Now())
		var err error
		switch {
		case !known:
			err = k.load(ctx, exact)
			known = err == nil
		case !k.isCaughtUp() || k.peers.ShouldWatch(time.Now()):
			err = k.watch(ctx)
		default:
			k.listen(ctx)
		}
		switch {
		case err == nil:
			pause = retryTime
		case errors.Is(err, ErrCompacted):
			k.log.Warn().Uint64("after", k.position).Msg("the store's history is gone, reading the whole state")
			known, exact = false, true
		default:
			k.failed(err, time.Now())
			k.ask(ctx)
			sleep(ctx, pause)
			pause = min(2*pause, retryMax)
		}
	}
}

// load reads the whole state from the store, or from another host if the store
// does not answer.
func (k *Syncer) load(ctx context.Context, exact bool) error {
	state, err := k.source.Load(ctx, exact)
	if err == nil {
		state.Full = true
		k.apply(state, fromStore, time.Now())
		return nil
	}
	for _, address := range k.peers.Seeds(time.Now()) {
		state, asked := k.changes(ctx, address, 0)
		if asked == nil && len(state.Items) > 0 {
			k.log.Info().Err(err).Str("peer", address).Msg("state read from another host")
			k.apply(state, fromPeer, time.Now())
			return nil
		}
	}
	return err
}

func (k *Syncer) isCaughtUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

// watch waits for the next changes at the store.
func (k *Syncer) watch(ctx context.Context) error {
	k.mu.Lock()
	after := max(k.position, k.peers.Progress(k.history.revision))
	until := k.firstLapse()
	k.mu.Unlock()
	bounded, cancel := ctx, context.CancelFunc(func() {})
	if !until.IsZero() {
		// A registration that does not come back must go in time.
		bounded, cancel = context.WithDeadline(ctx, until)
	}
	defer cancel()
	state, err := k.source.Wait(bounded, after)
	if err != nil {
		if bounded.Err() != nil && ctx.Err() == nil {
			return nil
		}
		return err
	}
	k.apply(state, fromStore, time.Now())
	if len(state.Items) > 0 {
		sleep(ctx, batchTime)
	}
	return nil
}

// listen waits for news from other hosts and asks for the changes.
func (k *Syncer) listen(ctx context.Context) {
	k.mu.Lock()
	if k.watching || !k.failing.IsZero() {
		// Others reach the store, so what it removes is gone.
		k.watching, k.failing = false, time.Time{}
		k.log.Info().Msg("other hosts follow the store for this one")
	}
	k.publish(time.Time{})
	k.mu.Unlock()
	timer := time.NewTimer(listenTime)
	defer timer.Stop()
	select {
	case <-k.news:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	k.ask(ctx)
}

// ask takes over the changes that another host has before this one.
func (k *Syncer) ask(ctx context.Context) {
	address, ok := k.peers.NewestPeer(time.Now())
	if !ok {
		return
	}
	k.mu.Lock()
	after := k.history.revision
	k.mu.Unlock()
	state, err := k.changes(ctx, address, after)
	if err != nil {
		return
	}
	k.apply(state, fromPeer, time.Now())
}

func (k *Syncer) changes(ctx context.Context, address string, after uint64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	state, err := k.peers.Changes(ctx, address, after)
	if err != nil {
		k.peers.Suspect(address, time.Now())
		k.log.Warn().Err(err).Str("peer", address).Uint64("after", after).Msg("no changes from another host")
	}
	return state, err
}

func (k *Syncer) firstLapse() time.Time {
	var first time.Time
	for _, l := range k.lapsed {
		if first.IsZero() || l.until.Before(first) {
			first = l.until
		}
	}
	return first
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (k *Syncer) failed(err error, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watching = false
	if k.failing.IsZero() {
		k.failing = now
		k.log.Warn().Err(err).Uint64("revision", k.history.revision).Msg("the store is lost")
	}
}
