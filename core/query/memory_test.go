package query_test

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"jacinthferry/core/pick"
)

// BenchmarkIdleUpstream measures the memory that one thread uses for an upstream without open legs.
func BenchmarkIdleUpstream(b *testing.B) {
	const upstreams = 100000
	names := make([]string, upstreams)
	for i := range names {
		names[i] = upstreamName(i)
	}
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := pick.New(pick.LowestWait, rand.New(rand.NewPCG(1, 1)))
		for _, name := range names {
			s.Sent(name)
			s.Done(1, name, 1, true)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/upstreams, "B/upstream")
		if s.Len() != upstreams {
			b.Fatal("the balancer has lost upstreams")
		}
	}
}
