//go:build !race

package daemon

// raceEnabled tells whether the race detector is on.
const raceEnabled = false
