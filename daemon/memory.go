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
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of the
	// memory of a host; the rest is for the kernel's buffers.
	memoryLimitShare = 0.6
)

// TuneMemory configures the garbage collector for a process that runs an entry host.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}

// LimitMemory sets the soft memory limit of the Go runtime for a process that runs one
// entry host with the given memory in MB.
func LimitMemory(memoryMB int) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB) * (1 << 20)))
}
