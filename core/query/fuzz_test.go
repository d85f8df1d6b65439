package query_test

import (
	"flag"
	"testing"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"

	"pgregory.net/rapid"
)

// seed makes the sequences of TestAnySequence reproducible.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

// machine drives one query with a random sequence of events and checks its invariants after each event.
type machine struct {
	*harness
	now          clock.Milli
	deadline     clock.Milli
	fullCoverage bool
	answered     map[string]map[int]bool
}

func newMachine(t *rapid.T) *machine {
	shards := rapid.IntRange(1, 12).Draw(t, "shards")
	upstreams := rapid.IntRange(1, 6).Draw(t, "upstreams")
	l := layout{
		upstreams: upstreams, replicas: rapid.IntRange(1, upstreams).Draw(t, "replicas"),
		snapshots: []route.HeldSnapshot{snapshot(1, shards)},
	}
	m := &machine{
		harness: newHarness(l, policy(), trackerConfig(rapid.Bool().Draw(t, "canary"))), now: clock.Minute,
		answered: make(map[string]map[int]bool),
	}
	if rapid.Bool().Draw(t, "trained") {
		m.recordLatencies(m.now, 5)
	}
	m.deadline = m.now + clock.Milli(rapid.IntRange(1, 200).Draw(t, "time"))
	r := request("any", m.deadline)
	r.Partial = rapid.Bool().Draw(t, "partial")
	m.fullCoverage = !r.Partial
	m.begin(m.now, r)

	return m
}

func (m *machine) result(t *rapid.T, l leg.Leg) leg.Result {
	r := validResult(l)
	switch rapid.IntRange(0, 9).Draw(t, "outcome") {
	case 0:
		r.Answer.Snapshot = "snapshot-9"
	case 1:
		r.Answer.Shard++
	case 2:
		r.Answer.Version = "v9"
	case 3:
		return leg.Refused(reason.Snapshot, reason.NotExecuted, "")
	case 4, 5:
		words := []reason.Code{
			reason.Overload, reason.Cold, reason.Connection, reason.Peer, reason.Failed, reason.Draining, reason.Invalid,
		}
		runs := []reason.Execution{reason.Executed, reason.NotExecuted, reason.ExecutionUnknown}

		return leg.Refused(rapid.SampledFrom(words).Draw(t, "word"), rapid.SampledFrom(runs).Draw(t, "run"), "")
	}

	return r
}

func (m *machine) answerAny(t *rapid.T) {
	number := rapid.IntRange(-1, len(m.sent)+1).Draw(t, "number")
	l := leg.Leg{}
	open := false
	if number >= 0 && number < len(m.sent) {
		l = m.sent[number].Leg
		_, open = m.open[number]
	}
	r := m.result(t, l)
	if open && r.Refusal == nil && r.Answer.Matches(l) && r.Answer.Version == l.Version {
		if m.answered[l.Snapshot] == nil {
			m.answered[l.Snapshot] = make(map[int]bool)
		}
		m.answered[l.Snapshot][l.Shard] = true
	}
	m.answer(m.now, number, r)
}

func (m *machine) advance(t *rapid.T) {
	m.now += clock.Milli(rapid.IntRange(0, 30).Draw(t, "span"))
	m.apply(m.query.HandleTimeout(m.now))
}

func (m *machine) repartition(t *rapid.T) {
	order := rapid.IntRange(1, 3).Draw(t, "order")
	m.table = layout{
		upstreams: 4, replicas: 2, snapshots: []route.HeldSnapshot{snapshot(order, rapid.IntRange(1, 12).Draw(t, "shards"))},
	}.table()
}

func (m *machine) abandon(*rapid.T) {
	if len(m.sent)%7 == 6 {
		m.apply(m.query.Abandon(m.now))
	}
}

// checkInvariants fails if an invariant of the query is violated.
func (m *machine) checkInvariants(t *rapid.T) {
	if len(m.responses) > 1 {
		t.Fatalf("query finished %d times, want at most once", len(m.responses))
	}
	if m.query.Done() && len(m.open) > 0 {
		t.Fatalf("%d legs are open after the query is done", len(m.open))
	}
	for _, r := range m.responses {
		if r.Covered+len(r.Missing) != r.Total && r.Total > 0 {
			t.Fatalf("%d shards covered and %d missing, want a total of %d", r.Covered, len(r.Missing), r.Total)
		}
		if r.Covered > len(m.answered[r.Snapshot]) {
			t.Fatalf("covered %d shards of %s, but only %d answered", r.Covered, r.Snapshot, len(m.answered[r.Snapshot]))
		}
		if r.Refusal == nil && m.fullCoverage && r.Covered != r.Total {
			t.Fatalf("response covers %d of %d shards, want all", r.Covered, r.Total)
		}
		if r.Refusal != nil && r.Refusal.Run == reason.NotExecuted && len(m.answered) > 0 {
			t.Fatalf("refused as not executed after a leg was executed")
		}
		for _, miss := range r.Missing {
			if miss.Reason == "" {
				t.Fatalf("shard %d is missing without a reason", miss.Shard)
			}
		}
	}
}

func property(t *rapid.T) {
	m := newMachine(t)
	t.Repeat(map[string]func(*rapid.T){
		"answer": m.answerAny, "answer more": m.answerAny, "advance": m.advance,
		"repartition": m.repartition, "abandon": m.abandon, "": m.checkInvariants,
	})
	m.now = max(m.now, m.deadline)
	m.apply(m.query.HandleTimeout(m.now))
	if !m.query.Done() {
		t.Fatalf("query is not done at its deadline")
	}
	m.checkInvariants(t)
}

func TestAnySequence(t *testing.T) { rapid.Check(t, property) }

func FuzzSequence(f *testing.F) { f.Fuzz(rapid.MakeFuzz(property)) }
