package dial

import (
	"time"

	"hyssophub/shard"
)

// Paths of the HTTP interface of backend servers.
const (
	pathSearch = "/v1/search"
	pathState  = "/v1/state"
)

// Headers of the HTTP interface of backend servers. Times are in milliseconds.
const (
	headerTimeLeft   = "Time-Left-Ms"
	headerDraining   = "Draining"
	headerRetryAfter = "Retry-After-Ms"
)

// wireSearch is the body of a search request.
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

// wireAnswer is the body of the response to a search request.
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

// wireState is the body of the response to a state request.
type wireState struct {
	Draining bool       `json:"draining"`
	Held     []wireHeld `json:"held"`
}

type wireHeld struct {
	Version uint64   `json:"version"`
	All     []string `json:"all"`
	Shards  []string `json:"shards"`
}

// maxRetryAfter bounds the retry delay that a server may request.
const maxRetryAfter = time.Minute

// fill sets the body from a sub-request.
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

// decodeAnswer converts an answer. The hits of all parts share one array, which
// saves an allocation for each part.
func decodeAnswer(answer wireAnswer) shard.Answered {
	o := shard.Answered{Receipt: answer.Receipt, Parts: make([]shard.PartialAnswer, 0, len(answer.Parts))}
	total := 0
	for i := range answer.Parts {
		total += len(answer.Parts[i].Hits)
	}
	hits := make([]shard.Hit, 0, total)
	for i := range answer.Parts {
		p := &answer.Parts[i]
		first := len(hits)
		for _, h := range p.Hits {
			hits = append(hits, shard.Hit(h))
		}
		o.Parts = append(o.Parts, shard.PartialAnswer{Version: shard.Version(p.Version), Shard: p.Shard, Hits: hits[first:len(hits):len(hits)]})
	}
	return o
}

func decodeState(state wireState) shard.StateReport {
	report := shard.StateReport{Draining: state.Draining}
	for _, h := range state.Held {
		report.Versions = append(report.Versions, shard.VersionShards{Version: shard.Version(h.Version), All: h.All, Shards: h.Shards})
	}
	return report
}
