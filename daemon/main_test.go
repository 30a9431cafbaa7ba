package daemon

import (
	"os"
	"runtime"
	"testing"

	"hyssophub/props"
)

func TestMain(m *testing.M) {
	if os.Getenv(backendProcessEnv) != "" {
		serveBackends()
		return
	}
	TuneMemory()
	if raceEnabled {
		// The race detector of Go 1.26.8 itself crashes (ThreadSanitizer: CHECK
		// failed, or SIGSEGV) in bubbles with many timers on several processors.
		runtime.GOMAXPROCS(1)
	}
	os.Exit(props.Main(m))
}
