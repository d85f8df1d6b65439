package query_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"jacinthferry/core/budget"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/pick"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
	"jacinthferry/core/route"
)

// measure runs the simulation with another seed in each iteration and reports metrics over all runs.
func measure(b *testing.B, m simulation) outcome {
	b.Helper()
	var o outcome
	for i := range b.N {
		m.seed = uint64(i + 1)
		o.add(m.run())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(o.quantile(0.5), "p50-ms")
	b.ReportMetric(o.quantile(0.99), "p99-ms")
	b.ReportMetric(100*o.extraRatio(), "extra-%")
	b.ReportMetric(100*float64(o.full)/float64(len(o.latencies)), "whole-%")

	return o
}

// minimalPolicy returns the policy without the mechanisms that add legs or refuse queries.
func minimalPolicy(way pick.Method) query.Policy {
	p := policy()
	p.BalancingMethod, p.Hedge, p.Retry, p.EarlyRefusal, p.FairSharing = way, budget.BucketConfig{}, budget.BucketConfig{}, false, false

	return p
}

// wideService returns a simulation of a service with 100 upstreams and 100 shards of three replicas each,
// at about a third of the capacity of the upstreams.
func wideService() simulation {
	return simulation{
		layout:  layout{upstreams: 100, replicas: 3, snapshots: []route.HeldSnapshot{snapshot(1, 100)}},
		daemons: 3, policy: policy(), rate: 130, count: 4000, texts: 1, timeout: 2 * clock.Second,
		serviceTime: 5, sigma: 0.3, maxQueued: 256, warmup: clock.Second,
	}
}

// BenchmarkChoice compares the load balancing methods, without hedges.
func BenchmarkChoice(b *testing.B) {
	for _, shape := range []struct {
		name string
		rate int
		slow int
	}{{"even", 240, 0}, {"slow", 130, 5}} {
		for _, way := range []pick.Method{pick.RoundRobin, pick.LeastInFlight, pick.PowerOfTwo, pick.LowestWait} {
			b.Run(fmt.Sprintf("%s/%s", shape.name, way), func(b *testing.B) {
				m := wideService()
				m.policy, m.rate, m.slowUpstreams = minimalPolicy(way), shape.rate, shape.slow
				measure(b, m)
			})
		}
	}
}

// BenchmarkHedge compares hedging with no hedging, both without stragglers and with 1 in 100 legs taking
// 50 times as long.
func BenchmarkHedge(b *testing.B) {
	for _, one := range []struct {
		name     string
		straggle float64
		hedge    bool
	}{{"none-off", 0, false}, {"none-on", 0, true}, {"stragglers-off", 0.01, false}, {"stragglers-on", 0.01, true}} {
		for _, spread := range []float64{0.1, 0.3, 0.6} {
			b.Run(fmt.Sprintf("%s/spread-%g", one.name, spread), func(b *testing.B) {
				m := wideService()
				m.stragglerRatio, m.sigma = one.straggle, spread
				if !one.hedge {
					m.policy.Hedge = budget.BucketConfig{}
				}
				measure(b, m)
			})
		}
	}
}

// BenchmarkQuantile compares the latency quantiles after which a hedge is sent.
func BenchmarkQuantile(b *testing.B) {
	for _, quantile := range []float64{0.93, 0.95, 0.96, 0.97, 0.98} {
		for _, spread := range []float64{0.1, 0.3, 0.6} {
			b.Run(fmt.Sprintf("quantile-%g/spread-%g", quantile, spread), func(b *testing.B) {
				m := wideService()
				m.stragglerRatio, m.sigma, m.policy.HedgeQuantile = 0.01, spread, quantile
				measure(b, m)
			})
		}
	}
}

// BenchmarkCanary measures the cost of the canary leg when every request is new.
func BenchmarkCanary(b *testing.B) {
	for _, canary := range []bool{false, true} {
		b.Run(fmt.Sprintf("canary-%v", canary), func(b *testing.B) {
			m := wideService()
			m.canary, m.texts = canary, 1<<30
			measure(b, m)
		})
	}
}

// BenchmarkOverload sends the peak load and three times the peak load, each with and without the retry
// budget, early refusal and fair sharing.
func BenchmarkOverload(b *testing.B) {
	for _, one := range []struct {
		name  string
		rate  int
		bound bool
	}{{"peak-off", 360, false}, {"peak-on", 360, true}, {"triple-off", 1080, false}, {"triple-on", 1080, true}} {
		b.Run(one.name, func(b *testing.B) {
			m := wideService()
			m.rate, m.count, m.timeout, m.maxQueued, m.warmup = one.rate, one.rate*22, 200, 64, 2*clock.Second
			if !one.bound {
				m.policy.EarlyRefusal, m.policy.FairSharing = false, false
				m.policy.Retry = budget.BucketConfig{Ratio: 2, Burst: 1e6, Floor: 1e6}
			}
			o := measure(b, m)
			span := float64(20 * b.N)
			b.ReportMetric(float64(o.full)/span, "whole/s")
			b.ReportMetric(float64(o.fullByCaller["light"])/span, "light/s")
			b.ReportMetric(float64(o.fullByCaller["heavy"])/span, "heavy/s")
		})
	}
}

// BenchmarkLeg measures the cost of one leg: the choice of a replica, the sending, the answer and the
// merge.
func BenchmarkLeg(b *testing.B) {
	for _, upstreams := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("upstreams-%d", upstreams), func(b *testing.B) {
			const shards = 100
			l := layout{upstreams: upstreams, replicas: 3, snapshots: []route.HeldSnapshot{snapshot(1, max(shards, upstreams))}}
			table := l.table()
			p := policy()
			p.EarlyRefusal, p.FairSharing = false, false
			tracker := quarantine.NewTracker(trackerConfig(false))
			planner := query.NewPlanner(p, trackerFuncs(tracker), func() *route.Table { return table },
				rand.New(rand.NewPCG(1, 2)))
			documents := []leg.Document{{ID: "a", Score: 1}, {ID: "b", Score: 2}}
			sends := make([]query.Action, 0, max(shards, upstreams))
			b.ReportAllocs()
			b.ResetTimer()
			now := clock.Milli(0)
			for done := 0; done < b.N; {
				now++
				sends = sends[:0]
				q, actions := planner.Begin(now, query.Request{
					ID: "q", Service: "markers", Text: "a", Top: 10, Deadline: now + 1000,
				})
				for _, a := range actions {
					if a.Kind == query.Send {
						sends = append(sends, a)
					}
				}
				for i := range sends {
					a := &sends[i]
					q.HandleResult(now+1, a.Number, leg.Result{Answer: leg.Answer{
						Request: a.Leg.Request, Shard: a.Leg.Shard, Snapshot: a.Leg.Snapshot, Version: a.Leg.Version,
						Documents: documents,
					}})
				}
				if !q.Done() {
					b.Fatal("query is not done after all legs were answered")
				}
				done += len(sends)
			}
		})
	}
}
