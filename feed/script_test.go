package feed

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"hyssophub/fleet"
	"hyssophub/rules"
)

// TestScripts guards what a host believes of the store's contents against the
// failures that the comments in the scripts name.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type script struct {
	start  time.Time
	now    time.Time
	keeper *Syncer
	fleet  *fleet.Table
	rules  *rules.Table
	told   *told
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var revision uint64
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "at":
			at, err := time.ParseDuration(a.Vals[0])
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			s.now = s.start.Add(at)
		case "revision":
			revision, _ = strconv.ParseUint(a.Vals[0], 10, 64)
		}
	}
	switch d.Cmd {
	case "new":
		s.now = s.start
		s.fleet, s.rules, s.told = fleet.NewTable("a", 0), rules.NewTable(0), &told{}
		s.keeper = NewSyncer(source{}, s.told, s.rules, s.fleet, zerolog.Nop())
	case "load":
		s.keeper.apply(Update{Items: items(d.Input), Revision: revision, Full: true}, fromStore, s.now)
	case "wait":
		s.keeper.apply(Update{Items: items(d.Input), Revision: revision}, fromStore, s.now)
	case "peer":
		s.keeper.apply(Update{Items: items(d.Input), Revision: revision, Full: d.HasArg("whole")}, fromPeer, s.now)
	case "failed":
		s.keeper.failed(errors.New("no answer"), s.now)
	case "listen":
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.keeper.listen(ctx)
	case "expire":
		s.keeper.expire(s.now)
	case "after":
		return state(s.keeper.ChangesAfter(revision))
	default:
		d.Fatalf(t, "unknown command")
	}
	return s.show()
}

// items reads lines "key@revision [value]" and "-key@revision [away]" for
// deletions.
func items(input string) []Item {
	var list []Item
	for _, line := range strings.Split(input, "\n") {
		key, value, _ := strings.Cut(line, " ")
		key, number, ok := strings.Cut(key, "@")
		if !ok {
			continue
		}
		revision, _ := strconv.ParseUint(number, 10, 64)
		item := Item{Key: key, Revision: revision, Value: []byte(value)}
		if item.Deleted = strings.HasPrefix(key, "-"); item.Deleted {
			item.Key, item.MayReturn = key[1:], value == "away"
		}
		list = append(list, item)
	}
	return list
}

func state(s Update) string {
	var lines []string
	for _, i := range s.Items {
		line := fmt.Sprintf("%s@%d", i.Key, i.Revision)
		if i.Deleted {
			line = "-" + line
		}
		if i.MayReturn {
			line += " away"
		}
		lines = append(lines, line)
	}
	sort.Strings(lines)
	return fmt.Sprintf("revision %d whole %t\n%s", s.Revision, s.Full, strings.Join(lines, "\n"))
}

func (s *script) show() string {
	var servers []string
	for _, i := range s.fleet.Instances() {
		servers = append(servers, i.ID)
	}
	sort.Strings(servers)
	version, out := uint64(0), map[string]bool{}
	if view := s.rules.View(); view != nil {
		version, out = view.Set.Version, view.Out
	}
	return fmt.Sprintf("servers %v, version %d, out %v, revision %d, announced %d", servers, version, out, s.told.revision, s.told.announced)
}

// source decodes keys of the forms rules, zone/NAME and server/ID.
type source struct{}

func (source) Load(context.Context, bool) (Update, error)   { return Update{}, nil }
func (source) Wait(context.Context, uint64) (Update, error) { return Update{}, nil }

func (source) Decode(item Item) Change {
	kind, name, _ := strings.Cut(item.Key, "/")
	switch {
	case kind == "rules":
		version, _ := strconv.ParseUint(string(item.Value), 10, 64)
		return RulesChanged{Set: rules.Set{Version: version}}
	case kind == "zone":
		return ZoneChanged{Zone: name, Out: !item.Deleted}
	case item.Deleted:
		return ServerRemoved{ID: name, Revision: item.Revision}
	case string(item.Value) == "bad":
		return Malformed{Key: item.Key, ID: name, Revision: item.Revision, Err: errors.New("bad")}
	default:
		return ServerRegistered{Instance: fleet.Instance{ID: name, Service: "s", State: fleet.Ready{}, Revision: item.Revision}}
	}
}

// told records what the keeper tells the other hosts.
type told struct {
	revision  uint64
	announced int
}

func (*told) ShouldWatch(time.Time) bool          { return true }
func (*told) NewestPeer(time.Time) (string, bool) { return "", false }
func (*told) Seeds(time.Time) []string            { return nil }
func (*told) Suspect(string, time.Time)           {}
func (*told) Progress(revision uint64) uint64     { return revision }
func (t *told) Announce()                         { t.announced++ }

func (*told) Changes(context.Context, string, uint64) (Update, error) { return Update{}, nil }

func (t *told) ReportApplied(revision, _ uint64, _ bool, _ time.Time) { t.revision = revision }
