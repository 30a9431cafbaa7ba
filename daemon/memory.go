package daemon

import "runtime/debug"

// Garbage collection of a process that serves. The live heap is a few tens of
// megabytes, so a larger share of garbage costs little memory and saves a
// third of the processor time of a sub-request; the limit keeps a host with an
// unusually large heap from growing by the same factor.
const (
	gcPercent = 400
	// memoryLimit is in bytes.
	memoryLimit = 512 << 20
)

// TuneMemory sets garbage collection for a process that runs an entry host.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}
