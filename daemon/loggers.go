package daemon

import (
	"github.com/rs/zerolog"

	"hyssophub/logs"
)

// loggers are the loggers of a core, one for each log layer that can be turned on
// and off.
type loggers struct {
	config zerolog.Logger
	member zerolog.Logger
	owner  zerolog.Logger
	peer   zerolog.Logger
}

func newLoggers(log *logs.Loggers) loggers {
	return loggers{
		config: log.Layer(logs.LayerConfig),
		member: log.Layer(logs.LayerMember),
		owner:  log.Layer(logs.LayerOwner),
		peer:   log.Layer(logs.LayerPeer),
	}
}
