package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/rules"
	"hyssophub/store"
	"hyssophub/work"
)

// TestScripts runs the scripts in testdata against a Syncer. Their comments name
// the failures that they guard against: tables that differ from the store after
// outages, compactions, and late or repeated updates.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		s := &script{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script holds the state of one test script.
type script struct {
	start  time.Time
	now    time.Time
	syncer *Syncer
	fleet  *fleet.Table
	rules  *rules.Table
	peers  *recordedPeers
	// refused is the error of the last update.
	refused error
	// onPanic is set once a script expects a panic.
	onPanic func(work.Panic)
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var position store.Position
	var era Era
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "at":
			at, err := time.ParseDuration(a.Vals[0])
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			s.now = s.start.Add(at)
		case "revision":
			position = parsePosition(a.Vals[0])
		case "before":
			era.Before, _ = strconv.ParseUint(a.Vals[0], 10, 64)
		case "start":
			era.Start = parsePosition(a.Vals[0]).Revision
		}
	}
	switch d.Cmd {
	case "new":
		s.onPanic = nil
		if d.HasArg("panics") {
			s.onPanic = func(work.Panic) {}
		}
		s.now = s.start
		s.fleet, s.rules, s.peers = fleet.NewTable("a", flow.NewTable("self", s.start)), rules.NewTable(0), &recordedPeers{}
		s.syncer = NewSyncer(decoder{}, s.peers, s.rules, s.fleet, zerolog.Nop(), Options{OnPanic: s.onPanic})
	case "load":
		s.apply(Update{Items: items(d.Input), Position: position, Full: true}, fromStore)
	case "changes":
		s.apply(Update{Items: items(d.Input), Position: position}, fromStore)
	case "peer":
		s.apply(Update{Items: items(d.Input), Position: position, Full: d.HasArg("full"), Differs: d.HasArg("differs"), Era: era}, fromPeer)
	case "store-fails":
		s.syncer.recordFailure(errors.New("no answer"), s.now)
	case "follow-peers":
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.syncer.followPeers(ctx)
	case "others":
		// What the other hosts say of the store: its last answer to one of them is now.
		s.peers.contact, s.peers.peerFails = s.now, d.HasArg("fail")
		if d.HasArg("returned") {
			s.peers.peerReturned = s.now
		}
	case "expire":
		s.syncer.removeExpired(s.now)
	case "status":
		status := s.syncer.Status()
		return fmt.Sprintf("in doubt %d, malformed %d, lost %d", status.InDoubt, status.Malformed, status.Lost)
	case "changes-after":
		return formatUpdate(s.syncer.ChangesAfter(position))
	default:
		d.Fatalf(t, "unknown command")
	}
	return s.show()
}

// apply applies an update. The items of an earlier era in one of another host are those
// that the store has lost.
func (s *script) apply(update Update, from origin) {
	if from == fromPeer {
		for _, item := range update.Items {
			if item.Position.Era < update.Position.Era {
				update.Lost = append(update.Lost, item)
			}
		}
		update.Items = slices.DeleteFunc(update.Items, func(i Item) bool { return i.Position.Era < update.Position.Era })
	}
	s.refused = s.syncer.apply(update, from, s.now)
}

// parsePosition reads a position in the format REVISION or ERA.REVISION.
func parsePosition(text string) store.Position {
	before, after, hasEra := strings.Cut(text, ".")
	if !hasEra {
		before, after = "0", text
	}
	era, _ := strconv.ParseUint(before, 10, 64)
	revision, _ := strconv.ParseUint(after, 10, 64)
	return store.Position{Era: era, Revision: revision}
}

// items reads lines "key@position [value]" and "-key@position [may-return]" for
// deletions.
func items(input string) []Item {
	var list []Item
	for _, line := range strings.Split(input, "\n") {
		key, value, _ := strings.Cut(line, " ")
		key, number, ok := strings.Cut(key, "@")
		if !ok {
			continue
		}
		item := Item{Key: key, Position: parsePosition(number), Value: []byte(value)}
		if item.Deleted = strings.HasPrefix(key, "-"); item.Deleted {
			item.Key, item.MayReturn = key[1:], value == "may-return"
		}
		list = append(list, item)
	}
	return list
}

func formatItem(i Item) string {
	line := fmt.Sprintf("%s@%s", i.Key, i.Position)
	if i.Deleted {
		line = "-" + line
	}
	if i.MayReturn {
		line += " may-return"
	}
	return line
}

// formatUpdate renders an update with its items sorted, in the format of items.
func formatUpdate(s Update) string {
	var lines []string
	for _, i := range s.Items {
		lines = append(lines, formatItem(i))
	}
	for _, i := range s.Lost {
		lines = append(lines, "lost "+formatItem(i))
	}
	sort.Strings(lines)
	return fmt.Sprintf("revision %s full %t\n%s", s.Position, s.Full, strings.Join(lines, "\n"))
}

// show renders the tables and what was reported to the other hosts.
func (s *script) show() string {
	var servers []string
	for _, i := range s.fleet.Instances() {
		servers = append(servers, i.ID)
	}
	sort.Strings(servers)
	version, out := uint64(0), map[string]bool{}
	if view := s.rules.View(); view != nil {
		version, out = view.Set.Version, view.OutZones
	}
	line := fmt.Sprintf("servers %v, version %d, out %v, revision %s, announced %d", servers, version, out, s.peers.position, s.peers.announced)
	if s.refused != nil {
		line += ", " + s.refused.Error()
	}
	s.refused = nil
	return line
}

// decoder is a Source without content that decodes keys of the forms rules,
// zone/NAME and server/ID.
type decoder struct{}

func (decoder) Load(context.Context) (Update, error) { return Update{}, nil }
func (decoder) Wait(context.Context, uint64, time.Duration, time.Duration) (Answer, error) {
	return Answer{}, nil
}

func (decoder) Decode(item Item) Change {
	kind, name, _ := strings.Cut(item.Key, "/")
	switch {
	case kind == "rules":
		version, _ := strconv.ParseUint(string(item.Value), 10, 64)
		return RulesChanged{Set: rules.Set{Version: version}}
	case kind == "zone":
		return ZoneChanged{Zone: name, Out: !item.Deleted}
	case item.Deleted:
		return ServerRemoved{ID: name, Position: item.Position}
	case string(item.Value) == "panic":
		panic(item.Key)
	case string(item.Value) == "bad":
		return Malformed{Key: item.Key, ID: name, Position: item.Position, Err: errors.New("bad")}
	default:
		return ServerRegistered{Instance: fleet.Instance{ID: name, Service: "s", State: stateOf(item), Position: item.Position}}
	}
}

// stateOf returns the state in the value of a registration.
func stateOf(item Item) fleet.State {
	if string(item.Value) == "draining" {
		return fleet.Draining{}
	}
	return fleet.Ready{}
}

// recordedPeers records what the Syncer reports to the other hosts.
type recordedPeers struct {
	position  store.Position
	announced int
	// contact is when the store last answered, and peerFails and peerReturned are what
	// another host says of it.
	contact      time.Time
	peerFails    bool
	peerReturned time.Time
}

func (*recordedPeers) ShouldWatch(time.Time) bool            { return true }
func (*recordedPeers) NewestPeer(time.Time) (string, bool)   { return "", false }
func (*recordedPeers) Seeds(time.Time) []string              { return nil }
func (*recordedPeers) Neighbours(time.Time) ([]string, bool) { return nil, true }
func (*recordedPeers) CheckedAt(store.Position) time.Time    { return time.Time{} }
func (*recordedPeers) Suspect(string, time.Time)             {}
func (*recordedPeers) Idle(store.Position) uint64            { return 0 }
func (t *recordedPeers) Announce()                           { t.announced++ }
func (*recordedPeers) AddHost(string)                        {}
func (*recordedPeers) ReportStore(bool, time.Time)           {}
func (t *recordedPeers) LastContact() time.Time              { return t.contact }
func (t *recordedPeers) IsStoreFailing() bool                { return t.peerFails }

func (t *recordedPeers) StoreReturned(time.Duration) time.Time { return t.peerReturned }

func (*recordedPeers) Changes(context.Context, string, store.Position) (Update, error) {
	return Update{}, nil
}

func (t *recordedPeers) ReportApplied(position store.Position, _ uint64, _ bool, contact time.Time) {
	t.position = position
	if !contact.IsZero() {
		t.contact = contact
	}
}
