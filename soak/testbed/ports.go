package testbed

import "sync"

const (
	// Each run has portsPerRange ports of its own, one of portRangeCount ranges from firstPort on,
	// so that a restarted daemon gets the same ports again. The ephemeral ports of the system lie above.
	firstPort      = 15_000
	portsPerRange  = 64
	portRangeCount = 200
)

// portRange is the index of a range of ports that is reserved for one run.
type portRange int

// portRangesInUse records the ranges of the active runs in this process.
var portRangesInUse struct {
	sync.Mutex
	used [portRangeCount]bool
}

// reservePorts reserves the range that belongs to a seed, or the next one that is free. Ranges in
// use by other processes are not known, so seeds of concurrent processes must map to different ranges.
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
