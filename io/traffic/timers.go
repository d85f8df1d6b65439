package traffic

import (
	"container/heap"

	"jacinthferry/core/clock"
)

// queryTimer is the time at which a query handles a timeout.
type queryTimer struct {
	at      clock.Milli
	pending *pendingQuery
}

// timerHeap orders the timers of a lane by time.
type timerHeap []queryTimer

var _ heap.Interface = (*timerHeap)(nil)

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(queryTimer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = queryTimer{}
	*h = old[:len(old)-1]

	return x
}
