package world

import "sync"

const (
	// firstPort is the first port that daemons may get. Each world has portCount of its own, one of
	// portRanges ranges: a daemon that is stopped gets its ports again. The system gives out ports above.
	firstPort      = 15_000
	portsPerRange  = 64
	portRangeCount = 200
)

// portRange is the number of a range of portRange that one world has for itself.
type portRange int

// portRangesInUse holds the ranges of the worlds that run.
var portRangesInUse struct {
	sync.Mutex
	used [portRangeCount]bool
}

// reservePorts takes the range that a seed points at, or the next one that is free. Worlds in other processes
// are not known: their seeds must differ.
func reservePorts(seed uint64) portRange {
	portRangesInUse.Lock()
	defer portRangesInUse.Unlock()
	n := portRange(seed % portRangeCount)
	for range portRangeCount {
		if !portRangesInUse.used[n] {
			break
		}
		n = (n + 1) % portRangeCount
	}
	portRangesInUse.used[n] = true

	return n
}

func (p portRange) first() int { return firstPort + int(p)*portsPerRange }

func (p portRange) release() {
	portRangesInUse.Lock()
	defer portRangesInUse.Unlock()
	portRangesInUse.used[p] = false
}
