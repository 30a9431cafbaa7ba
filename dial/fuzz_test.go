package dial

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"hyssophub/fault"
	"hyssophub/shard"
)

// FuzzReceive guards against responses that make the decoders panic, that are
// accepted as an answer with another status than 200, or that get the verdict
// NotRun without a status that proves it.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"id\":1}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{\"id\":1}\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 Service Unavailable\r\nDraining: true\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n{\"id\":1,\"parts\":[{\"version\":1,\"shard\":\"a\",\"hits\":[{\"key\":\"k\",\"score\":1}]}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &scratch{}
		r, err := s.receive(&connection{reader: bufio.NewReader(bytes.NewReader(data))}, postRequest)
		if err != nil {
			return
		}
		outcome, reusable := decodeSearch(r, 1)
		switch o := outcome.(type) {
		case shard.Answered:
			if r.status != http.StatusOK || !reusable {
				t.Fatalf("status %d passed as an answer", r.status)
			}
		case shard.Refused:
			if r.status != http.StatusServiceUnavailable && r.status != http.StatusConflict {
				t.Fatalf("status %d is no proof of %v", r.status, o)
			}
		case shard.Failed:
			if o.Verdict == (fault.NotRun{}) {
				t.Fatal("a failure that proves NotRun must be a refusal")
			}
		}
		_, _ = decodeReport(r, "s1")
	})
}
