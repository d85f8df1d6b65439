package suite

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// heapInterval is the time between two samples of the heap.
const heapInterval = 20 * time.Millisecond

// WatchHeap samples the live bytes on the heap and returns a function that stops it and returns the largest increase.
func WatchHeap() (peak func() uint64) {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	read := func() uint64 {
		runtime.GC()
		metrics.Read(sample)

		return sample[0].Value.Uint64()
	}
	first := read()
	highest := first
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(heapInterval):
				highest = max(highest, read())
			}
		}
	}()

	return func() uint64 {
		close(stop)
		<-stopped

		return highest - first
	}
}
