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

// measure runs the model once for each iteration, each with a seed of its own, and reports all runs
// together.
func measure(b *testing.B, m model) outcome {
	b.Helper()
	var o outcome
	for i := range b.N {
		m.seed = uint64(i + 1)
		o.add(m.run())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(o.quantile(0.5), "p50-ms")
	b.ReportMetric(o.quantile(0.99), "p99-ms")
	b.ReportMetric(100*o.extra(), "extra-%")
	b.ReportMetric(100*float64(o.whole)/float64(len(o.latencies)), "whole-%")

	return o
}

// quiet is the policy with every mechanism that adds legs or refuses queries off.
func quiet(way pick.Way) query.Policy {
	p := policy()
	p.Choice, p.Hedge, p.Retry, p.Early, p.Fair = way, budget.BucketConfig{}, budget.BucketConfig{}, false, false

	return p
}

// wide is a service of 100 shards on 100 upstreams, each shard on three of them, at about a third of
// what the upstreams bear.
func wide() model {
	return model{
		layout:  layout{upstreams: 100, replicas: 3, snapshots: []route.Held{snapshot(1, 100)}},
		daemons: 3, policy: policy(), rate: 130, count: 4000, texts: 1, span: 2 * clock.Second,
		work: 5, spread: 0.3, queue: 256, warm: clock.Second,
	}
}

// BenchmarkChoice compares the ways to choose a replica, without hedges.
func BenchmarkChoice(b *testing.B) {
	for _, shape := range []struct {
		name string
		rate int
		slow int
	}{{"even", 240, 0}, {"slow", 130, 5}} {
		for _, way := range []pick.Way{pick.Robin, pick.Least, pick.Two, pick.Score} {
			b.Run(fmt.Sprintf("%s/%s", shape.name, way), func(b *testing.B) {
				m := wide()
				m.policy, m.rate, m.slow = quiet(way), shape.rate, shape.slow
				measure(b, m)
			})
		}
	}
}

// BenchmarkHedge has 1 in 100 legs take 50 times as long, with hedges and without, and no straggler
// for comparison.
func BenchmarkHedge(b *testing.B) {
	for _, one := range []struct {
		name     string
		straggle float64
		hedge    bool
	}{{"none-off", 0, false}, {"none-on", 0, true}, {"stragglers-off", 0.01, false}, {"stragglers-on", 0.01, true}} {
		for _, spread := range []float64{0.1, 0.3, 0.6} {
			b.Run(fmt.Sprintf("%s/spread-%g", one.name, spread), func(b *testing.B) {
				m := wide()
				m.straggle, m.spread = one.straggle, spread
				if !one.hedge {
					m.policy.Hedge = budget.BucketConfig{}
				}
				measure(b, m)
			})
		}
	}
}

// BenchmarkQuantile compares the times to wait before a second leg.
func BenchmarkQuantile(b *testing.B) {
	for _, quantile := range []float64{0.93, 0.95, 0.96, 0.97, 0.98} {
		for _, spread := range []float64{0.1, 0.3, 0.6} {
			b.Run(fmt.Sprintf("quantile-%g/spread-%g", quantile, spread), func(b *testing.B) {
				m := wide()
				m.straggle, m.spread, m.policy.Quantile = 0.01, spread, quantile
				measure(b, m)
			})
		}
	}
}

// BenchmarkCanary shows what the leg that runs alone costs when every request is new.
func BenchmarkCanary(b *testing.B) {
	for _, canary := range []bool{false, true} {
		b.Run(fmt.Sprintf("canary-%v", canary), func(b *testing.B) {
			m := wide()
			m.canary, m.texts = canary, 1<<30
			measure(b, m)
		})
	}
}

// BenchmarkOverload sends three times what the upstreams bear, with the bounds on retries, time and
// shares and without them.
func BenchmarkOverload(b *testing.B) {
	for _, one := range []struct {
		name  string
		rate  int
		bound bool
	}{{"peak-off", 360, false}, {"peak-on", 360, true}, {"triple-off", 1080, false}, {"triple-on", 1080, true}} {
		b.Run(one.name, func(b *testing.B) {
			m := wide()
			m.rate, m.count, m.span, m.queue, m.warm = one.rate, one.rate*22, 200, 64, 2*clock.Second
			if !one.bound {
				m.policy.Early, m.policy.Fair = false, false
				m.policy.Retry = budget.BucketConfig{Ratio: 2, Burst: 1e6, Floor: 1e6}
			}
			o := measure(b, m)
			span := float64(20 * b.N)
			b.ReportMetric(float64(o.whole)/span, "whole/s")
			b.ReportMetric(float64(o.wholeBy["light"])/span, "light/s")
			b.ReportMetric(float64(o.wholeBy["heavy"])/span, "heavy/s")
		})
	}
}

// BenchmarkLeg measures the decisions about one leg: choice, sending, its answer and the merge.
func BenchmarkLeg(b *testing.B) {
	for _, upstreams := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("upstreams-%d", upstreams), func(b *testing.B) {
			const shards = 100
			l := layout{upstreams: upstreams, replicas: 3, snapshots: []route.Held{snapshot(1, max(shards, upstreams))}}
			table := l.table()
			p := policy()
			p.Early, p.Fair = false, false
			list := quarantine.NewTracker(terms(false))
			planner := query.NewPlanner(p, guardOf(list), func() *route.Table { return table },
				rand.New(rand.NewPCG(1, 2)))
			documents := []leg.Document{{ID: "a", Score: 1}, {ID: "b", Score: 2}}
			numbers := make([]query.Action, 0, max(shards, upstreams))
			b.ReportAllocs()
			b.ResetTimer()
			now := clock.Milli(0)
			for done := 0; done < b.N; {
				now++
				numbers = numbers[:0]
				q, actions := planner.Begin(now, query.Request{
					ID: "q", Service: "markers", Text: "a", Top: 10, Deadline: now + 1000,
				})
				for _, a := range actions {
					if a.Kind == query.Send {
						numbers = append(numbers, a)
					}
				}
				for i := range numbers {
					a := &numbers[i]
					q.Answered(now+1, a.Number, leg.Result{Answer: leg.Answer{
						Request: a.Leg.Request, Shard: a.Leg.Shard, Snapshot: a.Leg.Snapshot, Version: a.Leg.Version,
						Documents: documents,
					}})
				}
				if !q.Done() {
					b.Fatal("not done")
				}
				done += len(numbers)
			}
		})
	}
}
