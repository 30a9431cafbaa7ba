package trial

import (
	"os"
	"runtime"
	"testing"
)

func TestMain(m *testing.M) {
	if raceEnabled {
		// The race detector of Go 1.26.8 crashes in synctest bubbles with many
		// timers on several processors; see daemon/main_test.go.
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}
