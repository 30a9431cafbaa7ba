package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssophub/store"
)

// StoreKey is the key of the configuration in the platform's store.
const StoreKey = "config"

// Backoff between the attempts of a change. Each sleep is drawn from half to all
// of the current backoff, so that operators whose changes conflicted do not
// conflict again.
const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// DefaultChangeTimeout is the time after which an undecided change ends as
// Pending or StoreUnavailable. It is below the timeout of the operators'
// commands.
const DefaultChangeTimeout = 10 * time.Second

// Codec encodes and decodes the stored value, so that this package does not depend
// on the encoding.
type Codec interface {
	Encode(value Value) ([]byte, error)
	Decode(data []byte, revision uint64) (Value, error)
}

// ChangeRequest is a configuration change that an operator submits.
type ChangeRequest struct {
	// ID identifies the change.
	ID string
	// Repeat says that the change was sent before with the same ID. It needs
	// RequireBase and the same Base, so that the change cannot be applied twice.
	Repeat bool
	Author string
	// RequireBase makes the change conflict unless the store's revision is still
	// Base.
	RequireBase bool
	Base        uint64
	Edit        Edit
}

// ChangeResult is the result of a change request. The interface is sealed.
type ChangeResult interface{ result() }

type (
	// Accepted means that the change is in the store at Revision.
	Accepted struct{ Revision uint64 }
	// Refused means that the change is invalid and has no effect. Faults holds
	// the reasons.
	Refused struct{ Faults []Fault }
	// Conflicted means that the change has no effect, because another change
	// replaced its base revision first.
	Conflicted struct{ Winner Winner }
	// Pending means that the change may have taken effect or may still take
	// effect. The request can be sent again with the same ID and Base.
	Pending struct {
		Base uint64
		Err  error
	}
	// StoreUnavailable means that the store could not be read or written
	// in time. The change has no effect.
	StoreUnavailable struct{ Err error }
)

func (Accepted) result()         {}
func (Refused) result()          {}
func (Conflicted) result()       {}
func (Pending) result()          {}
func (StoreUnavailable) result() {}

// Changer applies changes to the value in the store with compare-and-swap. It
// holds no state of its own, so any number of calls may run at once.
type Changer struct {
	kv      store.KV
	codec   Codec
	timeout time.Duration
}

// NewChanger returns a Changer that tries each change until timeout.
func NewChanger(kv store.KV, codec Codec, timeout time.Duration) *Changer {
	return &Changer{kv: kv, codec: codec, timeout: timeout}
}

// attempt is the state of one change across its reads and swaps.
type attempt struct {
	request ChangeRequest
	// hasBase says that base holds the revision that the change is made from.
	hasBase bool
	base    uint64
	// maybeApplied says that a swap without an answer may have taken effect.
	maybeApplied bool
	// lastErr is the newest error of the store.
	lastErr error
}

// Change makes a change. It returns when the outcome is decided, when ctx ends
// or when the timeout of the Changer has passed.
func (c *Changer) Change(ctx context.Context, request ChangeRequest) ChangeResult {
	if request.Repeat && !request.RequireBase {
		return refused("revision", "a repeated change needs the revision that it was made from")
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a := &attempt{request: request, hasBase: request.RequireBase, base: request.Base, maybeApplied: request.Repeat}
	backoff := firstBackoff
	for {
		if result := c.tryOnce(ctx, a); result != nil {
			return result
		}
		if !sleepWithJitter(ctx, backoff) {
			return a.timedOut()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// tryOnce reads the value and swaps it once. It returns nil if the change has to
// be tried again.
func (c *Changer) tryOnce(ctx context.Context, a *attempt) ChangeResult {
	entry, err := c.kv.Get(ctx, StoreKey)
	if err != nil {
		a.lastErr = err
		return nil
	}
	value, err := c.decode(entry)
	if err != nil {
		return a.undecodable(err)
	}
	if !a.hasBase {
		a.hasBase, a.base = true, value.Revision
	}
	if result := a.checkOutcome(value); result != nil {
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

// checkOutcome returns a result if the value shows that the change was accepted,
// conflicted or can no longer be decided, and nil otherwise.
func (a *attempt) checkOutcome(value Value) ChangeResult {
	switch outcome := FindOutcome(value, a.request.ID, a.base).(type) {
	case Applied:
		return Accepted(outcome)
	case LostRace:
		return Conflicted(outcome)
	case Unknown:
		if a.maybeApplied {
			return Pending{Base: a.base, Err: fmt.Errorf("the list of recent changes at revision %d does not cover revision %d", outcome.Revision, a.base)}
		}
		return Conflicted{Winner: Winner{Revision: outcome.Revision}}
	default:
		return nil
	}
}

// swap applies the edit to the value and writes the new value if the store is
// still at the base revision. It returns nil if the outcome is not known yet.
func (c *Changer) swap(ctx context.Context, a *attempt, value Value) ChangeResult {
	change := Change{ID: a.request.ID, Author: a.request.Author, At: time.Now().UTC(), Note: DescribeEdit(a.request.Edit)}
	next, err := Apply(value, a.request.Edit, change)
	if err != nil {
		return a.refusedBy(err)
	}
	data, err := c.codec.Encode(next)
	if err != nil {
		return a.refusedBy(err)
	}
	if len(data) > store.MaxValueBytes {
		return refused("manifest", fmt.Sprintf("the encoded value has %d bytes, the store allows %d", len(data), store.MaxValueBytes))
	}
	entry, err := c.kv.Swap(ctx, StoreKey, a.base, data, 0)
	switch {
	case err == nil:
		return Accepted{Revision: entry.Revision}
	case errors.Is(err, store.ErrTooLarge):
		return refused("manifest", err.Error())
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnavailable):
		// The swap had no effect. The next read decides the outcome.
	default:
		a.maybeApplied = true
	}
	a.lastErr = err
	return nil
}

// refusedBy returns the result of a change whose edit cannot be applied to the
// value at its base. Earlier attempts had the same edit and base and failed in
// the same place, so no swap was sent.
func (a *attempt) refusedBy(err error) ChangeResult {
	var faults *FaultsError
	if errors.As(err, &faults) {
		return Refused{Faults: faults.Faults}
	}
	return refused("manifest", err.Error())
}

// undecodable returns the result of a change that met a stored value which
// cannot be decoded.
func (a *attempt) undecodable(err error) ChangeResult {
	if a.maybeApplied {
		return Pending{Base: a.base, Err: err}
	}
	return refused("store", "the stored configuration is unreadable: "+err.Error())
}

// timedOut returns the result of a change that was not decided within the
// timeout.
func (a *attempt) timedOut() ChangeResult {
	if a.maybeApplied {
		return Pending{Base: a.base, Err: a.lastErr}
	}
	return StoreUnavailable{Err: a.lastErr}
}

// refused returns a Refused with one fault.
func refused(place, problem string) ChangeResult {
	return Refused{Faults: []Fault{{Place: place, Problem: problem}}}
}

// sleepWithJitter sleeps for a random time between half of backoff and backoff.
// It returns false if ctx ended first.
func sleepWithJitter(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
