package daemon_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/io/settings"
	"jacinthferry/standin/local"
	"jacinthferry/standin/upstream"

	"k8s.io/klog/v2"
)

// concurrency is the number of queries that run at once.
const concurrency = 2

// BenchmarkStragglers sends queries over 100 shards through three daemons over loopback, with and
// without 1 in 100 legs being 50 times slower, and with and without hedges.
func BenchmarkStragglers(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	for _, variant := range []struct {
		name           string
		stragglerShare float64
		hedgeRatio     float64
	}{{"none-off", 0, 0}, {"none-on", 0, 0.05}, {"stragglers-off", 0.01, 0}, {"stragglers-on", 0.01, 0.05}} {
		b.Run(variant.name, func(b *testing.B) {
			d, err := local.Start(context.Background(), local.Options{
				Daemons: 3, Zones: 3, Services: []string{"markers"}, Upstreams: 48, Shards: 100, Replicas: 3,
				ServiceTime: 5 * clock.Millisecond,
				UpstreamOptions: func(o upstream.Options) upstream.Options {
					o.Slots, o.ColdLimit = 8, 4

					return o
				},
				DaemonSettings: func(s settings.Settings) settings.Settings {
					s.Query.Hedge.Ratio = variant.hedgeRatio

					return s
				},
			})
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			if _, refusal := operator.New(d.Daemons[0].Operator(), rpc.Client(0)).Apply(b.Context(), d.Config); refusal != nil {
				b.Fatal(refusal)
			}
			if err := d.AwaitReady(); err != nil {
				b.Fatal(err)
			}
			// Discover and warm up the upstreams before measuring.
			for warm := 0; warm < 200; {
				_, _, complete := runQueries(d, 20)
				warm += complete
			}
			for _, u := range d.Upstreams {
				u.SetFaults(upstream.Faults{StragglerShare: variant.stragglerShare, StragglerFactor: 50})
			}
			runQueries(d, 100)
			b.ResetTimer()
			latencies, legs, complete := runQueries(d, b.N)
			slices.Sort(latencies)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(100*(float64(legs)/float64(complete*100)-1), "extra-%")
			b.ReportMetric(100*float64(complete)/float64(len(latencies)), "whole-%")
		})
	}
}

// runQueries sends n queries and returns the latency of each, and the number of complete replies and their legs.
func runQueries(d *local.Deployment, n int) (latencies []time.Duration, legs, complete int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	next := make(chan int, n)
	for i := range n {
		next <- i
	}
	close(next)
	for range concurrency {
		group.Go(func() {
			for i := range next {
				start := time.Now()
				reply, err := sendQuery(context.Background(), d.Daemons[i%len(d.Daemons)], fmt.Sprint("cairn ", i%10),
					2*clock.Second, false)
				mu.Lock()
				latencies = append(latencies, time.Since(start))
				if err == nil {
					complete++
					legs += reply.Legs
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()

	return latencies, legs, complete
}
