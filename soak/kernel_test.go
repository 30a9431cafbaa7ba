package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// queuedBytes returns the bytes that the kernel holds in the queues of TCP connections: those
// of the sockets with the given inodes, and those of a local address, which no process may
// have accepted yet or which one has closed. The format is that of /proc/net/tcp.
func queuedBytes(ip string, inodes map[string]bool) (int, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	address := slices.Clone(net.ParseIP(ip).To4())
	slices.Reverse(address)
	local, sum := fmt.Sprintf("%X:", []byte(address)), 0
	for line := range strings.Lines(string(table)) {
		const ownAddress, state, queues, inode, listening = 1, 3, 4, 9, "0A"
		fields := strings.Fields(line)
		if len(fields) <= inode || fields[state] == listening || !inodes[fields[inode]] && !strings.HasPrefix(fields[ownAddress], local) {
			continue
		}
		var toSend, received int
		if _, err := fmt.Sscanf(fields[queues], "%x:%x", &toSend, &received); err == nil {
			sum += toSend + received
		}
	}
	return sum, err
}

// openFiles returns the number of descriptors that a process has open, and the inodes of its
// sockets.
func openFiles(pid int) (int, map[string]bool) {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder)
	inodes := make(map[string]bool)
	for _, e := range entries {
		target, _ := os.Readlink(filepath.Join(folder, e.Name()))
		inodes[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
	}
	return len(entries), inodes
}

// residentMemory returns the bytes of a process that are in memory, zero if it has ended.
func residentMemory(pid int) int {
	var size, resident int
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	_, _ = fmt.Sscan(string(statm), &size, &resident)
	return resident * os.Getpagesize()
}
