// Package peer is the adapter between entry hosts: twirp calls over TCP and
// heartbeats over UDP. It owns the encoding of messages, the sockets and the
// connections. The handling of received messages and the choice of the hosts to
// send to are left to other packages.
package peer

import (
	"time"

	"hyssophub/fault"
	"hyssophub/owner"
	"hyssophub/peer/peerpb"
	"hyssophub/shard"
)

// encodeBatch converts a batch. Deadlines are sent as the remaining time, so
// that the clocks of the two hosts need not agree.
func encodeBatch(batch shard.Batch, now time.Time) *peerpb.Batch {
	msg := &peerpb.Batch{From: batch.Sender, Revision: batch.Revision, Class: uint32(batch.Class)}
	subs := make([]peerpb.Sub, len(batch.Subs))
	msg.Subs = make([]*peerpb.Sub, len(batch.Subs))
	for i := range batch.Subs {
		s := &batch.Subs[i]
		p := &subs[i]
		p.Id, p.Request, p.Tenant, p.Service, p.Server = s.ID, s.RequestID, s.Tenant, s.Service, s.Server
		p.Version, p.Shards, p.Text, p.Limit = uint64(s.Version), s.Shards, s.Text, uint32(s.Limit)
		p.Left, p.Write, p.Key, p.Hedge = s.Deadline.Sub(now).Microseconds(), s.Write, s.IdempotencyKey, s.Hedge
		msg.Subs[i] = p
	}
	return msg
}

func decodeBatch(msg *peerpb.Batch, now time.Time) shard.Batch {
	class := shard.Routine
	if msg.GetClass() == uint32(shard.Urgent) {
		class = shard.Urgent
	}
	batch := shard.Batch{Sender: msg.GetFrom(), Revision: msg.GetRevision(), Class: class, Subs: make([]shard.SubRequest, 0, len(msg.GetSubs()))}
	for _, s := range msg.GetSubs() {
		batch.Subs = append(batch.Subs, shard.SubRequest{
			ID:             s.GetId(),
			RequestID:      s.GetRequest(),
			Tenant:         s.GetTenant(),
			Service:        s.GetService(),
			Server:         s.GetServer(),
			Version:        shard.Version(s.GetVersion()),
			Shards:         s.GetShards(),
			Text:           s.GetText(),
			Limit:          int(s.GetLimit()),
			Class:          class,
			Deadline:       now.Add(fromMicros(s.GetLeft())),
			Write:          s.GetWrite(),
			IdempotencyKey: s.GetKey(),
			Hedge:          s.GetHedge(),
		})
	}
	return batch
}

// encodeResults converts results. Messages of one type are allocated together,
// because separate allocations were a tenth of the cost of a call.
func encodeResults(results []shard.Result) *peerpb.Results {
	msg := &peerpb.Results{Results: make([]*peerpb.Result, len(results))}
	block := newResultBlock(results)
	for i := range results {
		r := &results[i]
		p := &block.results[i]
		p.Sub, p.Server, p.Took = r.SubID, r.Server, r.Took.Microseconds()
		p.Figures = &block.statistics[i]
		encodeFigures(p.Figures, &r.Stats)
		switch o := r.Outcome.(type) {
		case shard.Answered:
			p.Outcome = &peerpb.Result_Answered{Answered: block.encodeAnswered(o)}
		case shard.Refused:
			p.Outcome = &peerpb.Result_Refused{Refused: &peerpb.Refused{Reason: string(o.Reason), After: o.RetryAfter.Microseconds()}}
		case shard.Failed:
			p.Outcome = &peerpb.Result_Failed{Failed: &peerpb.Failed{Verdict: o.Verdict.String(), Reason: string(o.Reason)}}
		}
		msg.Results[i] = p
	}
	return msg
}

// resultBlock holds preallocated messages for a set of results. Each use removes
// messages from the front of the slices.
type resultBlock struct {
	results    []peerpb.Result
	statistics []peerpb.Figures
	parts      []peerpb.Part
	partPtrs   []*peerpb.Part
	hits       []peerpb.Hit
	hitPtrs    []*peerpb.Hit
}

func newResultBlock(results []shard.Result) *resultBlock {
	var parts, hits int
	for i := range results {
		if o, ok := results[i].Outcome.(shard.Answered); ok {
			parts += len(o.Parts)
			for j := range o.Parts {
				hits += len(o.Parts[j].Hits)
			}
		}
	}
	return &resultBlock{
		results:    make([]peerpb.Result, len(results)),
		statistics: make([]peerpb.Figures, len(results)),
		parts:      make([]peerpb.Part, parts),
		partPtrs:   make([]*peerpb.Part, parts),
		hits:       make([]peerpb.Hit, hits),
		hitPtrs:    make([]*peerpb.Hit, hits),
	}
}

func (b *resultBlock) encodeAnswered(o shard.Answered) *peerpb.Answered {
	msg := &peerpb.Answered{Receipt: o.Receipt}
	msg.Parts, b.partPtrs = b.partPtrs[:len(o.Parts):len(o.Parts)], b.partPtrs[len(o.Parts):]
	for i := range o.Parts {
		from := &o.Parts[i]
		part := &b.parts[0]
		b.parts = b.parts[1:]
		part.Version, part.Shard = uint64(from.Version), from.Shard
		part.Hits, b.hitPtrs = b.hitPtrs[:len(from.Hits):len(from.Hits)], b.hitPtrs[len(from.Hits):]
		for j := range from.Hits {
			hit := &b.hits[0]
			b.hits = b.hits[1:]
			hit.Key, hit.Score, hit.Text = from.Hits[j].Key, from.Hits[j].Score, from.Hits[j].Text
			part.Hits[j] = hit
		}
		msg.Parts[i] = part
	}
	return msg
}

// decodeResults converts results. A result whose outcome is missing or unknown
// gets the verdict MayHaveRun.
func decodeResults(msg *peerpb.Results) []shard.Result {
	results := make([]shard.Result, 0, len(msg.GetResults()))
	for _, p := range msg.GetResults() {
		r := shard.Result{SubID: p.GetSub(), Server: p.GetServer(), Took: fromMicros(p.GetTook()), Stats: decodeFigures(p.GetFigures())}
		switch o := p.GetOutcome().(type) {
		case *peerpb.Result_Answered:
			r.Outcome = decodeAnswered(o.Answered)
		case *peerpb.Result_Refused:
			r.Outcome = shard.Refused{Reason: fault.Reason(o.Refused.GetReason()), RetryAfter: fromMicros(o.Refused.GetAfter())}
		case *peerpb.Result_Failed:
			r.Outcome = shard.Failed{Verdict: fault.ParseVerdict(o.Failed.GetVerdict()), Reason: fault.Reason(o.Failed.GetReason())}
		default:
			r.Outcome = shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonInternal}
		}
		results = append(results, r)
	}
	return results
}

func decodeAnswered(msg *peerpb.Answered) shard.Answered {
	count := 0
	for _, p := range msg.GetParts() {
		count += len(p.GetHits())
	}
	hits := make([]shard.Hit, 0, count)
	o := shard.Answered{Receipt: msg.GetReceipt(), Parts: make([]shard.PartialAnswer, 0, len(msg.GetParts()))}
	for _, p := range msg.GetParts() {
		first := len(hits)
		for _, h := range p.GetHits() {
			hits = append(hits, shard.Hit{Key: h.GetKey(), Score: h.GetScore(), Text: h.GetText()})
		}
		o.Parts = append(o.Parts, shard.PartialAnswer{
			Version: shard.Version(p.GetVersion()),
			Shard:   p.GetShard(),
			Hits:    hits[first:len(hits):len(hits)],
		})
	}
	return o
}

func encodeFigures(msg *peerpb.Figures, f *shard.ServerStats) {
	msg.Server, msg.Usable, msg.Stamp = f.Server, f.Usable, f.CatalogRevision
	msg.Latency, msg.Tail = f.MedianLatency.Microseconds(), f.TailLatency.Microseconds()
	msg.Queued, msg.Busy, msg.Free = uint32(f.Queued), uint32(f.Busy), uint32(f.Free)
}

func decodeFigures(msg *peerpb.Figures) shard.ServerStats {
	return shard.ServerStats{
		Server:          msg.GetServer(),
		MedianLatency:   fromMicros(msg.GetLatency()),
		TailLatency:     fromMicros(msg.GetTail()),
		Queued:          int(msg.GetQueued()),
		Busy:            int(msg.GetBusy()),
		Free:            int(msg.GetFree()),
		Usable:          msg.GetUsable(),
		CatalogRevision: msg.GetStamp(),
	}
}

func encodeCatalogs(catalogs []shard.Catalog) *peerpb.Catalogs {
	msg := &peerpb.Catalogs{Catalogs: make([]*peerpb.Catalog, 0, len(catalogs))}
	for _, c := range catalogs {
		p := &peerpb.Catalog{Server: c.Server, Service: c.Service, Stamp: c.Revision}
		for _, h := range c.Versions {
			p.Held = append(p.Held, &peerpb.Held{Version: uint64(h.Version), All: h.All, Shards: h.Shards})
		}
		msg.Catalogs = append(msg.Catalogs, p)
	}
	return msg
}

func decodeCatalogs(msg *peerpb.Catalogs) []shard.Catalog {
	catalogs := make([]shard.Catalog, 0, len(msg.GetCatalogs()))
	for _, p := range msg.GetCatalogs() {
		c := shard.Catalog{Server: p.GetServer(), Service: p.GetService(), Revision: p.GetStamp()}
		for _, h := range p.GetHeld() {
			c.Versions = append(c.Versions, shard.VersionShards{Version: shard.Version(h.GetVersion()), All: h.GetAll(), Shards: h.GetShards()})
		}
		catalogs = append(catalogs, c)
	}
	return catalogs
}

func encodeStates(from string, states []owner.HandoverState) *peerpb.State {
	msg := &peerpb.State{From: from}
	for _, s := range states {
		p := &peerpb.ServerState{Server: s.Server, Warm: s.WarmupProgress, Draining: s.Draining, Latency: s.MedianLatency.Microseconds()}
		for _, b := range s.SlotTimes {
			p.Busy = append(p.Busy, b.Microseconds())
		}
		msg.Servers = append(msg.Servers, p)
	}
	return msg
}

func decodeStates(msg *peerpb.State) []owner.HandoverState {
	states := make([]owner.HandoverState, 0, len(msg.GetServers()))
	for _, p := range msg.GetServers() {
		s := owner.HandoverState{Server: p.GetServer(), WarmupProgress: p.GetWarm(), Draining: p.GetDraining(), MedianLatency: fromMicros(p.GetLatency())}
		for _, b := range p.GetBusy() {
			s.SlotTimes = append(s.SlotTimes, fromMicros(b))
		}
		states = append(states, s)
	}
	return states
}

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
