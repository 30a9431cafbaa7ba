package once

import (
	"context"
	"errors"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
	"hyssophub/store"
)

// claim makes the next store call of a request that claims its key.
func (e *Engine) claim(r *pendingRequest) {
	step := e.table.startClaim(r, time.Now())
	call, ok := step.(claimStep)
	if !ok {
		e.performStep(r, step)
		return
	}
	if call.extra {
		e.chargeStoreCall()
	}
	ctx, cancel := context.WithDeadline(e.ctx, r.request.Deadline)
	defer cancel()
	e.performStep(r, e.table.handleClaimAnswer(r, e.claimCall(ctx, r, call), time.Now()))
}

// claimCall reads the key or swaps in the claim.
func (e *Engine) claimCall(ctx context.Context, r *pendingRequest, call claimStep) storeAnswer {
	if call.read {
		entry, err := e.ports.KV.Get(ctx, r.key)
		return readAnswer(e.ports.Codec, entry, err)
	}
	return e.swap(ctx, r, Claimed{ClaimID: r.claimID, Host: e.options.Host}, call.revision)
}

// swap writes a state if the key still has the given revision, and binds the
// key to the lease of this host.
func (e *Engine) swap(ctx context.Context, r *pendingRequest, state State, revision uint64) storeAnswer {
	lease, err := e.leases.get(ctx)
	if err != nil {
		return swapRejected{}
	}
	value, err := e.ports.Codec.Encode(Record{Digest: r.digest, State: state})
	if err != nil {
		return swapRejected{}
	}
	written, err := e.ports.KV.Swap(ctx, r.key, revision, value, lease)
	if errors.Is(err, store.ErrLease) {
		e.leases.invalidate(lease)
	}
	return swapAnswer(e.ports.Codec, written, err)
}

// chargeStoreCall counts a repeated store call against the rate limit of this
// host, so that fewer new requests are admitted.
func (e *Engine) chargeStoreCall() { e.limiter.ReserveN(time.Now(), 1) }

// writeFinalState writes the final state of a request to the store, and submits
// another attempt if the write did not succeed.
func (e *Engine) writeFinalState(r *pendingRequest) {
	state, revision := e.table.startFinalWrite(r)
	ctx, cancel := context.WithTimeout(e.ctx, finalWriteTimeout)
	answer := e.swap(ctx, r, state, revision)
	cancel()
	step := e.table.finishFinalWrite(r, answer, e.callers.Closed())
	e.table.publishResult(r, time.Now())
	if retry, ok := step.(finalWriteStep); ok {
		e.chargeStoreCall()
		e.submit(r.request.Class, finalWriteJob{pending: r}, retry.pause)
		return
	}
	e.finalWrites.Leave()
}

// dispatch sends a claimed request to the host that owns a replica.
func (e *Engine) dispatch(r *pendingRequest) {
	now := time.Now()
	view := e.config.View()
	sub, step, ok := e.table.dispatch(r, func(id uint64, tried []string) (shard.SubRequest, bool) {
		chosen, ok := e.chooseReplica(view, r.request, tried, now)
		return r.newSub(id, chosen.server, chosen.version), ok
	}, now)
	if !ok {
		e.performStep(r, step)
		return
	}
	host, ok := e.ports.Directory.OwnerOf(sub.Server)
	if !ok {
		e.handleResult(shard.Result{SubID: sub.ID, Server: sub.Server, Outcome: shard.Refused{Reason: fault.ReasonNotOwner}})
		return
	}
	e.send(host, shard.Batch{Sender: e.options.Host, Revision: view.Value.Revision, Class: sub.Class, Subs: []shard.SubRequest{sub}})
}

// send submits one batch to an owner. A result that is not in the answer is
// passed to Deliver later.
func (e *Engine) send(host string, batch shard.Batch) {
	sub := batch.Subs[0]
	ctx, cancel := context.WithDeadline(e.ctx, sub.Deadline)
	defer cancel()
	results, err := e.ports.Transport.Submit(ctx, host, batch)
	if err == nil {
		e.Deliver(results)
		return
	}
	var outcome shard.Outcome = shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonOf(err)}
	if _, ok := fault.VerdictOf(err).(fault.NotRun); ok {
		outcome = shard.Refused{Reason: fault.ReasonOf(err)}
	}
	e.handleResult(shard.Result{SubID: sub.ID, Server: sub.Server, Outcome: outcome})
}

// handleResult applies a result to its request and passes the replica's
// statistics to the route table. It reports false for results that belong to no
// request of this engine.
func (e *Engine) handleResult(result shard.Result) bool {
	r, step, ok := e.table.handleResult(result, e.route.SpendRetry)
	if !ok {
		return false
	}
	e.route.Observe(result, time.Now())
	e.performStep(r, step)
	return true
}

// replica is the backend server chosen for a request, with the version to use.
type replica struct {
	server  config.Server
	version shard.Version
}

// chooseReplica selects the replica with the most shards of the newest version,
// since a request that writes is sent to one backend server only.
func (e *Engine) chooseReplica(view *config.View, request Request, tried []string, now time.Time) (replica, bool) {
	service, ok := view.Service(request.Service)
	if !ok {
		return replica{}, false
	}
	version, ok := e.route.Snapshot(view, []string{request.Service}, now)
	if !ok {
		return replica{}, false
	}
	shards, _ := e.route.PartitionMap(view, service, version)
	replicas, _ := e.route.Choose(view, route.Criteria{Service: service, Version: version, Shards: shards, Excluded: tried}, now, nil)
	for _, p := range replicas {
		// Done releases the load that Choose has counted: writes are few and
		// do not count as load in the choice of replicas.
		e.route.Done(p.Server)
	}
	if len(replicas) == 0 {
		return replica{}, false
	}
	return replica{server: service.Servers[replicas[0].Index], version: version}, true
}
