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

// callers is how many queries run at once.
const callers = 2

// BenchmarkStragglers sends queries over 100 shards through three daemons over loopback, with 1 in
// 100 legs 50 times slower and without, with hedges and without.
func BenchmarkStragglers(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	for _, one := range []struct {
		name     string
		straggle float64
		ratio    float64
	}{{"none-off", 0, 0}, {"none-on", 0, 0.05}, {"stragglers-off", 0.01, 0}, {"stragglers-on", 0.01, 0.05}} {
		b.Run(one.name, func(b *testing.B) {
			d, err := local.Start(context.Background(), local.Options{
				Daemons: 3, Zones: 3, Services: []string{"markers"}, Upstreams: 48, Shards: 100, Replicas: 3,
				ServiceTime: 5 * clock.Millisecond,
				UpstreamOptions: func(o upstream.Options) upstream.Options {
					o.Slots, o.ColdLimit = 8, 4

					return o
				},
				DaemonSettings: func(s settings.Settings) settings.Settings {
					s.Query.Hedge.Ratio = one.ratio

					return s
				},
			})
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			if _, refusal := operator.NewClient(d.Daemons[0].Operator(), rpc.NewClient(0)).ApplyConfig(b.Context(), d.Config); refusal != nil {
				b.Fatal(refusal)
			}
			if err := d.AwaitReady(); err != nil {
				b.Fatal(err)
			}
			// The upstreams are found and become warm before anything is counted.
			for warm := 0; warm < 200; {
				_, _, whole := send(d, 20)
				warm += whole
			}
			for _, u := range d.Upstreams {
				u.SetFaults(upstream.Faults{StragglerShare: one.straggle, StragglerFactor: 50})
			}
			send(d, 100)
			b.ResetTimer()
			spans, legs, whole := send(d, b.N)
			slices.Sort(spans)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(spans[len(spans)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(spans[len(spans)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(100*(float64(legs)/float64(whole*100)-1), "extra-%")
			b.ReportMetric(100*float64(whole)/float64(len(spans)), "whole-%")
		})
	}
}

// send sends n queries and returns how long each took, and the legs of those that were whole.
func send(d *local.Deployment, n int) (spans []time.Duration, legs, whole int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	next := make(chan int, n)
	for i := range n {
		next <- i
	}
	close(next)
	for range callers {
		group.Go(func() {
			for i := range next {
				start := time.Now()
				reply, err := ask(context.Background(), d.Daemons[i%len(d.Daemons)], fmt.Sprint("cairn ", i%10),
					2*clock.Second, false)
				mu.Lock()
				spans = append(spans, time.Since(start))
				if err == nil {
					whole++
					legs += reply.Legs
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()

	return spans, legs, whole
}
