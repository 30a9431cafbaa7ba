package once

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against a repeat that runs while another claim is in force, and
// against a final state that overwrites the claim of another request.
func TestTransitions(t *testing.T) {
	datadriven.RunTest(t, "testdata/transitions", func(t *testing.T, d *datadriven.TestData) string {
		var revision, state, digest, by string
		d.ScanArgs(t, "revision", &revision)
		d.MaybeScanArgs(t, "state", &state)
		d.MaybeScanArgs(t, "digest", &digest)
		d.MaybeScanArgs(t, "by", &by)
		entry := Entry{Record: recordOf(state, digest, by)}
		entry.Revision, _ = strconv.ParseUint(revision, 10, 64)
		if d.Cmd == "decide-final-write" {
			return fmt.Sprintf("%T %+v\n", DecideFinalWrite(entry, "me"), DecideFinalWrite(entry, "me"))
		}
		decision := DecideClaim(entry, "me", "body")
		if end, ok := decision.(Resolved); ok {
			return fmt.Sprintf("once.Resolved verdict=%s reason=%s receipt=%s\n", end.Verdict, end.Reason, end.Receipt)
		}
		return fmt.Sprintf("%T %+v\n", decision, decision)
	})
}

func recordOf(state, digest, by string) *Record {
	switch state {
	case "claimed":
		return &Record{Digest: digest, State: Claimed{ClaimID: by}}
	case "done":
		return &Record{Digest: digest, State: Done{ClaimID: by, Receipt: "paid"}}
	case "released":
		return &Record{Digest: digest, State: Released{ClaimID: by}}
	default:
		return nil
	}
}
