package traffic_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/place"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/io/timer"
	"jacinthferry/io/traffic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const testTimeout = 20 * time.Second

var now = timer.NewClock()

// fleet is several groups that exchange their messages directly, and one upstream.
type fleet struct {
	mu          sync.Mutex
	groups      map[string]*traffic.Group
	tables      map[string]*atomic.Pointer[route.Table]
	isMember    map[string]*atomic.Bool
	partitioned atomic.Bool
	running     map[string]int
	// maxRunning is the highest number of legs that ran while several daemons had some.
	maxRunning int
	release    chan struct{}
	stopped    []string
	events     []event.Event
}

// testUpstream can run one leg while cold, and has two slots.
var testUpstream = config.Upstream{Name: "u", Zone: "z", Slots: 2, ColdLimit: 1, MaxConnections: 25}

func table(members ...string) *route.Table {
	var list []place.Member
	for _, name := range members {
		list = append(list, place.Member{Name: name, Zone: "z"})
	}

	return route.Build(1, config.Config{Services: []config.Service{{
		Name: "s", Versions: []config.Version{{Name: "v", Share: 1, Upstreams: []config.Upstream{testUpstream}}},
	}}}, list, nil)
}

func newFleet(hold bool, names ...string) *fleet {
	f := &fleet{
		groups: make(map[string]*traffic.Group), tables: make(map[string]*atomic.Pointer[route.Table]),
		isMember: make(map[string]*atomic.Bool), running: make(map[string]int), release: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for _, name := range names {
		f.tables[name], f.isMember[name] = new(atomic.Pointer[route.Table]), new(atomic.Bool)
		f.isMember[name].Store(true)
		f.groups[name] = traffic.New(1, traffic.Options{
			Self: name, Now: now, Table: f.tables[name].Load, IsMember: f.isMember[name].Load,
			RunLeg:               func(_ config.Upstream, l leg.Leg) admit.Outcome { return f.run(name, l) },
			CancelLeg:            func(_ config.Upstream, l leg.Leg) { f.stop(l) },
			OpenConnections:      func(config.Upstream) {},
			CloseIdleConnections: func(config.Upstream) {},
			SendHandover:         func(to string, m home.Message) { f.deliver(name, to, m) },
			Record:               f.record,
			QueuePolicy:          &admit.Policy{WarmupAnswers: 2, MaxQueued: 100, Priority: true, RewarmAfterGap: true, OverrunMargin: 50, StaleAfter: clock.Hour},
			HandoverConfig:       home.Config{MembershipLag: 200, MaxLegDuration: 200, OverrunMargin: 50}, EnableHandover: hold, HandoverPeers: 8,
		})
	}
	for _, g := range f.groups {
		g.Start(ctx)
	}

	return f
}

func (f *fleet) deliver(from, to string, m home.Message) {
	if g := f.groups[to]; g != nil && !f.partitioned.Load() {
		g.HandleHandover(from, m)
	}
}

func (f *fleet) record(e event.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

func (f *fleet) stop(l leg.Leg) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = append(f.stopped, l.Request)
}

// run runs a leg until the test releases it.
func (f *fleet) run(name string, l leg.Leg) admit.Outcome {
	f.count(name, 1)
	<-f.release
	f.count(name, -1)

	return admit.Outcome{Finished: true, Result: leg.Result{Answer: leg.Answer{Request: l.Request, Incarnation: "1"}}}
}

func (f *fleet) count(name string, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name] += by
	total, daemons := 0, 0
	for _, n := range f.running {
		total += n
		if n > 0 {
			daemons++
		}
	}
	if daemons > 1 {
		f.maxRunning = max(f.maxRunning, total)
	}
}

func (f *fleet) runningLegs(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.running[name]
}

// peak returns the highest number of legs that ran while several daemons had some.
func (f *fleet) peak() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.maxRunning
}

func (f *fleet) setTable(name string, members ...string) {
	f.tables[name].Store(table(members...))
	f.groups[name].HandleTableChange()
}

// offer schedules a leg at a daemon and returns the channel for its result.
func (f *fleet) offer(name, request string, id uint64) chan leg.Result {
	results := make(chan leg.Result, 1)
	f.groups[name].ScheduleLeg("caller", id, leg.Leg{
		Request: request, Service: "s", Upstream: "u", Deadline: now() + clock.Minute, Priority: leg.Routine,
	}, func(r leg.Result) { results <- r })

	return results
}

func (f *fleet) refusalReason(name string, id uint64) reason.Code {
	var r leg.Result
	select {
	case r = <-f.offer(name, "probe", id):
	case <-time.After(50 * time.Millisecond):
		// The leg runs at the upstream.
		return ""
	}
	if r.Refusal == nil {
		return ""
	}
	Expect(r.Refusal.Run).To(Equal(reason.NotExecuted))

	return r.Refusal.Reason
}

var _ = Describe("a home", func() {
	first := place.Home("u", "z", []place.Member{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}})
	second := map[string]string{"a": "b", "b": "a"}[first]

	// secondHolds makes the second daemon the holder and warms the upstream up.
	secondHolds := func(f *fleet) {
		f.setTable(second, second)
		Eventually(f.groups[second].HoldsAssigned).WithTimeout(testTimeout).Should(BeTrue())
		for i := range uint64(6) {
			done := f.offer(second, "warm", i)
			f.release <- struct{}{}
			Eventually(done).WithTimeout(testTimeout).Should(Receive())
		}
	}

	It("refuses legs as not executed before it holds the upstream", func() {
		f := newFleet(true, "a", "b")
		f.setTable(first, "a", "b")
		f.partitioned.Store(true)
		Expect(f.refusalReason(first, 1)).To(Equal(reason.Home))
		Expect(f.refusalReason(second, 2)).To(Equal(reason.Replica), "no table yet")
	})

	It("takes over once the former home has confirmed that its legs ended", func() {
		f := newFleet(true, "a", "b")
		secondHolds(f)
		running := []chan leg.Result{f.offer(second, "x", 10), f.offer(second, "y", 11), f.offer(second, "z", 12)}
		Eventually(func() int { return f.runningLegs(second) }).WithTimeout(testTimeout).Should(Equal(2))
		f.setTable(second, "a", "b")
		f.setTable(first, "a", "b")
		Eventually(running[2]).WithTimeout(testTimeout).Should(Receive(HaveField("Refusal.Reason", reason.Home)))
		Consistently(func() reason.Code { return f.refusalReason(first, 20) }).WithTimeout(100 * time.Millisecond).Should(Equal(reason.Home))
		f.release <- struct{}{}
		f.release <- struct{}{}
		Eventually(f.groups[first].HoldsAssigned).WithTimeout(testTimeout).Should(BeTrue())
		done := f.offer(first, "next", 30)
		f.release <- struct{}{}
		Eventually(done).WithTimeout(testTimeout).Should(Receive(HaveField("Refusal", BeNil())))
		Expect(f.peak()).To(BeZero(), "both daemons never had legs running at once")
	})

	DescribeTable("beside a daemon with an outdated table",
		func(hold bool, maxRunning int) {
			f := newFleet(hold, "a", "b")
			secondHolds(f)
			// The first daemon's table has both daemons. The second's has only itself, so that it
			// considers itself the home.
			f.partitioned.Store(true)
			f.setTable(first, "a", "b")
			for i := range uint64(4) {
				f.offer(second, fmt.Sprint("s", i), 10+i)
				f.offer(first, fmt.Sprint("f", i), 20+i)
			}
			Eventually(func() int { return f.runningLegs(second) }).WithTimeout(testTimeout).Should(Equal(2))
			Consistently(f.peak).WithTimeout(200 * time.Millisecond).Should(BeNumerically("<=", maxRunning))
			close(f.release)
			if !hold {
				Expect(f.peak()).To(BeNumerically(">", testUpstream.ColdLimit), "both daemons send when the hand-over is off")
			}
		},
		Entry("does not send while the other daemon does", true, 0),
		Entry("sends while the other daemon does when the hand-over is off", false, 4),
	)

	It("refuses legs when the other daemons no longer consider it a member", func() {
		f := newFleet(true, "a", "b")
		secondHolds(f)
		f.isMember[second].Store(false)
		Eventually(f.groups[second].HoldsAssigned).WithTimeout(testTimeout).Should(BeFalse())
		Eventually(func() reason.Code { return f.refusalReason(second, 40) }).WithTimeout(testTimeout).Should(Equal(reason.Home))
	})

	It("counts a cancelled leg as running until the upstream has ended it", func() {
		f := newFleet(true, "a", "b")
		secondHolds(f)
		f.offer(second, "x", 10)
		f.offer(second, "y", 11)
		Eventually(func() int { return f.runningLegs(second) }).WithTimeout(testTimeout).Should(Equal(2))
		f.groups[second].CancelLeg("caller", 10, "u")
		f.offer(second, "z", 12)
		Eventually(func() []string {
			f.mu.Lock()
			defer f.mu.Unlock()

			return f.stopped
		}).WithTimeout(testTimeout).Should(Equal([]string{"x"}))
		Consistently(func() int { return f.runningLegs(second) }).WithTimeout(100 * time.Millisecond).Should(Equal(2))
		f.release <- struct{}{}
		Consistently(func() int { return f.runningLegs(second) }).WithTimeout(50 * time.Millisecond).Should(BeNumerically("<=", 2))
		close(f.release)
	})
})
