package upstream_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/io/upstream"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime() clock.Milli {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

	return clock.Milli(u.Utime.Sec+u.Stime.Sec)*clock.Second + clock.Milli(u.Utime.Usec+u.Stime.Usec)/1000
}

// BenchmarkLegs measures legs over loopback HTTP, with client and upstream in one process, and reports
// the legs per second of CPU time.
func BenchmarkLegs(b *testing.B) {
	for _, workers := range []int{1, 16} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			server := httptest.NewServer(upstream.Handler(upstream.Operations{
				Run: func(_ context.Context, l leg.Leg) leg.Result {
					a := echo(l)
					a.Documents = []leg.Document{{ID: "marker-00039", Score: 3, Body: "Hazard sign 68"}}

					return leg.Result{Answer: a}
				},
				Report: func() upstream.Report { return upstream.Report{} },
			}))
			defer server.Close()
			c := upstream.NewPool(server.Listener.Addr().String(), upstream.Options{
				Now: now, MaxConnections: 100, Slots: workers, OverrunMargin: 100, SilenceTimeout: 1500, MaxIdleForSubmit: 1000,
				OnConnectionFailure: func(reason.Code) {},
			})
			defer c.Close()
			b.ReportAllocs()
			b.ResetTimer()
			start := cpuTime()
			var wait sync.WaitGroup
			for k := range workers {
				wait.Add(1)
				go func() {
					defer wait.Done()
					for i := k; i < b.N; i += workers {
						l := search("a", clock.Minute)
						l.Service, l.Version, l.Text, l.Top = "markers", "v1", "cairn", 10
						if o := c.Run(l); o.Result.Refusal != nil {
							b.Error(o.Result.Refusal)

							return
						}
					}
				}()
			}
			wait.Wait()
			b.StopTimer()
			used := cpuTime() - start
			b.ReportMetric(float64(b.N)/float64(used)*1000, "legs/core-s")
		})
	}
}
