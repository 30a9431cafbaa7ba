// Package peer is the adapter between the daemons of the tier: twirp calls
// over TCP.
package peer

import (
	"time"

	"hyssophub/fault"
	"hyssophub/owner"
	"hyssophub/peer/peerpb"
	"hyssophub/shard"
)

// encodeBatch converts a batch; deadlines travel as the time left, so that the
// clocks of two hosts need not agree.
func encodeBatch(batch shard.Batch, now time.Time) *peerpb.Batch {
	w := &peerpb.Batch{From: batch.Sender, Revision: batch.Revision, Class: uint32(batch.Class)}
	subs := make([]peerpb.Sub, len(batch.Subs))
	w.Subs = make([]*peerpb.Sub, len(batch.Subs))
	for i := range batch.Subs {
		s := &batch.Subs[i]
		p := &subs[i]
		p.Id, p.Request, p.Tenant, p.Service, p.Server = s.ID, s.RequestID, s.Tenant, s.Service, s.Server
		p.Version, p.Shards, p.Text, p.Limit = uint64(s.Version), s.Shards, s.Text, uint32(s.Limit)
		p.Left, p.Write, p.Key, p.Hedge = s.Deadline.Sub(now).Microseconds(), s.Write, s.IdempotencyKey, s.Hedge
		w.Subs[i] = p
	}
	return w
}

func decodeBatch(w *peerpb.Batch, now time.Time) shard.Batch {
	class := shard.Routine
	if w.GetClass() == uint32(shard.Urgent) {
		class = shard.Urgent
	}
	batch := shard.Batch{Sender: w.GetFrom(), Revision: w.GetRevision(), Class: class, Subs: make([]shard.SubRequest, 0, len(w.GetSubs()))}
	for _, s := range w.GetSubs() {
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
			Deadline:       now.Add(micros(s.GetLeft())),
			Write:          s.GetWrite(),
			IdempotencyKey: s.GetKey(),
			Hedge:          s.GetHedge(),
		})
	}
	return batch
}

// encodeResults converts results. Messages of one kind come from one block of
// memory, since single allocations were a tenth of the hop's cost.
func encodeResults(results []shard.Result) *peerpb.Results {
	w := &peerpb.Results{Results: make([]*peerpb.Result, len(results))}
	block := newResultBlock(results)
	for i := range results {
		r := &results[i]
		p := &block.results[i]
		p.Sub, p.Server, p.Took = r.SubID, r.Server, r.Took.Microseconds()
		p.Figures = &block.figures[i]
		encodeFigures(p.Figures, &r.Stats)
		switch o := r.Outcome.(type) {
		case shard.Answered:
			p.Outcome = &peerpb.Result_Answered{Answered: block.answered(o)}
		case shard.Refused:
			p.Outcome = &peerpb.Result_Refused{Refused: &peerpb.Refused{Reason: string(o.Reason), After: o.RetryAfter.Microseconds()}}
		case shard.Failed:
			p.Outcome = &peerpb.Result_Failed{Failed: &peerpb.Failed{Verdict: o.Verdict.String(), Reason: string(o.Reason)}}
		}
		w.Results[i] = p
	}
	return w
}

// resultBlock holds the messages of a set of results.
type resultBlock struct {
	results  []peerpb.Result
	figures  []peerpb.Figures
	parts    []peerpb.Part
	partRefs []*peerpb.Part
	hits     []peerpb.Hit
	hitRefs  []*peerpb.Hit
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
		results:  make([]peerpb.Result, len(results)),
		figures:  make([]peerpb.Figures, len(results)),
		parts:    make([]peerpb.Part, parts),
		partRefs: make([]*peerpb.Part, parts),
		hits:     make([]peerpb.Hit, hits),
		hitRefs:  make([]*peerpb.Hit, hits),
	}
}

func (b *resultBlock) answered(o shard.Answered) *peerpb.Answered {
	w := &peerpb.Answered{Receipt: o.Receipt}
	w.Parts, b.partRefs = b.partRefs[:len(o.Parts):len(o.Parts)], b.partRefs[len(o.Parts):]
	for i := range o.Parts {
		from := &o.Parts[i]
		part := &b.parts[0]
		b.parts = b.parts[1:]
		part.Version, part.Shard = uint64(from.Version), from.Shard
		part.Hits, b.hitRefs = b.hitRefs[:len(from.Hits):len(from.Hits)], b.hitRefs[len(from.Hits):]
		for j := range from.Hits {
			hit := &b.hits[0]
			b.hits = b.hits[1:]
			hit.Key, hit.Score, hit.Text = from.Hits[j].Key, from.Hits[j].Score, from.Hits[j].Text
			part.Hits[j] = hit
		}
		w.Parts[i] = part
	}
	return w
}

// decodeResults converts results. A result without a known outcome is one that
// may have run.
func decodeResults(w *peerpb.Results) []shard.Result {
	results := make([]shard.Result, 0, len(w.GetResults()))
	for _, p := range w.GetResults() {
		r := shard.Result{SubID: p.GetSub(), Server: p.GetServer(), Took: micros(p.GetTook()), Stats: decodeFigures(p.GetFigures())}
		switch o := p.GetOutcome().(type) {
		case *peerpb.Result_Answered:
			r.Outcome = decodeAnswered(o.Answered)
		case *peerpb.Result_Refused:
			r.Outcome = shard.Refused{Reason: fault.Reason(o.Refused.GetReason()), RetryAfter: micros(o.Refused.GetAfter())}
		case *peerpb.Result_Failed:
			r.Outcome = shard.Failed{Verdict: fault.ParseVerdict(o.Failed.GetVerdict()), Reason: fault.Reason(o.Failed.GetReason())}
		default:
			r.Outcome = shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonInternal}
		}
		results = append(results, r)
	}
	return results
}

func decodeAnswered(w *peerpb.Answered) shard.Answered {
	count := 0
	for _, p := range w.GetParts() {
		count += len(p.GetHits())
	}
	hits := make([]shard.Hit, 0, count)
	o := shard.Answered{Receipt: w.GetReceipt(), Parts: make([]shard.PartialAnswer, 0, len(w.GetParts()))}
	for _, p := range w.GetParts() {
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

func encodeFigures(w *peerpb.Figures, f *shard.ServerStats) {
	w.Server, w.Usable, w.Stamp = f.Server, f.Usable, f.CatalogRevision
	w.Latency, w.Tail = f.MedianLatency.Microseconds(), f.TailLatency.Microseconds()
	w.Queued, w.Busy, w.Free = uint32(f.Queued), uint32(f.Busy), uint32(f.Free)
}

func decodeFigures(w *peerpb.Figures) shard.ServerStats {
	return shard.ServerStats{
		Server:          w.GetServer(),
		MedianLatency:   micros(w.GetLatency()),
		TailLatency:     micros(w.GetTail()),
		Queued:          int(w.GetQueued()),
		Busy:            int(w.GetBusy()),
		Free:            int(w.GetFree()),
		Usable:          w.GetUsable(),
		CatalogRevision: w.GetStamp(),
	}
}

func encodeCatalogs(catalogs []shard.Catalog) *peerpb.Catalogs {
	w := &peerpb.Catalogs{Catalogs: make([]*peerpb.Catalog, 0, len(catalogs))}
	for _, c := range catalogs {
		p := &peerpb.Catalog{Server: c.Server, Service: c.Service, Stamp: c.Revision}
		for _, h := range c.Versions {
			p.Held = append(p.Held, &peerpb.Held{Version: uint64(h.Version), All: h.All, Shards: h.Shards})
		}
		w.Catalogs = append(w.Catalogs, p)
	}
	return w
}

func decodeCatalogs(w *peerpb.Catalogs) []shard.Catalog {
	catalogs := make([]shard.Catalog, 0, len(w.GetCatalogs()))
	for _, p := range w.GetCatalogs() {
		c := shard.Catalog{Server: p.GetServer(), Service: p.GetService(), Revision: p.GetStamp()}
		for _, h := range p.GetHeld() {
			c.Versions = append(c.Versions, shard.VersionShards{Version: shard.Version(h.GetVersion()), All: h.GetAll(), Shards: h.GetShards()})
		}
		catalogs = append(catalogs, c)
	}
	return catalogs
}

func encodeStates(from string, states []owner.HandoverState) *peerpb.State {
	w := &peerpb.State{From: from}
	for _, s := range states {
		p := &peerpb.ServerState{Server: s.Server, Warm: s.WarmupProgress, Draining: s.Draining, Latency: s.MedianLatency.Microseconds()}
		for _, b := range s.SlotTimes {
			p.Busy = append(p.Busy, b.Microseconds())
		}
		w.Servers = append(w.Servers, p)
	}
	return w
}

func decodeStates(w *peerpb.State) []owner.HandoverState {
	states := make([]owner.HandoverState, 0, len(w.GetServers()))
	for _, p := range w.GetServers() {
		s := owner.HandoverState{Server: p.GetServer(), WarmupProgress: p.GetWarm(), Draining: p.GetDraining(), MedianLatency: micros(p.GetLatency())}
		for _, b := range p.GetBusy() {
			s.SlotTimes = append(s.SlotTimes, micros(b))
		}
		states = append(states, s)
	}
	return states
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
