package dial

import (
	"time"

	"hyssophub/shard"
)

// Paths of the backend servers' HTTP interface.
const (
	pathSearch = "/v1/search"
	pathState  = "/v1/state"
)

// Headers of the backend servers' HTTP interface. Times are in milliseconds.
const (
	headerLeft     = "Time-Left-Ms"
	headerDraining = "Draining"
	headerAfter    = "Retry-After-Ms"
)

type wireSearch struct {
	ID      uint64   `json:"id"`
	Service string   `json:"service"`
	Version uint64   `json:"version"`
	Shards  []string `json:"shards"`
	Text    string   `json:"text"`
	Limit   int      `json:"limit"`
	Write   bool     `json:"write,omitempty"`
	Key     string   `json:"key,omitempty"`
}

type wireAnswer struct {
	ID      uint64     `json:"id"`
	Parts   []wirePart `json:"parts"`
	Receipt string     `json:"receipt,omitempty"`
}

type wirePart struct {
	Version uint64    `json:"version"`
	Shard   string    `json:"shard"`
	Hits    []wireHit `json:"hits"`
}

type wireHit struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type wireState struct {
	Draining bool       `json:"draining"`
	Held     []wireHeld `json:"held"`
}

type wireHeld struct {
	Version uint64   `json:"version"`
	All     []string `json:"all"`
	Shards  []string `json:"shards"`
}

// maxAfter bounds the time to retry after that a server may ask for.
const maxAfter = time.Minute

func (w *wireSearch) fill(sub *shard.SubRequest) {
	*w = wireSearch{
		ID:      sub.ID,
		Service: sub.Service,
		Version: uint64(sub.Version),
		Shards:  sub.Shards,
		Text:    sub.Text,
		Limit:   sub.Limit,
		Write:   sub.Write,
		Key:     sub.IdempotencyKey,
	}
}

// decodeAnswer converts an answer. All hits share one array, which saves an
// allocation for each part.
func decodeAnswer(w wireAnswer) shard.Answered {
	o := shard.Answered{Receipt: w.Receipt, Parts: make([]shard.PartialAnswer, 0, len(w.Parts))}
	total := 0
	for i := range w.Parts {
		total += len(w.Parts[i].Hits)
	}
	hits := make([]shard.Hit, 0, total)
	for i := range w.Parts {
		p := &w.Parts[i]
		begin := len(hits)
		for _, h := range p.Hits {
			hits = append(hits, shard.Hit(h))
		}
		o.Parts = append(o.Parts, shard.PartialAnswer{Version: shard.Version(p.Version), Shard: p.Shard, Hits: hits[begin:len(hits):len(hits)]})
	}
	return o
}

func decodeState(w wireState) shard.StateReport {
	report := shard.StateReport{Draining: w.Draining}
	for _, h := range w.Held {
		report.Versions = append(report.Versions, shard.VersionShards{Version: shard.Version(h.Version), All: h.All, Shards: h.Shards})
	}
	return report
}
