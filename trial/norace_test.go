//go:build !race

package trial

// raceEnabled tells whether the race detector is on.
const raceEnabled = false
