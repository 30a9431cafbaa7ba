// Package logs creates the structured loggers of a process. It owns the names of
// the layers, the log level of each layer, and the format of lines. The command
// line selects the layers, and callers choose the output.
package logs

import (
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

// Layers whose log level can be set to debug.
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

// Loggers creates the loggers of one process, one for each layer.
type Loggers struct {
	base        zerolog.Logger
	debugLayers []string
	// dropping is the output if it is a DroppingWriter, else nil.
	dropping *DroppingWriter
}

// New returns loggers that write JSON lines to w. debug lists the layers that
// log at debug level, separated by commas; "all" selects every layer.
func New(w io.Writer, debug string) (*Loggers, error) {
	setFormat()
	dropping, _ := w.(*DroppingWriter)
	l := &Loggers{dropping: dropping, base: zerolog.New(w).Level(zerolog.DebugLevel).With().Timestamp().Logger()}
	if debug == "all" {
		l.debugLayers = Layers()
		return l, nil
	}
	for _, name := range strings.Split(debug, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(Layers(), name) {
			return nil, oops.Errorf("log layer %q is unknown, allowed are %s and all", name, strings.Join(Layers(), ", "))
		}
		l.debugLayers = append(l.debugLayers, name)
	}
	return l, nil
}

// timeFormat includes milliseconds, so that lines of several hosts can be ordered
// by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var setFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = timeFormat })

// Discard returns loggers that write nothing.
func Discard() *Loggers { return &Loggers{base: zerolog.Nop()} }

// ForHost returns loggers that add the host's name to each line, so that the lines
// of several hosts can be told apart.
func (l *Loggers) ForHost(host string) *Loggers {
	named := *l
	named.base = l.base.With().Str("host", host).Logger()
	return &named
}

// Dropped returns the number of lines that were dropped because the output was too
// slow. It is zero if the output is not a DroppingWriter.
func (l *Loggers) Dropped() uint64 {
	if l.dropping == nil {
		return 0
	}
	return l.dropping.Dropped()
}

// Layer returns the logger of a layer. Its level is debug for the layers that were
// listed in New, else info.
func (l *Loggers) Layer(name string) zerolog.Logger {
	level := zerolog.InfoLevel
	if slices.Contains(l.debugLayers, name) {
		level = zerolog.DebugLevel
	}
	return l.base.With().Str("layer", name).Logger().Level(level)
}
