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

// policy is the one that most specs use: everything on, with room for a few extra legs at once.
func policy() query.Policy {
	return query.Policy{
		Attempts: 3, Reserve: clock.Millisecond, Restarts: 1, Choice: pick.Score, Quantile: 0.97,
		Hedge: budget.BucketConfig{Ratio: 0.05, Burst: 100}, Retry: budget.BucketConfig{Ratio: 0.1, Burst: 100, Floor: 10},
		Early: true, Fair: true,
	}
}

func terms(canary bool) quarantine.Config {
	return quarantine.Config{
		Canary: canary, Crashes: 2, Window: clock.Minute, Hold: clock.Minute, Known: 1024, Limit: 8,
	}
}

// guardOf returns a list as queries of one thread use it.
func guardOf(l *quarantine.Tracker) query.Guard {
	return query.Guard{
		Ask: l.Admit, Held: l.Quarantined, Passed: l.RecordSuccess, Ended: l.RecordInconclusive,
		Lost: func(now clock.Milli, p quarantine.Fingerprint, crash uint64) { l.RecordCrash(now, p, crash) },
	}
}

// layout describes the upstreams of one service: each shard of a snapshot is on replicas of them, in
// three zones, and each upstream has its own home.
type layout struct {
	upstreams, replicas int
	snapshots           []route.Held
	// lacking is how many shards of each snapshot nobody holds.
	lacking int
	trusted bool
}

func snapshot(order, shards int) route.Held {
	return route.Held{Name: fmt.Sprintf("snapshot-%d", order), Order: uint64(order), Total: shards}
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
			for shard := range s.Total - l.lacking {
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

// desk drives one planner: it keeps the open legs of a query and what came of it.
type desk struct {
	table   *route.Table
	planner *query.Planner
	list    *quarantine.Tracker
	query   *query.Query
	open    map[int]query.Action
	sent    []query.Action
	wakes   []clock.Milli
	replies []*query.Reply
	notes   []event.Event
}

func newDesk(l layout, p query.Policy, t quarantine.Config) *desk {
	d := &desk{table: l.table(), list: quarantine.NewTracker(t), open: make(map[int]query.Action)}
	d.planner = query.NewPlanner(p, guardOf(d.list), func() *route.Table { return d.table },
		rand.New(rand.NewPCG(1, 2)))

	return d
}

func request(text string, deadline clock.Milli) query.Request {
	return query.Request{
		ID: "q-" + text, Service: "markers", Text: text, Top: 3, Deadline: deadline, Priority: leg.Routine,
	}
}

func (d *desk) begin(now clock.Milli, r query.Request) {
	d.open, d.sent, d.wakes, d.replies, d.notes = make(map[int]query.Action), nil, nil, nil, nil
	var actions []query.Action
	d.query, actions = d.planner.Begin(now, r)
	d.take(actions)
}

func (d *desk) take(actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.Send:
			d.open[a.Number] = a
			d.sent = append(d.sent, a)
		case query.Cancel:
			delete(d.open, a.Number)
		case query.Wake:
			d.wakes = append(d.wakes, a.At)
		case query.Finish:
			d.replies = append(d.replies, a.Reply)
		case query.Note:
			d.notes = append(d.notes, *a.Event)
		}
	}
}

// good is the right answer to a leg, with one document of its shard.
func good(l leg.Leg) leg.Result {
	return leg.Result{Answer: leg.Answer{
		Request: l.Request, Shard: l.Shard, Snapshot: l.Snapshot, Version: l.Version,
		Documents: []leg.Document{{ID: fmt.Sprintf("doc-%d", l.Shard), Score: 1}},
	}}
}

func (d *desk) answer(now clock.Milli, number int, r leg.Result) {
	delete(d.open, number)
	d.take(d.query.Answered(now, number, r))
}

// refuse gives every open leg the same refusal.
func (d *desk) refuse(now clock.Milli, word reason.Code, run reason.Execution) int {
	return d.each(now, func(leg.Leg) leg.Result { return leg.Refused(word, run, "") })
}

// each answers every leg that is open now, but none sent meanwhile, and returns how many there were.
func (d *desk) each(now clock.Milli, result func(leg.Leg) leg.Result) int {
	n := 0
	for number := range len(d.sent) {
		if a, ok := d.open[number]; ok {
			n++
			d.answer(now, number, result(a.Leg))
		}
	}

	return n
}

// train lets the planner see enough quick legs to know the service's usual latency.
func (d *desk) train(now, span clock.Milli) {
	for i := range 20 {
		d.begin(now, request(fmt.Sprintf("train-%d", i), now+clock.Minute))
		for len(d.replies) == 0 {
			d.each(now+span, good)
		}
	}
}

func (d *desk) reply() *query.Reply {
	if len(d.replies) != 1 {
		return nil
	}

	return d.replies[0]
}

func (d *desk) count(k event.Kind) int {
	n := 0
	for _, e := range d.notes {
		if e.Kind == k {
			n++
		}
	}

	return n
}
