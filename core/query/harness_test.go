package query_test

import (
	"fmt"
	"math/rand/v2"

	"jacinthferry/core/budget"
	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/leg"
	"jacinthferry/core/pick"
	"jacinthferry/core/place"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// policy returns the policy of most specs: everything is enabled, and the budgets allow a burst of extra
// legs.
func policy() query.Policy {
	return query.Policy{
		MaxAttempts: 3, DeadlineMargin: clock.Millisecond, MaxRestarts: 1, BalancingMethod: pick.LowestWait, HedgeQuantile: 0.97,
		Hedge: budget.BucketConfig{Ratio: 0.05, Burst: 100}, Retry: budget.BucketConfig{Ratio: 0.1, Burst: 100, Floor: 10},
		EarlyRefusal: true, FairSharing: true,
	}
}

func trackerConfig(canary bool) quarantine.Config {
	return quarantine.Config{
		Canary: canary, Crashes: 2, Window: clock.Minute, Hold: clock.Minute, Known: 1024, Limit: 8,
	}
}

// trackerFuncs returns the functions of a tracker for the queries of one thread.
func trackerFuncs(l *quarantine.Tracker) query.QuarantineTracker {
	return query.QuarantineTracker{
		Admit: l.Admit, Quarantined: l.Quarantined, RecordSuccess: l.RecordSuccess, RecordInconclusive: l.RecordInconclusive,
		RecordCrash: func(now clock.Milli, p quarantine.Fingerprint, crash uint64) { l.RecordCrash(now, p, crash) },
	}
}

// layout describes the upstreams of one service. Each shard of a snapshot has the given number of
// replicas. The upstreams are spread over three zones, and each one has its own home.
type layout struct {
	upstreams, replicas int
	snapshots           []route.HeldSnapshot
	// missing is the number of shards of each snapshot that no upstream holds.
	missing int
	trusted bool
}

func snapshot(order, shards int) route.HeldSnapshot {
	return route.HeldSnapshot{Name: fmt.Sprintf("snapshot-%d", order), Order: uint64(order), Total: shards}
}

func upstreamName(i int) string { return fmt.Sprintf("upstream-%d", i) }

func (l layout) table() *route.Table {
	version := config.Version{Name: "v1", Share: 1}
	holdings := make(map[string]route.Holding)
	var members []place.Member
	for i := range l.upstreams {
		u := config.Upstream{Name: upstreamName(i), Zone: fmt.Sprintf("zone-%d", i%3), Slots: 2}
		version.Upstreams = append(version.Upstreams, u)
		h := route.Holding{Upstream: u.Name, Version: "v1", Incarnation: "1"}
		for _, s := range l.snapshots {
			held := s
			for shard := range s.Total - l.missing {
				for r := range l.replicas {
					if (shard+r)%l.upstreams == i {
						held.Shards = append(held.Shards, shard)
					}
				}
			}
			h.Snapshots = append(h.Snapshots, held)
		}
		holdings[u.Name] = h
	}
	for i := range 9 {
		members = append(members, place.Member{Name: fmt.Sprintf("daemon-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)})
	}

	return route.Build(1, config.Config{Services: []config.Service{
		{Name: "markers", Trusted: l.trusted, Versions: []config.Version{version}},
	}}, members, holdings)
}

// harness drives one planner and records the legs, wakes, responses and events of its newest query.
type harness struct {
	table     *route.Table
	planner   *query.Planner
	tracker   *quarantine.Tracker
	query     *query.Query
	open      map[int]query.Action
	sent      []query.Action
	wakes     []clock.Milli
	responses []*query.Reply
	events    []event.Event
}

func newHarness(l layout, p query.Policy, t quarantine.Config) *harness {
	h := &harness{table: l.table(), tracker: quarantine.NewTracker(t), open: make(map[int]query.Action)}
	h.planner = query.NewPlanner(p, trackerFuncs(h.tracker), func() *route.Table { return h.table },
		rand.New(rand.NewPCG(1, 2)))

	return h
}

func request(text string, deadline clock.Milli) query.Request {
	return query.Request{
		ID: "q-" + text, Service: "markers", Text: text, Top: 3, Deadline: deadline, Priority: leg.Routine,
	}
}

func (h *harness) begin(now clock.Milli, r query.Request) {
	h.open, h.sent, h.wakes, h.responses, h.events = make(map[int]query.Action), nil, nil, nil, nil
	var actions []query.Action
	h.query, actions = h.planner.Begin(now, r)
	h.apply(actions)
}

func (h *harness) apply(actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.Send:
			h.open[a.Number] = a
			h.sent = append(h.sent, a)
		case query.Cancel:
			delete(h.open, a.Number)
		case query.Wake:
			h.wakes = append(h.wakes, a.At)
		case query.Finish:
			h.responses = append(h.responses, a.Response)
		case query.Note:
			h.events = append(h.events, *a.Event)
		}
	}
}

// validResult returns a valid answer to a leg, with one document of its shard.
func validResult(l leg.Leg) leg.Result {
	return leg.Result{Answer: leg.Answer{
		Request: l.Request, Shard: l.Shard, Snapshot: l.Snapshot, Version: l.Version,
		Documents: []leg.Document{{ID: fmt.Sprintf("doc-%d", l.Shard), Score: 1}},
	}}
}

func (h *harness) answer(now clock.Milli, number int, r leg.Result) {
	delete(h.open, number)
	h.apply(h.query.HandleResult(now, number, r))
}

// refuseAll answers every open leg with the same refusal.
func (h *harness) refuseAll(now clock.Milli, word reason.Code, run reason.Execution) int {
	return h.answerAll(now, func(leg.Leg) leg.Result { return leg.Refused(word, run, "") })
}

// answerAll answers every leg that is open now, but none sent meanwhile, and returns their number.
func (h *harness) answerAll(now clock.Milli, result func(leg.Leg) leg.Result) int {
	n := 0
	for number := range len(h.sent) {
		if a, ok := h.open[number]; ok {
			n++
			h.answer(now, number, result(a.Leg))
		}
	}

	return n
}

// recordLatencies answers enough legs with the latency span for the planner to know the typical latency
// of the service.
func (h *harness) recordLatencies(now, span clock.Milli) {
	for i := range 20 {
		h.begin(now, request(fmt.Sprintf("train-%d", i), now+clock.Minute))
		for len(h.responses) == 0 {
			h.answerAll(now+span, validResult)
		}
	}
}

func (h *harness) response() *query.Reply {
	if len(h.responses) != 1 {
		return nil
	}

	return h.responses[0]
}

func (h *harness) countEvents(k event.Kind) int {
	n := 0
	for _, e := range h.events {
		if e.Kind == k {
			n++
		}
	}

	return n
}
