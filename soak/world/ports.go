package world

import "sync"

const (
	// portFirst is the first port that daemons may get. Each world has portCount of its own, one of
	// portRanges ranges: a daemon that is stopped gets its ports again. The system gives out ports above.
	portFirst  = 15_000
	portCount  = 64
	portRanges = 200
)

// ports is the number of a range of ports that one world has for itself.
type ports int

// taken holds the ranges of the worlds that run.
var taken struct {
	sync.Mutex
	ranges [portRanges]bool
}

// takePorts takes the range that a seed points at, or the next one that is free. Worlds in other processes
// are not known: their seeds must differ.
func takePorts(seed uint64) ports {
	taken.Lock()
	defer taken.Unlock()
	n := ports(seed % portRanges)
	for range portRanges {
		if !taken.ranges[n] {
			break
		}
		n = (n + 1) % portRanges
	}
	taken.ranges[n] = true

	return n
}

func (p ports) first() int { return portFirst + int(p)*portCount }

func (p ports) release() {
	taken.Lock()
	defer taken.Unlock()
	taken.ranges[p] = false
}
