package gather_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const start = 1000 * clock.Second

// daemon is a coordinator with the balancer, view and route that it works on.
type daemon struct {
	*gather.Coordinator
	balancer *balance.Balancer
	view     *catalog.View
	route    *catalog.Route
}

var policy = gather.Policy{RetryRatio: 0.2, RetrySlack: 50, DeadlineMargin: 5, CanaryShare: 0.1}

func oneDaemon() int { return 1 }

// newDaemon returns a daemon whose route gathers from shards with a number of replicas each.
func newDaemon(shards, replicas int, route catalog.Route) *daemon {
	var services []catalog.Service
	var upstreams []*catalog.Upstream
	for i := range shards {
		name := fmt.Sprintf("shard%d", i)
		services = append(services, catalog.Service{Name: name, MaxConnections: 26})
		route.Shards = append(route.Shards, name)
		for r := range replicas {
			upstreams = append(upstreams, &catalog.Upstream{
				ID: fmt.Sprintf("%s-%d", name, r), Service: name, Zone: fmt.Sprintf("zone%d", r), Slots: 2,
			})
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	balancer := balance.New(balance.Options{Zone: "zone0", Daemons: oneDaemon, Uniform: random.Float64})
	route.Host, route.Prefix = "host", "/"
	config := catalog.NewConfig(1, 1, []catalog.Route{route}, services, catalog.Limits{})

	return &daemon{
		Coordinator: gather.New(policy, balancer, oneDaemon, random.Float64), balancer: balancer,
		view: catalog.NewView(config, upstreams, nil), route: config.Match("host", "/"),
	}
}

var lookup = catalog.Route{
	Name: "lookup", Idempotent: true, Timeout: 800, Objective: 120, Attempts: 2, Top: 5, MinCoverage: 0.89,
}

func (d *daemon) begin(now clock.Milli) (*gather.Query, []gather.Action) {
	q, actions := d.Begin(now, d.view, d.route, gather.Request{
		ID: "r", Arrived: now, FirstSent: now, Deadline: now + d.route.Timeout,
	})

	return q, append([]gather.Action(nil), actions...)
}

var success = gather.Result{OK: true, Sent: true, Run: reason.Executed}

func ofKind(actions []gather.Action, kind gather.Kind) []gather.Action {
	var list []gather.Action
	for _, a := range actions {
		if a.Kind == kind {
			list = append(list, a)
		}
	}

	return list
}

var _ = Describe("A query", func() {
	It("asks each shard once and finishes when all have answered", func() {
		d := newDaemon(3, 2, lookup)
		q, sends := d.begin(start)
		Expect(ofKind(sends, gather.Send)).To(HaveLen(3))
		Expect(q.HandleResult(start+10, 0, success)).To(BeEmpty())
		Expect(q.HandleResult(start+11, 1, success)).To(BeEmpty())
		end := ofKind(q.HandleResult(start+12, 2, success), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome).To(Equal(gather.Outcome{Legs: []int{0, 1, 2}}))
		Expect(q.Done()).To(BeTrue())
	})

	It("always names a later time for its next timeout", func() {
		// Each shard has one upstream, so that no hedge can be sent.
		d := newDaemon(3, 1, lookup)
		q, _ := d.begin(start)
		calls := 0
		for now := q.NextTimeout(); now < start+100; now = q.NextTimeout() {
			q.HandleTimeout(now)
			calls++
			Expect(q.NextTimeout()).To(BeNumerically(">", now))
		}
		Expect(calls).To(BeNumerically("<=", 30))
	})

	It("forgets the latencies of a route that is gone", func() {
		d := newDaemon(1, 2, lookup)
		now := start
		for range 40 {
			q, _ := d.begin(now)
			q.HandleResult(now+1, 0, success)
			now += 10
		}
		hedgedAfter := func(wait clock.Milli) int {
			q, _ := d.begin(now)
			hedges := ofKind(q.HandleTimeout(now+wait), gather.Send)
			q.Abandon(now + wait)

			return len(hedges)
		}
		Expect(hedgedAfter(10)).To(Equal(1), "the route's answers are known to be quick")
		d.Prune(now, d.view)
		Expect(hedgedAfter(10)).To(Equal(1))
		d.Prune(now, catalog.NewView(catalog.NewConfig(2, 2, nil, nil, catalog.Limits{}), nil, nil))
		Expect(hedgedAfter(10)).To(BeZero())
	})

	It("hedges a late leg once, at another upstream", func() {
		d := newDaemon(1, 3, lookup)
		q, sends := d.begin(start)
		hedges := ofKind(q.HandleTimeout(start+60), gather.Send)
		Expect(hedges).To(HaveLen(1))
		Expect(hedges[0].RetryReason).To(Equal(reason.Slow))
		Expect(hedges[0].Upstream).NotTo(Equal(sends[0].Upstream))
		Expect(ofKind(q.HandleTimeout(start+100), gather.Send)).To(BeEmpty())
		end := ofKind(q.HandleResult(start+110, hedges[0].Number, success), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{1}))
	})

	It("finishes shortly before the objective when enough shards have answered", func() {
		d := newDaemon(20, 1, lookup)
		q, _ := d.begin(start)
		for i := range 18 {
			Expect(q.HandleResult(start+20, i, success)).To(BeEmpty())
		}
		Expect(ofKind(q.HandleTimeout(start+100), gather.Finish)).To(BeEmpty())
		end := ofKind(q.HandleTimeout(start+114), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Missing).To(Equal([]string{"shard18", "shard19"}))
	})

	It("finishes earlier for a caller that is far away", func() {
		d := newDaemon(20, 1, lookup)
		q, _ := d.Begin(start, d.view, d.route, gather.Request{
			ID: "r", Arrived: start, FirstSent: start - 12, Deadline: start + 800,
		})
		for i := range 18 {
			q.HandleResult(start+20, i, success)
		}
		Expect(ofKind(q.HandleTimeout(start+101), gather.Finish)).To(BeEmpty())
		Expect(ofKind(q.HandleTimeout(start+102), gather.Finish)).To(HaveLen(1))
	})

	It("does not answer with fewer shards than the route requires", func() {
		d := newDaemon(20, 1, lookup)
		q, _ := d.begin(start)
		for i := range 17 {
			q.HandleResult(start+20, i, success)
		}
		Expect(ofKind(q.HandleTimeout(start+400), gather.Finish)).To(BeEmpty())
		end := ofKind(q.HandleTimeout(start+795), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Refusal.Reason).To(Equal(reason.Deadline))
		Expect(end[0].Outcome.Refusal.Run).To(Equal(reason.ExecutionUnknown))
	})

	It("is refused at once, as not run, when too few shards have an upstream", func() {
		d := newDaemon(20, 1, lookup)
		d.view = catalog.NewView(d.view.Config, d.view.Usable("shard0"), nil)
		_, actions := d.begin(start)
		Expect(ofKind(actions, gather.Send)).To(BeEmpty())
		end := ofKind(actions, gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Refusal.Run).To(Equal(reason.NotExecuted))
		Expect(end[0].Outcome.RetryAfter).To(BeNumerically(">", 0))
		Expect(end[0].Outcome.RetryAfter).To(BeNumerically("<=", 800.0/3))
	})

	// Guards against a leg that is still on its way when the time of its request is over: the caller is then told that the
	// request may have run, and cannot send it again.
	It("sends no leg for which the time is too short", func() {
		route := lookup
		route.Idempotent, route.MinCoverage = false, 1
		unreachable := gather.Result{Run: reason.NotExecuted, Reason: reason.Connection}
		d := newDaemon(1, 1, route)
		q, _ := d.begin(start)
		q.HandleResult(start+1, 0, unreachable)
		actions := q.HandleTimeout(start + route.Timeout - policy.DeadlineMargin - 1)
		Expect(ofKind(actions, gather.Send)).To(BeEmpty())
		end := ofKind(actions, gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Refusal.Run).To(Equal(reason.NotExecuted))
		Expect(end[0].Outcome.Refusal.Reason).To(Equal(reason.Connection))

		_, actions = d.Begin(start, d.view, d.route, gather.Request{
			ID: "r", Arrived: start, FirstSent: start, Deadline: start + policy.DeadlineMargin + 1,
		})
		Expect(ofKind(actions, gather.Send)).To(BeEmpty())
		Expect(ofKind(actions, gather.Finish)[0].Outcome.Refusal).To(And(
			HaveField("Run", reason.NotExecuted), HaveField("Reason", reason.Deadline)))
	})

	It("retries after a failure, on no more upstreams than the route allows", func() {
		d := newDaemon(1, 3, lookup)
		q, sends := d.begin(start)
		failure := gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Failed}
		asked := map[string]bool{}
		legs := 0
		var end []gather.Action
		for now := start + 5; len(end) == 0; now += 5 {
			for _, a := range sends {
				asked[a.Upstream.ID] = true
				legs++
				sends = append(sends[:0], q.HandleResult(now, a.Number, failure)...)
			}
			if len(sends) == 0 {
				sends = append(sends, q.HandleTimeout(now)...)
			}
			end, sends = ofKind(sends, gather.Finish), ofKind(sends, gather.Send)
		}
		Expect(asked).To(HaveLen(2))
		Expect(legs).To(BeNumerically("<=", 4))
		Expect(end[0].Outcome.Refusal.Run).To(Equal(reason.ExecutionUnknown))
	})

	It("retries a request that is not idempotent only when it certainly did not run", func() {
		order := catalog.Route{Name: "order", Timeout: 3000, Objective: 500, Attempts: 2, Service: "shard0"}
		for _, c := range []struct {
			result gather.Result
			sends  int
		}{
			{gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Failed}, 0},
			{gather.Result{Sent: true, Run: reason.Executed, Reason: reason.Failed}, 0},
			{gather.Result{Sent: true, Run: reason.NotExecuted, Reason: reason.Overload}, 1},
			{gather.Result{Run: reason.NotExecuted, Reason: reason.Connection}, 1},
		} {
			d := newDaemon(1, 3, order)
			d.route.Shards = nil
			q, sends := d.begin(start)
			Expect(ofKind(q.HandleTimeout(start+400), gather.Send)).To(BeEmpty(), "no hedge")
			actions := q.HandleResult(start+401, sends[0].Number, c.result)
			Expect(ofKind(actions, gather.Send)).To(HaveLen(c.sends), "after %v", c.result)
		}
	})

	// Guards against the late copy of a rejection that hides the response to a second send: the request of review/6 ran
	// twice, or ran and was answered as not run.
	It("sends a request that is not idempotent to each upstream once", func() {
		order := catalog.Route{Name: "order", Timeout: 3000, Objective: 500, Attempts: 2}
		unreachable := gather.Result{Run: reason.NotExecuted, Reason: reason.Connection}
		rejection := gather.Result{Sent: true, Run: reason.NotExecuted, Reason: reason.Overload}
		d := newDaemon(1, 2, order)
		d.route.Service, d.route.Shards = "shard0", nil
		q, sends := d.begin(start)
		first := sends[0].Upstream

		sends = slices.Clone(q.HandleResult(start+1, sends[0].Number, unreachable))
		Expect(sends).To(HaveLen(1))
		Expect(sends[0].Upstream).NotTo(Equal(first))
		Expect(q.HandleResult(start+2, sends[0].Number, rejection)).To(BeEmpty(), "the first one is tried again later")

		sends = slices.Clone(q.HandleTimeout(start + 200))
		Expect(sends).To(HaveLen(1))
		Expect(sends[0].Upstream).To(Equal(first), "it has not had the request")
		end := ofKind(q.HandleResult(start+201, sends[0].Number, rejection), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Refusal).To(And(HaveField("Run", reason.NotExecuted), HaveField("Reason", reason.Overload)))
		Expect(end[0].Outcome.RetryAfter).To(BeNumerically(">", 0))
	})

	It("sets deadlines for upstreams no later than the end of the caller's wait", func() {
		slow := lookup
		slow.Timeout = 400
		d := newDaemon(1, 2, slow)
		for _, c := range []struct{ left, want clock.Milli }{{3000, 400}, {250, 250}} {
			_, actions := d.Begin(start, d.view, d.route, gather.Request{
				ID: "r", Arrived: start, FirstSent: start, Deadline: start + c.left,
			})
			Expect(actions[0].Deadline).To(Equal(start + c.want))
		}
	})

	It("cancels its legs when the caller leaves", func() {
		d := newDaemon(3, 1, lookup)
		q, _ := d.begin(start)
		q.HandleResult(start+1, 1, success)
		Expect(ofKind(q.Abandon(start+2), gather.Cancel)).To(HaveLen(2))
		Expect(q.Done()).To(BeTrue())
	})

	It("does not cancel a request that is not idempotent when the caller leaves", func() {
		d := newDaemon(1, 1, catalog.Route{Name: "order", Timeout: 3000, Objective: 500, Attempts: 1, Service: "shard0"})
		d.route.Shards = nil
		q, _ := d.begin(start)
		Expect(q.Abandon(start + 2)).To(BeEmpty())
		Expect(q.Done()).To(BeTrue())
	})
})

var _ = Describe("Retries and hedges", func() {
	// runLate runs a query whose only leg is late and returns the number of hedges.
	runLate := func(d *daemon, now clock.Milli) int {
		q, sends := d.begin(now)
		sends = append(sends, ofKind(q.HandleTimeout(now+60), gather.Send)...)
		for _, a := range sends {
			q.HandleResult(now+70, a.Number, success)
		}

		return len(sends) - 1
	}

	It("stay within the daemon's part of the slack after more daemons have joined", func() {
		daemons := 1
		random := rand.New(rand.NewPCG(1, 2))
		d := newDaemon(1, 2, lookup)
		d.Coordinator = gather.New(policy, d.balancer, func() int { return daemons }, random.Float64)
		runLate(d, start)
		// The other daemons join only after the first request.
		daemons = 7
		const queries = 900
		extra := 0
		for i := range queries {
			now := start + clock.Milli(i+1)*10
			if i < queries/2 {
				// Budget that the first half leaves unused may be used in the second: all queries are within
				// one window.
				q, sends := d.begin(now)
				q.HandleResult(now+1, sends[0].Number, success)

				continue
			}
			extra += runLate(d, now)
		}
		Expect(extra).To(BeNumerically("<=", int(queries*policy.RetryRatio+policy.RetrySlack/7)))
		Expect(extra).To(BeNumerically(">", queries*policy.RetryRatio/2), "the budget is used")
	})
})

var _ = Describe("Top", func() {
	It("returns the greatest records of all parts in descending order and keeps equal ones", func() {
		record := func(b byte) []byte {
			r := make([]byte, gather.RecordSize)
			r[0] = b

			return r
		}
		join := func(list ...byte) []byte {
			var out []byte
			for _, b := range list {
				out = append(out, record(b)...)
			}

			return out
		}
		for _, c := range []struct {
			parts [][]byte
			limit int
			want  []byte
		}{
			{nil, 3, nil},
			{[][]byte{join(1, 9, 4), join(9, 2)}, 3, join(9, 9, 4)},
			{[][]byte{append(join(1), 7, 7)}, 3, join(1)},
			{[][]byte{join(1, 2, 3, 4, 5, 6, 7, 8), join(8, 1, 9)}, 2, join(9, 8)},
			{[][]byte{join(1, 2)}, 0, nil},
		} {
			Expect(gather.TopRecords(c.parts, c.limit)).To(HaveLen(len(c.want)))
			if len(c.want) > 0 {
				Expect(gather.TopRecords(c.parts, c.limit)).To(Equal(c.want))
			}
		}
	})
})

var _ = Describe("A query while a service moves to another version", func() {
	// moving returns a daemon with one shard whose second upstream has the version on trial.
	moving := func(stage catalog.Stage) *daemon {
		d := newDaemon(1, 1, lookup)
		list := append(slices.Clone(d.view.Usable("shard0")), &catalog.Upstream{
			ID: "new", Service: "shard0", Zone: "zone0", Slots: 2, Version: "v2",
		})
		d.view = catalog.NewView(d.view.Config, list, nil).
			WithRollouts(map[string]catalog.Rollout{"shard0": {Version: "v2", Stage: stage, OrderRevision: 1}})

		return d
	}
	// newShare runs queries and returns the share of first legs and of all legs that went to the new
	// version. If late is set, the new version answers late.
	newShare := func(d *daemon, late bool) (first, all float64) {
		sends, firsts, toNew := 0, 0, 0
		const queries = 4000
		now := start
		for range queries {
			q, actions := d.begin(now)
			for n, a := range ofKind(actions, gather.Send) {
				sends++
				if a.Upstream.ID != "new" || !late {
					q.HandleResult(now+10, n, success)
				}
				if a.Upstream.ID == "new" {
					firsts++
					toNew++
				}
			}
			for _, a := range ofKind(q.HandleTimeout(now+100), gather.Send) {
				sends++
				if a.Upstream.ID == "new" {
					toNew++
				}
				q.HandleResult(now+110, a.Number, success)
			}
			q.HandleResult(now+200, 0, success)
			now += 250
		}

		return float64(firsts) / queries, float64(toNew) / float64(sends)
	}

	It("sends a share of the requests to the new version", func() {
		first, all := newShare(moving(catalog.Canary), false)
		Expect(first).To(BeNumerically("~", 0.08, 0.02))
		Expect(all).To(BeNumerically("<=", 0.1))
	})

	It("hedges late legs at the version that ran before", func() {
		_, all := newShare(moving(catalog.Canary), true)
		Expect(all).To(BeNumerically("<=", 0.1))
	})

	It("sends all requests to the new version, or none, after the trial", func() {
		for stage, share := range map[catalog.Stage]float64{catalog.Shifted: 1, catalog.Completed: 1, catalog.RolledBack: 0} {
			first, all := newShare(moving(stage), false)
			Expect(first).To(Equal(share), string(stage))
			Expect(all).To(Equal(share), string(stage))
		}
	})

	It("counts enough failures of a bad version to find it worse", func() {
		d := moving(catalog.Canary)
		move, _ := d.view.Rollout("shard0")
		analyzer := rollout.NewAnalyzer()
		for now := start; analyzer.Judge("shard0", move, d.RolloutCounts("shard0", move)) != rollout.Regressed; now += 100 {
			Expect(now).To(BeNumerically("<", start+100*clock.Second))
			q, actions := d.begin(now)
			result := success
			if actions[0].Upstream.ID == "new" {
				result = gather.Result{Sent: true, Run: reason.Executed, Reason: reason.Failed}
			}
			q.HandleResult(now+10, 0, result)
		}
	})
})

// Guards against review/5: retries went to what was registered when the request came, long after it had drained.
var _ = Describe("A query that goes on while its upstreams change", func() {
	rejected := gather.Result{Sent: true, Run: reason.NotExecuted, Reason: reason.Overload}
	stable := []string{""}

	for _, c := range []struct {
		what string
		// change returns the view after the first leg was rejected; upstreams are those of zone0, which rejected it, and of
		// zone1, which would be asked next.
		change func(config *catalog.Config, upstreams []*catalog.Upstream) *catalog.View
		// resent is set if another leg may go to zone0. One that is not idempotent only goes there from zone1.
		resent bool
	}{
		{"when one drains", func(config *catalog.Config, upstreams []*catalog.Upstream) *catalog.View {
			draining := *upstreams[1]
			draining.Draining = true

			return catalog.NewView(config, []*catalog.Upstream{upstreams[0], &draining}, nil)
		}, true},
		{"when one is gone", func(config *catalog.Config, upstreams []*catalog.Upstream) *catalog.View {
			return catalog.NewView(config, upstreams[:1], nil)
		}, true},
		{"when its availability zone is out of service", func(config *catalog.Config, upstreams []*catalog.Upstream) *catalog.View {
			return catalog.NewView(config, upstreams, map[string]bool{"zone1": true})
		}, true},
		{"when the other version is rolled back", func(config *catalog.Config, upstreams []*catalog.Upstream) *catalog.View {
			return catalog.NewView(config, upstreams, nil).WithRollouts(map[string]catalog.Rollout{
				"shard0": {Version: "v2", Stage: catalog.RolledBack, OrderRevision: 1, TrialRevision: 1, Stable: stable},
			})
		}, true},
		{"when all are gone", func(config *catalog.Config, _ []*catalog.Upstream) *catalog.View {
			return catalog.NewView(config, nil, nil)
		}, false},
	} {
		for _, idempotent := range []bool{true, false} {
			It(fmt.Sprintf("takes the upstream of each leg from what is known then, idempotent %v: %s", idempotent, c.what), func() {
				d := newDaemon(1, 2, catalog.Route{Name: "order", Idempotent: idempotent, Timeout: 3000, Objective: 500, Attempts: 3})
				d.route.Service, d.route.Shards = "shard0", nil
				upstreams := d.view.Usable("shard0")
				upstreams[1].Version = "v2"
				for n := range 20 {
					now := start + clock.Milli(n)*10*clock.Second
					view := d.view
					q, actions := d.Begin(now, view, d.route, gather.Request{
						ID: "r", Arrived: now, FirstSent: now, Deadline: now + d.route.Timeout, View: func() *catalog.View { return view },
					})
					Expect(ofKind(actions, gather.Send)).To(HaveLen(1))
					resent := c.resent && (idempotent || actions[0].Upstream.Zone == "zone1")
					view = c.change(d.view.Config, upstreams)
					list := slices.Clone(q.HandleResult(now+10, 0, rejected))
					for at := now + 20; at < now+200; at += 10 {
						list = append(list, q.HandleTimeout(at)...)
					}
					sends := ofKind(list, gather.Send)
					Expect(len(sends) > 0).To(Equal(resent))
					for _, a := range sends {
						Expect(a.Upstream.Zone).To(Equal("zone0"))
						q.HandleResult(now+300, a.Number, success)
					}
				}
			})
		}
	}
})

var _ = Describe("A query whose upstreams have long queues", func() {
	// reportLoad has the upstreams of the first shards answer a request after a span and report a load.
	reportLoad := func(d *daemon, shards int, span clock.Milli, load *balance.Load) {
		for i := range shards {
			service := d.view.Config.Services[fmt.Sprintf("shard%d", i)]
			for _, u := range d.view.Usable(service.Name) {
				d.balancer.Sent(start-1-span, service, u)
				d.balancer.Answered(start-1, start-1-span, 0, u, load)
			}
		}
	}
	longQueue := &balance.Load{Running: 2, Waiting: 8, Slots: 2}

	It("is refused at once, as not run, with a time for the retry", func() {
		d := newDaemon(20, 2, lookup)
		reportLoad(d, 3, 99, longQueue)
		_, actions := d.begin(start)
		Expect(ofKind(actions, gather.Send)).To(BeEmpty())
		end := ofKind(actions, gather.Finish)
		Expect(end).To(HaveLen(1))
		refusal := *end[0].Outcome.Refusal
		Expect(refusal.Detail).To(MatchRegexp(`shard\d: expected wait of \d+ ms for a slot exceeds 30 ms`))
		refusal.Detail = ""
		Expect(refusal).To(Equal(reason.Refusal{Reason: reason.Overload, Run: reason.NotExecuted}))
		Expect(end[0].Outcome.RetryAfter).To(BeNumerically(">", 0))
		Expect(end[0].Outcome.RetryAfter).To(BeNumerically("<=", 800.0/3))
	})

	It("is sent when its answer can do without the shards with long queues", func() {
		d := newDaemon(20, 2, lookup)
		reportLoad(d, 2, 99, longQueue)
		_, actions := d.begin(start)
		Expect(ofKind(actions, gather.Send)).To(HaveLen(20))
	})

	It("skips the slowest shards and lists them as missing", func() {
		d := newDaemon(20, 2, lookup)
		reportLoad(d, 2, 199, &balance.Load{Running: 1, Slots: 2})
		q, sends := d.begin(start)
		sends = ofKind(sends, gather.Send)
		Expect(sends).To(HaveLen(18))
		var end []gather.Action
		for _, a := range sends {
			end = append([]gather.Action(nil), q.HandleResult(start+20, a.Number, success)...)
		}
		Expect(ofKind(end, gather.Finish)).To(HaveLen(1))
		Expect(end[0].Outcome.Missing).To(Equal([]string{"shard0", "shard1"}))
		Expect(end[0].Outcome.Skipped).To(Equal(2))
	})

	It("asks as many of the skipped shards as needed when other shards are dropped", func() {
		d := newDaemon(20, 2, lookup)
		reportLoad(d, 2, 199, &balance.Load{Running: 1, Slots: 2})
		q, sends := d.begin(start)
		sends = ofKind(sends, gather.Send)
		Expect(sends).To(HaveLen(18))
		for _, a := range sends[:17] {
			Expect(q.HandleResult(start+20, a.Number, success)).To(BeEmpty())
		}
		// The last shard fails until its attempts are used up.
		failure := gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Failed}
		open := sends[17:]
		for now := start + 21; len(open) > 0 && open[0].Service.Name == "shard19"; now += 5 {
			open = ofKind(q.HandleResult(now, open[0].Number, failure), gather.Send)
			if len(open) == 0 {
				open = ofKind(q.HandleTimeout(now+4), gather.Send)
			}
		}
		Expect(open).To(HaveLen(1))
		Expect(open[0].Service.Name).To(Or(Equal("shard0"), Equal("shard1")))
		end := ofKind(q.HandleResult(start+300, open[0].Number, success), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Refusal).To(BeNil())
		Expect(end[0].Outcome.Legs).To(HaveLen(18))
		Expect(end[0].Outcome.Skipped).To(Equal(1))
	})

	It("sends no hedge to an upstream where it would wait for a slot", func() {
		d := newDaemon(2, 2, lookup)
		q, sends := d.begin(start)
		second := d.view.Usable("shard0")[0]
		if second == sends[0].Upstream {
			second = d.view.Usable("shard0")[1]
		}
		service := d.view.Config.Services["shard0"]
		d.balancer.Sent(start, service, second)
		d.balancer.Answered(start+59, start, 0, second, longQueue)
		hedges := ofKind(q.HandleTimeout(start+60), gather.Send)
		Expect(hedges).To(HaveLen(1))
		Expect(hedges[0].Service.Name).To(Equal("shard1"))
	})
})
