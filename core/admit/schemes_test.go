package admit_test

import (
	"fmt"
	"slices"
	"testing"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
)

const daemons = 9

// scheme is one way to decide which daemons may send to an upstream.
type scheme struct {
	name string
	// queues is the number of daemons that send, and slots the number of legs that each may run at once.
	queues, slots int
	// timeSlice, if not 0, is how long each daemon in turn may send to the upstream.
	timeSlice clock.Milli
}

var schemes = []scheme{
	{name: "home", queues: 1, slots: 2},
	{name: "share", queues: daemons, slots: 1},
	{name: "free", queues: daemons, slots: 2},
	{name: "turn", queues: daemons, slots: 2, timeSlice: 20},
}

func (y scheme) run(seed uint64, load float64, burst int) *simulation {
	const span = 20 * clock.Second
	p := policy(func(p *admit.Policy) { p.WarmupAnswers, p.RoutineInterval, p.MaxQueued = 8, 8, 256 })
	w := newSimulation(seed, p)
	w.burst = burst
	var queues []*admit.Queue
	for range y.queues {
		queues = append(queues, admit.New(p, admit.Limits{Slots: y.slots, ColdLimit: w.coldLimit}))
	}
	rate := load * float64(w.slots) * 1000 / (meanServiceTime + 2*float64(w.upstreamDelay))
	w.arrivals(rate, span, daemons, 0.2, queues, func(daemon int) (int, bool) {
		if y.queues == 1 {
			return 0, daemon != 0
		}

		return daemon, false
	})
	if y.timeSlice > 0 {
		y.rotate(w, queues, span)
	}
	w.run()

	return w
}

// rotate gives each daemon the upstream in turn. A turn ends before the next one begins, by twice the
// mean service time, so that most legs have ended by then.
func (y scheme) rotate(w *simulation, queues []*admit.Queue, span clock.Milli) {
	for _, q := range queues {
		q.SetMaxRunning(0, 0)
	}
	for k := 0; clock.Milli(k)*y.timeSlice < span+w.deadline; k++ {
		i, start := k%len(queues), clock.Milli(k)*y.timeSlice
		w.schedule(start, func(now clock.Milli) { w.apply(now, queues, queues[i].SetMaxRunning(now, y.slots)) })
		w.schedule(start+y.timeSlice-2*meanServiceTime, func(now clock.Milli) { w.apply(now, queues, queues[i].SetMaxRunning(now, 0)) })
	}
}

// BenchmarkWays compares the schemes with nine daemons and two slots, in virtual time: the latency, the
// legs shed by the upstream, those above its cold limit, and those that got no answer in time.
func BenchmarkWays(b *testing.B) {
	for _, y := range schemes {
		for _, load := range []float64{0.3, 0.6, 0.9, 1.2} {
			b.Run(fmt.Sprintf("%s/load=%g", y.name, load), func(b *testing.B) {
				var w *simulation
				for b.Loop() {
					w = y.run(1, load, 1)
				}
				all := slices.Concat(w.result.urgent, w.result.routine)
				offered := float64(w.result.offered)
				b.ReportMetric(quantile(all, 0.5), "p50-ms")
				b.ReportMetric(quantile(all, 0.99), "p99-ms")
				b.ReportMetric(float64(w.shed)/offered*100, "shed-%")
				b.ReportMetric(float64(w.aboveColdLimit), "over-cold")
				b.ReportMetric(100-float64(w.result.inTime)/offered*100, "unanswered-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// TestHomeNeverAboveCold checks that a home never exceeds the cold limit of a cold upstream, and never
// its slots, at any load.
func TestHomeNeverAboveCold(t *testing.T) {
	for _, load := range []float64{0.3, 0.9, 3} {
		for seed := range uint64(5) {
			w := schemes[0].run(seed, load, 1)
			if w.aboveColdLimit > 0 || w.shed > 0 {
				t.Errorf("load %g, seed %d: %d legs above the cold limit, %d shed", load, seed, w.aboveColdLimit, w.shed)
			}
		}
	}
	if w := schemes[2].run(1, 0.9, 1); w.aboveColdLimit == 0 || w.shed == 0 {
		t.Error("nine daemons that send without coordination stayed within the limits, want them exceeded")
	}
}

// runOverload simulates one home at a load and returns the goodput per second, the p99 of urgent legs in ms
// and the statistics of the callers.
func runOverload(seed uint64, load, demand float64, change func(*admit.Policy)) (float64, float64, callerStats) {
	const span = 60 * clock.Second
	p := policy(func(p *admit.Policy) {
		p.WarmupAnswers, p.RoutineInterval, p.MaxQueued = 8, 8, 256
		if change != nil {
			change(p)
		}
	})
	w := newSimulation(seed, p)
	queues := []*admit.Queue{admit.New(p, admit.Limits{Slots: w.slots, ColdLimit: w.coldLimit})}
	rate := load * float64(w.slots) * 1000 / (meanServiceTime + 2*float64(w.upstreamDelay))
	w.arrivals(rate, span, daemons, min(1, demand/load), queues, func(d int) (int, bool) { return 0, d != 0 })
	w.run()

	return float64(w.result.inTime) / float64(span) * 1000, quantile(w.result.urgent, 0.99), w.result
}

// urgentDemand is the demand of urgent legs as a share of the capacity. It is the same at every load, since
// it is routine work that arrives in floods.
const urgentDemand = 0.1

// TestOverload checks that at three times the capacity the goodput stays at 90% of its peak or more,
// the p99 of urgent legs within 1.5 times the unloaded one, and that routine legs are not starved.
func TestOverload(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.7, 0.8, 0.9, 1, 1.2, 1.5, 2, 3} {
		goodput, _, _ := runOverload(1, load, urgentDemand, nil)
		peak = max(peak, goodput)
	}
	_, unloaded, _ := runOverload(1, urgentDemand, urgentDemand, nil)
	goodput, urgentP99, stats := runOverload(1, 3, urgentDemand, nil)
	t.Logf("goodput %.0f/s of a peak of %.0f/s; urgent p99 %.1f ms, unloaded %.1f ms; %d routine answers",
		goodput, peak, urgentP99, unloaded, len(stats.routine))
	if goodput < 0.9*peak {
		t.Errorf("goodput %.0f/s is below 90%% of the peak of %.0f/s", goodput, peak)
	}
	if urgentP99 > 1.5*unloaded {
		t.Errorf("urgent p99 %.1f ms exceeds 1.5 times the unloaded %.1f ms", urgentP99, unloaded)
	}
	if len(stats.routine) == 0 {
		t.Error("routine legs were starved")
	}
}

// BenchmarkOverload compares the queue with and without each of its mechanisms at three times the
// capacity.
func BenchmarkOverload(b *testing.B) {
	for _, c := range []struct {
		name         string
		load, wanted float64
		change       func(*admit.Policy)
	}{
		{"unloaded", urgentDemand, urgentDemand, nil},
		{"full", 1, urgentDemand, nil},
		{"all", 3, urgentDemand, nil},
		{"no priority", 3, urgentDemand, func(p *admit.Policy) { p.Priority = false }},
		{"no early", 3, urgentDemand, func(p *admit.Policy) { p.EarlyRefusal = false }},
		{"urgent flood", 3, 2, nil},
		{"urgent flood, no floor", 3, 2, func(p *admit.Policy) { p.RoutineInterval = 0 }},
		{"no adapt", 3, urgentDemand, func(p *admit.Policy) { p.AdaptiveLimit = false }},
		{"none", 3, urgentDemand, func(p *admit.Policy) {
			p.Priority, p.EarlyRefusal, p.AdaptiveLimit, p.FairQueueing = false, false, false, false
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var goodput, urgentP99 float64
			var stats callerStats
			for b.Loop() {
				goodput, urgentP99, stats = runOverload(1, c.load, c.wanted, c.change)
			}
			b.ReportMetric(goodput, "goodput/s")
			b.ReportMetric(urgentP99, "urgent-p99-ms")
			b.ReportMetric(quantile(stats.routine, 0.99), "routine-p99-ms")
			b.ReportMetric(float64(len(stats.routine)), "routine-answers")
			b.ReportMetric(float64(stats.late)/float64(stats.offered)*100, "late-%")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkDecision measures the queue's work for a leg from its arrival to its end, with n upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p := policy(func(p *admit.Policy) { p.WarmupAnswers, p.MaxQueued = 8, 256 })
			var queues []*admit.Queue
			for range n {
				queues = append(queues, admit.New(p, admit.Limits{Slots: 2, ColdLimit: 1}))
			}
			answer := success(leg.Load{Slots: 2})
			b.ReportAllocs()
			now, ticket := clock.Milli(0), uint64(0)
			for b.Loop() {
				ticket++
				q := queues[ticket%uint64(n)]
				now += 0.01
				q.Enqueue(now, admit.Item{Ticket: ticket, Deadline: now + 100, Flow: ticket % 9})
				q.Done(now+0.005, ticket, answer)
			}
		})
	}
}

// BenchmarkBacklog measures the queue's work for a leg that arrives at a full queue.
func BenchmarkBacklog(b *testing.B) {
	p := policy(func(p *admit.Policy) { p.WarmupAnswers, p.MaxQueued, p.EarlyRefusal = 8, 256, false })
	q := admit.New(p, admit.Limits{Slots: 2, ColdLimit: 1})
	answer := success(leg.Load{Slots: 2})
	b.ReportAllocs()
	now, ticket := clock.Milli(0), uint64(0)
	running := make([]uint64, 0, 8)
	recordDispatched := func(actions []admit.Action) {
		for _, a := range actions {
			if a.Kind == admit.Dispatch {
				running = append(running, a.Ticket)
			}
		}
	}
	for b.Loop() {
		ticket++
		now += 0.01
		recordDispatched(q.Enqueue(now, admit.Item{Ticket: ticket, Deadline: now + 1e6, Flow: ticket % 9}))
		if ticket > 300 && len(running) > 0 {
			done := running[0]
			running = append(running[:0], running[1:]...)
			recordDispatched(q.Done(now, done, answer))
		}
	}
}
