package home_test

import (
	"fmt"
	"runtime"
	"testing"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
)

// BenchmarkIdle measures the heap memory of the control state of an upstream that ran some legs and is idle.
func BenchmarkIdle(b *testing.B) {
	const upstreams = 10_000
	policy := &admit.Policy{WarmupAnswers: 8, MaxQueued: 256, Priority: true, RoutineInterval: 8, EarlyRefusal: true, FairQueueing: true, AdaptiveLimit: true}
	answer := admit.Outcome{Finished: true, Result: leg.Result{Answer: leg.Answer{Incarnation: "1"}}}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		queues := make([]*admit.Queue, upstreams)
		ownerships := make([]*home.Ownership, upstreams)
		for i := range queues {
			queues[i] = admit.New(policy, admit.Limits{Slots: 2, ColdLimit: 1})
			ownerships[i] = home.New(&rules, "u")
			ownerships[i].Claim(1, []string{"a", "b"})
			for t := range uint64(20) {
				queues[i].Enqueue(1, admit.Item{Ticket: t, Deadline: clock.Second})
			}
			for t := range uint64(20) {
				queues[i].Done(2, t, answer)
			}
			queues[i].HandleTimeout(3)
			for at := clock.Milli(2); at <= rules.SafeDelay()+20; at += 10 {
				ownerships[i].Advance(at, at, func() []string { return nil })
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/upstreams, "B/upstream")
		b.ReportMetric(0, "ns/op")
		if queues[0].Waiting()+queues[0].Running() > 0 {
			b.Fatal(fmt.Sprint(queues[0].Waiting(), queues[0].Running()))
		}
		runtime.KeepAlive(ownerships)
	}
}
