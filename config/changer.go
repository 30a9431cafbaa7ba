package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssophub/store"
)

// Key is the key of the configuration in the platform's store.
const Key = "config"

// Waits between the attempts of a change, each drawn from half to all of its
// value, so that offices that collided do not collide again.
const (
	firstWait = 20 * time.Millisecond
	maxWait   = 500 * time.Millisecond
)

// DefaultLimit is how long a change is tried before its result is pending. It
// is below the timeout of the operators' commands.
const DefaultLimit = 10 * time.Second

// Codec converts the stored value. The domain does not know its encoding.
type Codec interface {
	Encode(value Value) ([]byte, error)
	Decode(data []byte, revision uint64) (Value, error)
}

// Request is a change that an office wants.
type Request struct {
	// ID identifies the change. An id that was sent before needs Guarded and
	// the same Base, so that the change cannot be applied twice.
	ID     string
	Repeat bool
	Author string
	// Guarded refuses the change unless the revision is still Base.
	Guarded bool
	Base    uint64
	Edit    Edit
}

// Result is the end of a change. The interface is sealed.
type Result interface{ result() }

type (
	// Accepted means that the change is in the store at Revision.
	Accepted struct{ Revision uint64 }
	// Refused means that the change has no effect and why.
	Refused struct{ Faults []Fault }
	// Conflicted means that another change came first; this one has no effect.
	Conflicted struct{ Winner Winner }
	// Pending means that the change may have taken effect or may still do so.
	// It can be sent again with the same id and Base.
	Pending struct {
		Base uint64
		Err  error
	}
	// Unreached means that the store did not take the change, which therefore
	// has no effect.
	Unreached struct{ Err error }
)

func (Accepted) result()   {}
func (Refused) result()    {}
func (Conflicted) result() {}
func (Pending) result()    {}
func (Unreached) result()  {}

// Changer makes changes in the store. It holds no state of its own, so any
// number of calls may run at once.
type Changer struct {
	kv    store.KV
	codec Codec
	limit time.Duration
}

// NewChanger returns a Changer that tries each change for at most limit.
func NewChanger(kv store.KV, codec Codec, limit time.Duration) *Changer {
	return &Changer{kv: kv, codec: codec, limit: limit}
}

// attempt is the state of one change between its steps.
type attempt struct {
	request Request
	// based says that base holds the revision that the change is made from.
	based bool
	base  uint64
	// sent says that a swap may have taken effect without an answer.
	sent bool
	err  error
}

// Change makes a change and returns when it is decided, when ctx ends or when
// the limit has passed.
func (c *Changer) Change(ctx context.Context, request Request) Result {
	if request.Repeat && !request.Guarded {
		return refuse("revision", "a repeated change needs the revision that it was made from")
	}
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	a := &attempt{request: request, based: request.Guarded, base: request.Base, sent: request.Repeat}
	wait := firstWait
	for {
		if result := c.try(ctx, a); result != nil {
			return result
		}
		if !pause(ctx, wait) {
			return a.giveUp()
		}
		wait = min(2*wait, maxWait)
	}
}

// try reads the value and swaps it once. It returns nil if the change is to be
// tried again.
func (c *Changer) try(ctx context.Context, a *attempt) Result {
	entry, err := c.kv.Get(ctx, Key)
	if err != nil {
		a.err = err
		return nil
	}
	value, err := c.decode(entry)
	if err != nil {
		return a.unreadable(err)
	}
	if !a.based {
		a.based, a.base = true, value.Revision
	}
	if result := a.decide(value); result != nil {
		return result
	}
	return c.swap(ctx, a, value)
}

func (c *Changer) decode(entry store.Entry) (Value, error) {
	if entry.Revision == 0 {
		return Value{}, nil
	}
	return c.codec.Decode(entry.Value, entry.Revision)
}

// decide ends a change that the value shows to be accepted or overtaken.
func (a *attempt) decide(value Value) Result {
	switch d := Decide(value, a.request.ID, a.base).(type) {
	case TookEffect:
		return Accepted(d)
	case Lost:
		return Conflicted(d)
	case Undecided:
		if a.sent {
			return Pending{Base: a.base, Err: fmt.Errorf("the recent changes at revision %d do not reach back to revision %d", d.Revision, a.base)}
		}
		return Conflicted{Winner: Winner{Revision: d.Revision}}
	default:
		return nil
	}
}

func (c *Changer) swap(ctx context.Context, a *attempt, value Value) Result {
	change := Change{ID: a.request.ID, Author: a.request.Author, At: time.Now().UTC(), Note: Describe(a.request.Edit)}
	next, err := Apply(value, a.request.Edit, change)
	if err != nil {
		return a.refuse(err)
	}
	data, err := c.codec.Encode(next)
	if err != nil {
		return a.refuse(err)
	}
	if len(data) > store.MaxValueBytes {
		return refuse("manifest", fmt.Sprintf("the value takes %d bytes, the store holds %d", len(data), store.MaxValueBytes))
	}
	entry, err := c.kv.Swap(ctx, Key, a.base, data, 0)
	switch {
	case err == nil:
		return Accepted{Revision: entry.Revision}
	case errors.Is(err, store.ErrTooLarge):
		return refuse("manifest", err.Error())
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnavailable):
		// No effect; the next read decides.
	default:
		a.sent = true
	}
	a.err = err
	return nil
}

// refuse ends a change whose edit does not apply to the value at its base.
// Earlier attempts sent the same edit from the same base, so none was sent.
func (a *attempt) refuse(err error) Result {
	var faults *FaultsError
	if errors.As(err, &faults) {
		return Refused{Faults: faults.Faults}
	}
	return refuse("manifest", err.Error())
}

func (a *attempt) unreadable(err error) Result {
	if a.sent {
		return Pending{Base: a.base, Err: err}
	}
	return refuse("store", "the stored configuration is unreadable: "+err.Error())
}

func (a *attempt) giveUp() Result {
	if a.sent {
		return Pending{Base: a.base, Err: a.err}
	}
	return Unreached{Err: a.err}
}

func refuse(place, problem string) Result {
	return Refused{Faults: []Fault{{Place: place, Problem: problem}}}
}

// pause waits for half to all of wait and reports whether ctx still runs.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait/2 + rand.N(wait/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
