package relay

import (
	"bytes"
	"slices"
)

const (
	// recordSize is the size of a record of a gathered answer, in bytes.
	recordSize = 16
	// initialRecords bounds the records for which memory is allocated in advance,
	// because the limit comes from rules and from other hosts.
	initialRecords = 256
)

// merge returns the greatest records of the answered parts in descending order,
// with the seals of these parts.
func (r *requestState) merge() Merged {
	m := Merged{Seals: make([]string, 0, r.answered), Missing: len(r.parts) - r.answered}
	top := newTopRecords(r.gather.TopK)
	for i := range r.parts {
		a := r.parts[i].answer
		if a == nil {
			continue
		}
		m.Seals = append(m.Seals, a.Seal)
		top.addAll(a.Body)
	}
	for _, records := range r.collectedRecords {
		top.addAll(records)
	}
	m.Records = top.encode()
	return m
}

// trimToTop returns the greatest records of a part, in a buffer of their own, so that
// the buffer of the whole body is free. A short body is returned as it is.
func (r *requestState) trimToTop(body []byte) []byte {
	if len(body) <= r.gather.TopK*recordSize {
		return body
	}
	top := newTopRecords(r.gather.TopK)
	top.addAll(body)
	return top.encode()
}

// topRecords holds the greatest records, in descending order of their bytes.
type topRecords struct {
	limit   int
	records [][]byte
}

func newTopRecords(limit int) *topRecords {
	limit = max(0, limit)
	return &topRecords{limit: limit, records: make([][]byte, 0, min(limit, initialRecords)+1)}
}

// addAll adds the records of an answer. Trailing bytes that do not make a full
// record are ignored.
func (t *topRecords) addAll(body []byte) {
	for len(body) >= recordSize {
		t.add(body[:recordSize:recordSize])
		body = body[recordSize:]
	}
}

func (t *topRecords) add(record []byte) {
	if len(t.records) >= t.limit && (t.limit == 0 || bytes.Compare(record, t.records[t.limit-1]) <= 0) {
		return
	}
	at, _ := slices.BinarySearchFunc(t.records, record, func(a, b []byte) int { return bytes.Compare(b, a) })
	t.records = slices.Insert(t.records, at, record)
	if len(t.records) > t.limit {
		t.records = t.records[:t.limit]
	}
}

func (t *topRecords) encode() []byte {
	out := make([]byte, 0, len(t.records)*recordSize)
	for _, r := range t.records {
		out = append(out, r...)
	}
	return out
}
