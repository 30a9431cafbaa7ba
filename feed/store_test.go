package feed

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"hyssophub/store"
)

// storeDelay is the time that the fake store takes for an answer.
const storeDelay = 4 * time.Millisecond

// fakeStore is a store with a history. Its pages hold one item each.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision uint64
	// written holds the changes that the store has, also those that the history has
	// dropped, and branches those that it had at the end of each earlier era.
	written  []Item
	branches [][]Item
	era      uint64
	// dropped is the revision up to which the history is dropped.
	dropped uint64
	// wake is closed and replaced at each write, and cut when the watches that wait end.
	wake, cut chan struct{}
	// silent is closed and replaced when the watches that wait go silent for good.
	silent chan struct{}
	// refused holds the hosts whose calls fail; "*" stands for all.
	refused map[string]bool
	refusal time.Time
	drilled time.Time
	// limit is the number of changes beyond which the answer to a watch is unreadable;
	// zero sets none.
	limit int
}

// write writes items in one transaction and returns them with its revision.
func (s *fakeStore) write(list []Item) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for i := range list {
		list[i].Position = s.position()
		s.items[list[i].Key] = list[i]
	}
	s.history = append(s.history, list...)
	s.written = append(s.written, list...)
	close(s.wake)
	s.wake = make(chan struct{})
	return list
}

func (s *fakeStore) position() store.Position {
	return store.Position{Era: s.era, Revision: s.revision}
}

// present returns the position of the store.
func (s *fakeStore) present() store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position()
}

// content returns the newest version of each item.
func (s *fakeStore) content() []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.items))
}

// changesOf returns the changes that the store had or has in an era.
func (s *fakeStore) changesOf(era uint64) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era < uint64(len(s.branches)) {
		return s.branches[era]
	}
	return slices.Clone(s.written)
}

// isNewest reports whether no later change of an item is written, and none of it was lost.
func (s *fakeStore) isNewest(item Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.items[item.Key]
	return newest.Position == item.Position
}

// holds reports whether the store has an item in a version that was written again or not
// at all.
func (s *fakeStore) holds(item Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.items[item.Key]
	return held.isEqual(item) || (!ok && item.Deleted)
}

// drill brings the store back from a copy that lacks the last changes.
func (s *fakeStore) drill(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := max(1, len(s.written)-lost)
	for at > 1 && at < len(s.written) && s.written[at].Position == s.written[at-1].Position {
		at--
	}
	s.branches = append(s.branches, s.written)
	s.written = slices.Clone(s.written[:at])
	s.revision = s.written[at-1].Position.Revision
	s.items = make(map[string]Item)
	for _, item := range s.written {
		s.items[item.Key] = item
	}
	s.history = slices.DeleteFunc(slices.Clone(s.history), func(item Item) bool { return item.Position.Revision > s.revision })
	s.dropped = min(s.dropped, s.revision)
	s.era++
	s.drilled = time.Now()
}

func (s *fakeStore) lastDrill() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drilled
}

func (s *fakeStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// silence leaves the watches that wait without an answer; new calls are answered.
func (s *fakeStore) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{})
}

// refuse makes all calls of some hosts fail from now on, and those of the others not.
func (s *fakeStore) refuse(hosts ...string) {
	s.cutWatches()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused["*"] {
		s.refusal = time.Now()
	}
	s.refused = make(map[string]bool)
	for _, h := range hosts {
		s.refused[h] = true
	}
}

// lastRefusal returns the last time at which the store refused the calls of all hosts.
func (s *fakeStore) lastRefusal() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused["*"] {
		return time.Now()
	}
	return s.refusal
}

func (s *fakeStore) setLimit(t *testing.T, number string) {
	limit, err := strconv.Atoi(number)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
}

var errRefused = errors.New("refused")

func (s *fakeStore) isRefused(host string) bool { return s.refused["*"] || s.refused[host] }

// load reads the items in pages, which are not a snapshot.
func (s *fakeStore) load(ctx context.Context, host string) (Update, error) {
	var update Update
	last := ""
	for {
		sleep(ctx, storeDelay)
		s.mu.Lock()
		if s.isRefused(host) {
			s.mu.Unlock()
			return Update{}, errRefused
		}
		if update.Position.Revision == 0 {
			update.Position = s.position()
		}
		if update.Position.Era != s.era {
			s.mu.Unlock()
			return Update{}, ErrEraChanged
		}
		var rest []Item
		for _, item := range s.items {
			if item.Key > last && !item.Deleted {
				rest = append(rest, item)
			}
		}
		s.mu.Unlock()
		if len(rest) == 0 {
			return update, nil
		}
		next := slices.MinFunc(rest, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
		next.Position.Era = update.Position.Era
		update.Items, last = append(update.Items, next), next.Key
	}
}

// watch returns the changes after a revision, or none after wait.
func (s *fakeStore) watch(ctx context.Context, host string, after uint64, wait time.Duration) (Update, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	for waited := false; ; {
		s.mu.Lock()
		update := Update{Position: s.position()}
		for _, item := range s.history {
			if item.Position.Revision > after {
				item.Position.Era = s.era
				update.Items = append(update.Items, item)
			}
		}
		wake, cut, compacted, refused := s.wake, s.cut, after < s.dropped || after > s.revision, s.isRefused(host)
		unreadable := s.limit > 0 && len(update.Items) > s.limit
		s.mu.Unlock()
		switch {
		case refused:
			return Update{}, errRefused
		case compacted:
			return Update{}, ErrCompacted
		case unreadable:
			sleep(ctx, storeDelay)
			return Update{}, ErrUnreadable
		case waited || len(update.Items) > 0:
			sleep(ctx, storeDelay)
			return update, ctx.Err()
		}
		select {
		case <-silent:
			<-ctx.Done()
			return Update{}, ctx.Err()
		case <-wake:
		case <-timer.C:
			waited = true
		case <-cut:
			return Update{}, errors.New("watch cut")
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
}
