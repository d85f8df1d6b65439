package rollout_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// upstreamOf returns an upstream of service s.
func upstreamOf(version string, start int64) *catalog.Upstream {
	return &catalog.Upstream{
		ID: fmt.Sprint(version, "-", start), Service: "s", Zone: "a", Slots: 1, Version: version, StartUnixMilli: start,
	}
}

var _ = Describe("The first order that is known", func() {
	v1, v2, v3 := upstreamOf("v1", 100), upstreamOf("v2", 200), upstreamOf("v3", 300)
	untold := upstreamOf("v1", 0)
	for _, c := range []struct {
		what      string
		version   string
		repeated  bool
		upstreams []*catalog.Upstream
		want      []string
	}{
		{"before its upstreams start", "v2", false, []*catalog.Upstream{v1}, []string{"v1"}},
		{"with its upstreams", "v2", false, []*catalog.Upstream{v1, v2}, []string{"v1"}},
		{"with others that started later", "v2", false, []*catalog.Upstream{v1, v2, v3}, []string{"v1"}},
		{"with two versions that ran", "v3", false, []*catalog.Upstream{v1, v2, v3}, []string{"v1", "v2"}},
		{"after another order", "v3", true, []*catalog.Upstream{v1, v2, v3}, []string{"v1"}},
		{"back, after another order", "v1", true, []*catalog.Upstream{v1, v2}, []string{"v1"}},
		{"of the only version", "v1", false, []*catalog.Upstream{v1}, nil},
		{"with upstreams that do not tell their start", "v2", false, []*catalog.Upstream{untold, v2}, []string{"v1"}},
		{"back, with upstreams that do not tell their start", "v1", false, []*catalog.Upstream{untold, v2}, []string{"v2"}},
		{"without upstreams", "v2", false, nil, nil},
	} {
		It("keeps the versions that ran: "+c.what, func() {
			o := rollout.Order{Service: "s", Version: c.version, Revision: 7, Repeated: c.repeated}
			p := rollout.Begin(start, o, rollout.Progress{}, c.upstreams)
			Expect(p.Rollout.Stable).To(Equal(c.want))
			stage := catalog.Canary
			if slices.Contains(c.want, c.version) {
				stage = catalog.Shifted
			}
			Expect(p.Rollout.Stage).To(Equal(stage))
		})
	}
})

var _ = Describe("A counter", func() {
	trial := func(version string, id int64) catalog.Rollout {
		return catalog.Rollout{Version: version, Stage: catalog.Canary, OrderRevision: id, TrialRevision: id, Stable: []string{"v1"}}
	}
	answer := func(version string) rollout.Sample {
		return rollout.Sample{Service: "s", Route: "r", Version: version}
	}

	It("keeps the counts of a trial when a late answer belongs to an earlier one", func() {
		counter := rollout.NewCounter()
		counter.Add(trial("v3", 8), answer("v3"))
		counter.Add(trial("v2", 7), answer("v2"))
		Expect(counter.Counts("s", trial("v3", 8))["r"].New).To(Equal(1))
		Expect(counter.Counts("s", trial("v2", 7))["r"].New).To(Equal(1))
	})

	It("does not compare a version with one whose trial was interrupted", func() {
		counter := rollout.NewCounter()
		third := trial("v3", 8)
		third.Withheld = []catalog.Trial{{Version: "v2", Revision: 7}}
		counter.Add(third, answer("v2"))
		counter.Add(third, answer("v1"))
		Expect(counter.Counts("s", third)["r"]).To(Equal(rollout.Counts{Old: 1, OldFailures: 1}))
	})

	It("holds the counts of some trials only", func() {
		counter := rollout.NewCounter()
		for id := range int64(100) {
			counter.Add(trial("v2", id+1), answer("v2"))
		}
		Expect(counter.Counts("s", trial("v2", 1))).To(BeNil())
		Expect(counter.Counts("s", trial("v2", 100))["r"].New).To(Equal(1))
	})
})

// service is a model of a service whose operators order versions, with the daemons' progress.
type service struct {
	upstreams []*catalog.Upstream
	// passed is the version that ran at first or the last one that completed.
	passed   string
	order    rollout.Order
	progress rollout.Progress
	now      clock.Milli
}

// begin orders a version, whose upstreams start if there are none.
func (s *service) begin(version string) {
	if !slices.ContainsFunc(s.upstreams, func(u *catalog.Upstream) bool { return u.Version == version }) {
		s.upstreams = append(s.upstreams, upstreamOf(version, int64(s.now)))
	}
	s.order = rollout.Order{
		Service: "s", Version: version, MaxDuration: 40 * clock.Second, Revision: s.order.Revision + 1, Seen: s.now,
		Repeated: s.order.Revision > 0,
	}
	s.progress = rollout.Begin(s.now, s.order, s.progress, s.upstreams)
}

// advance takes the next step, if one is due. The upstreams of other versions stop when it completes the rollout.
func (s *service) advance(verdict rollout.Verdict) {
	if s.progress.Rollout.IsStable(s.order.Version) || len(s.progress.Rollout.Stable) == 0 {
		// There is nothing to roll back to.
		verdict = rollout.Healthy
	}
	s.progress, _ = rollout.Next(s.now, s.order, s.progress, verdict)
	if s.progress.Rollout.Stage == catalog.Completed {
		s.passed = s.order.Version
		s.upstreams = slices.DeleteFunc(s.upstreams, func(u *catalog.Upstream) bool { return u.Version != s.passed })
	}
}

// TestOrderSequences plays random orders and verdicts, also with daemons that restart and miss orders, and checks that
// requests beyond a share go only to the version that ran at first or to versions that passed a trial.
func TestOrderSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{upstreams: []*catalog.Upstream{upstreamOf("v1", 1)}, passed: "v1", now: start}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.now += clock.Milli(rapid.IntRange(1, 20_000).Draw(t, "pause"))
			if s.order.Revision == 0 || rapid.Bool().Draw(t, "order") {
				if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					// No daemon has seen the orders before.
					s.progress = rollout.Progress{}
				}
				s.begin(rapid.SampledFrom([]string{"v1", "v2", "v3", "v4"}).Draw(t, "version"))
			} else {
				s.advance(rapid.SampledFrom([]rollout.Verdict{rollout.Undecided, rollout.Healthy, rollout.Regressed}).Draw(t, "verdict"))
			}
			s.check(t)
		}
	})
}

func (s *service) check(t *rapid.T) {
	stage := s.progress.Rollout.Stage
	view := catalog.NewView(nil, s.upstreams, nil).WithRollouts(map[string]catalog.Rollout{"s": s.progress.Rollout})
	for _, u := range view.Usable("s") {
		if u.Version != s.passed && (stage != catalog.Shifted || u.Version != s.order.Version) {
			t.Fatalf("%s takes requests, %s passed its trial: %v", u.Version, s.passed, s.progress)
		}
	}
	for _, u := range view.Canaries("s") {
		if u.Version != s.order.Version || stage != catalog.Canary {
			t.Fatalf("%s takes a share: %v", u.Version, s.progress)
		}
	}
	if len(view.Usable("s")) == 0 {
		t.Fatalf("no version takes requests: %v", s.progress)
	}
}
