package accountant

import (
	"math"
	"syscall"
)

const (
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// maxDescriptors caps the limit of a process without one.
	maxDescriptors = 1 << 20
	// callerFraction and peerFraction of the sockets are for callers and for other nodes. The rest is for the
	// upstream, the store, the connections to other nodes and the small listeners.
	callerFraction = 0.5
	peerFraction   = 0.25
	// maxSmall bounds the connections of each of the small listeners: readiness, control and metrics.
	maxSmall      = 32
	smallFraction = 0.04
)

// Descriptors divides the descriptors of a process among its listeners.
type Descriptors struct {
	// Callers, Peers and Small are the numbers of connections of callers, of other nodes, and of each of the
	// listeners for readiness, control and metrics.
	Callers, Peers, Small int
}

// Divide returns the parts of a limit of descriptors; 0 is that of the process.
func Divide(limit int) Descriptors {
	if own := processLimit(); limit <= 0 || limit > own {
		limit = own
	}
	sockets := float64(max(limit-fileDescriptors, limit/2))
	return Descriptors{
		Callers: max(1, int(callerFraction*sockets)), Peers: max(1, int(peerFraction*sockets)),
		Small: max(1, min(maxSmall, int(smallFraction*sockets))),
	}
}

// processLimit returns the number of descriptors that the process may open.
func processLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return maxDescriptors
	}
	return min(int(limit.Cur), maxDescriptors)
}
