package config_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hyssophub/codec"
	"hyssophub/config"
)

// start is the time from which the scripts count.
var start = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

// scriptState is the state that the commands of one file share.
type scriptState struct {
	value config.Value
	table *config.Table
}

// TestScripts guards against faulty manifests that pass the check, edits with a
// wrong effect, a wrong outcome of changes whose store answer was lost, and hosts
// that count as fresh for too long.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scriptState{table: config.NewTable()}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "check":
				return s.check(t, d)
			case "manifest", "zone-out", "zone-in":
				return s.edit(t, d)
			case "diff":
				before, after, _ := strings.Cut(d.Input, "\n--\n")
				return formatDifferences(config.Differences(decode(t, d, before), decode(t, d, after)))
			case "outcome":
				return outcome(t, d)
			case "accept":
				return s.accept(t, d)
			case "report":
				return s.report(t, d)
			case "fresh":
				return fmt.Sprintln(s.table.Fresh(timeArg(t, d, "now")))
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func decode(t *testing.T, d *datadriven.TestData, text string) config.Manifest {
	m, err := codec.DecodeManifest([]byte(text))
	if err != nil {
		d.Fatalf(t, "manifest: %v", err)
	}
	return m
}

func (s *scriptState) check(t *testing.T, d *datadriven.TestData) string {
	return formatFaults(config.CheckManifest(decode(t, d, d.Input)))
}

func formatFaults(faults []config.Fault) string {
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	if len(faults) == 0 {
		return "ok\n"
	}
	return b.String()
}

func (s *scriptState) edit(t *testing.T, d *datadriven.TestData) string {
	change := config.Change{ID: "change", Author: "office", At: start}
	d.MaybeScanArgs(t, "id", &change.ID)
	d.MaybeScanArgs(t, "author", &change.Author)
	var zone string
	d.MaybeScanArgs(t, "zone", &zone)
	var e config.Edit = config.ZoneOut{Zone: zone}
	switch d.Cmd {
	case "zone-in":
		e = config.ZoneIn{Zone: zone}
	case "manifest":
		e = config.ReplaceManifest{Manifest: decode(t, d, d.Input)}
	}
	change.Note = config.DescribeEdit(e)
	times := 1
	d.MaybeScanArgs(t, "times", &times)
	for range times {
		next, err := config.Apply(s.value, e, change)
		var faults *config.FaultsError
		if errors.As(err, &faults) {
			return "refused\n" + formatFaults(faults.Faults)
		}
		next.Revision = s.value.Revision + 10
		s.value = next
	}
	last := s.value.Changes[len(s.value.Changes)-1]
	return fmt.Sprintf("revision %d, out %v, %d changes, newest: %s by %s from %d: %s\n",
		s.value.Revision, s.value.ZonesOut, len(s.value.Changes), last.ID, last.Author, last.From, last.Note)
}

func formatDifferences(differences []config.Difference) string {
	var b strings.Builder
	for _, difference := range differences {
		switch x := difference.(type) {
		case config.Added:
			fmt.Fprintln(&b, "added", x.Place)
		case config.Removed:
			fmt.Fprintln(&b, "removed", x.Place)
		case config.Changed:
			fmt.Fprintf(&b, "changed %s: %s -> %s\n", x.Place, x.Before, x.After)
		}
	}
	if len(differences) == 0 {
		return "equal\n"
	}
	return b.String()
}

// outcome prints the outcome of a change. It reads the recent changes from lines
// of the form "ID AUTHOR FROM".
func outcome(t *testing.T, d *datadriven.TestData) string {
	var (
		value config.Value
		id    string
		base  uint64
	)
	d.ScanArgs(t, "revision", &value.Revision)
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "base", &base)
	for line := range strings.Lines(d.Input) {
		var c config.Change
		if _, err := fmt.Sscan(line, &c.ID, &c.Author, &c.From); err != nil {
			d.Fatalf(t, "%q: %v", line, err)
		}
		value.Changes = append(value.Changes, c)
	}
	return fmt.Sprintf("%T%+v\n", config.FindOutcome(value, id, base), config.FindOutcome(value, id, base))
}

func (s *scriptState) accept(t *testing.T, d *datadriven.TestData) string {
	value := config.Value{Manifest: decode(t, d, d.Input)}
	d.ScanArgs(t, "revision", &value.Revision)
	accepted := s.table.Accept(value)
	return fmt.Sprintf("accepted %v, revision %d\n", accepted, s.table.View().Value.Revision)
}

func (s *scriptState) report(t *testing.T, d *datadriven.TestData) string {
	var zone string
	d.ScanArgs(t, "zone", &zone)
	s.table.RecordReport(zone, timeArg(t, d, "message"), timeArg(t, d, "confirmed"))
	return ""
}

// timeArg reads an argument as a duration after start. A missing argument is the
// zero time, which means never.
func timeArg(t *testing.T, d *datadriven.TestData, name string) time.Time {
	var text string
	d.MaybeScanArgs(t, name, &text)
	if text == "" {
		return time.Time{}
	}
	offset, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return start.Add(offset)
}
