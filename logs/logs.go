// Package logs makes structured loggers whose layers are switched on by flag.
package logs

import (
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

// Layers that can be switched to debug level.
const (
	LayerQuery  = "query"
	LayerOwner  = "owner"
	LayerMember = "member"
	LayerConfig = "config"
	LayerPeer   = "peer"
	LayerAdmin  = "admin"
	LayerRelay  = "relay"
	LayerFeed   = "feed"
)

// Layers returns the names of all layers.
func Layers() []string {
	return []string{LayerQuery, LayerOwner, LayerMember, LayerConfig, LayerPeer, LayerAdmin, LayerRelay, LayerFeed}
}

// Loggers makes the loggers of one process.
type Loggers struct {
	base  zerolog.Logger
	debug []string
	// stream is the writer if it drops lines rather than block, or nil.
	stream *DroppingWriter
}

// New returns loggers that write JSON lines to w. debug lists the layers that
// log at debug level, separated by commas; "all" switches on every layer.
func New(w io.Writer, debug string) (*Loggers, error) {
	setFormat()
	stream, _ := w.(*DroppingWriter)
	l := &Loggers{stream: stream, base: zerolog.New(w).Level(zerolog.DebugLevel).With().Timestamp().Logger()}
	if debug == "all" {
		l.debug = Layers()
		return l, nil
	}
	for _, name := range strings.Split(debug, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(Layers(), name) {
			return nil, oops.Errorf("log layer %q is unknown, allowed are %s and all", name, strings.Join(Layers(), ", "))
		}
		l.debug = append(l.debug, name)
	}
	return l, nil
}

// timeFormat has milliseconds, which order the lines of several hosts.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var setFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = timeFormat })

// Discard returns loggers that write nothing.
func Discard() *Loggers { return &Loggers{base: zerolog.Nop()} }

// ForHost returns loggers whose lines name a host, so that the lines of several hosts
// can be read together.
func (l *Loggers) ForHost(host string) *Loggers {
	named := *l
	named.base = l.base.With().Str("host", host).Logger()
	return &named
}

// Dropped returns the number of lines that were dropped because the reader of
// the output was too slow.
func (l *Loggers) Dropped() uint64 {
	if l.stream == nil {
		return 0
	}
	return l.stream.Dropped()
}

// Layer returns the logger of a layer.
func (l *Loggers) Layer(name string) zerolog.Logger {
	level := zerolog.InfoLevel
	if slices.Contains(l.debug, name) {
		level = zerolog.DebugLevel
	}
	return l.base.With().Str("layer", name).Logger().Level(level)
}
