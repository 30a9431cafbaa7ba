package daemon

import "runtime/debug"

// Settings of the garbage collector. The live heap is a few tens of megabytes, so
// a larger share of garbage costs little memory and saves a third of the
// processor time of a sub-request. The limit keeps an unusually large heap from
// growing by the same factor.
const (
	gcPercent = 400
	// memoryLimit is in bytes.
	memoryLimit = 512 << 20
)

// TuneMemory configures the garbage collector for a process that runs an entry host.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}
