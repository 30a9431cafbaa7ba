package dial

import (
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

func encodeSearch(sub *shard.Sub) wireSearch {
	return wireSearch{
		ID:      sub.ID,
		Service: sub.Service,
		Version: uint64(sub.Version),
		Shards:  sub.Shards,
		Text:    sub.Text,
		Limit:   sub.Limit,
		Write:   sub.Write,
		Key:     sub.Key,
	}
}

func decodeAnswer(w wireAnswer) shard.Answered {
	o := shard.Answered{Receipt: w.Receipt, Parts: make([]shard.Part, 0, len(w.Parts))}
	for _, p := range w.Parts {
		part := shard.Part{Version: shard.Version(p.Version), Shard: p.Shard, Hits: make([]shard.Hit, 0, len(p.Hits))}
		for _, h := range p.Hits {
			part.Hits = append(part.Hits, shard.Hit(h))
		}
		o.Parts = append(o.Parts, part)
	}
	return o
}

func decodeState(w wireState) shard.Report {
	report := shard.Report{Draining: w.Draining}
	for _, h := range w.Held {
		report.Held = append(report.Held, shard.Held{Version: shard.Version(h.Version), All: h.All, Shards: h.Shards})
	}
	return report
}
