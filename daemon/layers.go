package daemon

import (
	"github.com/rs/zerolog"

	"hyssophub/logs"
)

// layers are the loggers of a core, one for each layer that can be switched.
type layers struct {
	config zerolog.Logger
	member zerolog.Logger
	owner  zerolog.Logger
	peer   zerolog.Logger
}

func newLayers(log *logs.Loggers) layers {
	return layers{
		config: log.Layer(logs.LayerConfig),
		member: log.Layer(logs.LayerMember),
		owner:  log.Layer(logs.LayerOwner),
		peer:   log.Layer(logs.LayerPeer),
	}
}
