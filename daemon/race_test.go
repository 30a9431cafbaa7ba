//go:build race

package daemon

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = true
