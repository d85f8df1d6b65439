package control_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/io/control"
)

// BenchmarkFleet runs control threads in one process and reports their messages and store calls, first
// without changes and then at two changes a second. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	const changes, pause = 10, 500 * time.Millisecond
	for _, n := range []int{3, 9, 30, 100} {
		b.Run(fmt.Sprintf("%d", n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := newFleet(ctx)
			f.startAll(n, 3)
			for !f.allListed() {
				time.Sleep(pause)
			}
			if _, err := f.get("d000").Apply(ctx, sampleConfig(3, 100), control.ApplyOptions{}); err != nil {
				b.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			for b.Loop() {
				idle := f.measureRates(10 * clock.Second)
				b.ReportMetric(idle.messages/float64(n), "messages/s/daemon")
				b.ReportMetric(idle.bytes/float64(n), "B/s/daemon")
				b.ReportMetric(idle.calls, "calls/s")
				b.ReportMetric(idle.writes, "writes/s")
				before := f.totals()
				var took []float64
				for i := range changes {
					start := f.now()
					applied, err := f.get("d001").Apply(ctx, sampleConfig(3, 101+i), control.ApplyOptions{})
					if err != nil {
						b.Fatal(err)
					}
					for f.lowestRevision() < applied.Revision {
						time.Sleep(time.Millisecond)
					}
					took = append(took, float64(f.now()-start))
					time.Sleep(pause)
				}
				after := f.totals()
				slices.Sort(took)
				b.ReportMetric(took[len(took)-1], "slowest-ms")
				seconds := float64(after.at-before.at) / float64(clock.Second)
				extra := after.calls - before.calls - idle.calls*seconds
				b.ReportMetric(extra/changes, "calls/change")
				b.ReportMetric((after.writes-before.writes-idle.writes*seconds)/changes, "writes/change")
				b.ReportMetric((after.bytes-before.bytes-idle.bytes*seconds)/changes/float64(n), "B/change/daemon")
				b.ReportMetric(float64(runtime.NumGoroutine())/float64(n), "goroutines/daemon")
			}
		})
	}
}

type counts struct {
	at                             clock.Milli
	messages, bytes, calls, writes float64
}

func (f *fleet) totals() counts {
	return counts{
		f.now(), float64(f.sent.Load()), float64(f.bytes.Load()), float64(f.store.calls.Load()),
		float64(f.store.writes.Load()),
	}
}

// measureRates returns the rates a second, averaged over span.
func (f *fleet) measureRates(span clock.Milli) counts {
	a := f.totals()
	time.Sleep(span.Duration())
	b := f.totals()
	seconds := float64(b.at-a.at) / float64(clock.Second)

	return counts{
		b.at, (b.messages - a.messages) / seconds, (b.bytes - a.bytes) / seconds, (b.calls - a.calls) / seconds,
		(b.writes - a.writes) / seconds,
	}
}
