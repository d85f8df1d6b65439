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

const generous = 20 * time.Second

var now = timer.NewClock()

// fleet is a few groups whose messages go straight to each other, and one upstream.
type fleet struct {
	mu      sync.Mutex
	groups  map[string]*traffic.Group
	tables  map[string]*atomic.Pointer[route.Table]
	stands  map[string]*atomic.Bool
	cut     atomic.Bool
	running map[string]int
	// most is the highest number of legs that ran while several daemons had some.
	most    int
	release chan struct{}
	stopped []string
	events  []event.Event
}

// The upstream bears one leg while cold and has two slots.
var theUpstream = config.Upstream{Name: "u", Zone: "z", Slots: 2, Bears: 1, Connections: 25}

func table(members ...string) *route.Table {
	var list []place.Member
	for _, name := range members {
		list = append(list, place.Member{Name: name, Zone: "z"})
	}

	return route.Build(1, config.Config{Services: []config.Service{{
		Name: "s", Versions: []config.Version{{Name: "v", Share: 1, Upstreams: []config.Upstream{theUpstream}}},
	}}}, list, nil)
}

func newFleet(hold bool, names ...string) *fleet {
	f := &fleet{
		groups: make(map[string]*traffic.Group), tables: make(map[string]*atomic.Pointer[route.Table]),
		stands: make(map[string]*atomic.Bool), running: make(map[string]int), release: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for _, name := range names {
		f.tables[name], f.stands[name] = new(atomic.Pointer[route.Table]), new(atomic.Bool)
		f.stands[name].Store(true)
		f.groups[name] = traffic.New(1, traffic.Ports{
			Self: name, Now: now, Table: f.tables[name].Load, Standing: f.stands[name].Load,
			Run:      func(_ config.Upstream, l leg.Leg) admit.Outcome { return f.run(name, l) },
			Stop:     func(_ config.Upstream, l leg.Leg) { f.stop(l) },
			Prepare:  func(config.Upstream) {},
			Leave:    func(config.Upstream) {},
			Handover: func(to string, m home.Message) { f.pass(name, to, m) },
			Record:   f.record,
			Admit:    &admit.Policy{Warm: 2, Queue: 100, Priority: true, Guard: true, Margin: 50, Stale: clock.Hour},
			Rules:    home.Config{MembershipLag: 200, MaxLegDuration: 200, OverrunMargin: 50}, Hold: hold, Ask: 8,
		})
	}
	for _, g := range f.groups {
		g.Start(ctx)
	}

	return f
}

func (f *fleet) pass(from, to string, m home.Message) {
	if g := f.groups[to]; g != nil && !f.cut.Load() {
		g.Handover(from, m)
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
	all, several := 0, 0
	for _, n := range f.running {
		all += n
		if n > 0 {
			several++
		}
	}
	if several > 1 {
		f.most = max(f.most, all)
	}
}

func (f *fleet) ran(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.running[name]
}

// peak returns the highest number of legs that ran while several daemons had some.
func (f *fleet) peak() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.most
}

func (f *fleet) set(name string, members ...string) {
	f.tables[name].Store(table(members...))
	f.groups[name].Update()
}

// offer offers a leg to a daemon and returns where its result comes.
func (f *fleet) offer(name, request string, id uint64) chan leg.Result {
	results := make(chan leg.Result, 1)
	f.groups[name].Offer("caller", id, leg.Leg{
		Request: request, Service: "s", Upstream: "u", Deadline: now() + clock.Minute, Priority: leg.Routine,
	}, func(r leg.Result) { results <- r })

	return results
}

func (f *fleet) word(name string, id uint64) reason.Code {
	var r leg.Result
	select {
	case r = <-f.offer(name, "probe", id):
	case <-time.After(50 * time.Millisecond):
		// It runs at the upstream.
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

	// held lets the second daemon become the holder and warms the upstream up.
	held := func(f *fleet) {
		f.set(second, second)
		Eventually(f.groups[second].Settled).WithTimeout(generous).Should(BeTrue())
		for i := range uint64(6) {
			done := f.offer(second, "warm", i)
			f.release <- struct{}{}
			Eventually(done).WithTimeout(generous).Should(Receive())
		}
	}

	It("refuses legs, not run, before it holds the upstream", func() {
		f := newFleet(true, "a", "b")
		f.set(first, "a", "b")
		f.cut.Store(true)
		Expect(f.word(first, 1)).To(Equal(reason.Home))
		Expect(f.word(second, 2)).To(Equal(reason.Replica), "no table yet")
	})

	It("takes over when the former home has confirmed that its legs ended", func() {
		f := newFleet(true, "a", "b")
		held(f)
		running := []chan leg.Result{f.offer(second, "x", 10), f.offer(second, "y", 11), f.offer(second, "z", 12)}
		Eventually(func() int { return f.ran(second) }).WithTimeout(generous).Should(Equal(2))
		f.set(second, "a", "b")
		f.set(first, "a", "b")
		Eventually(running[2]).WithTimeout(generous).Should(Receive(HaveField("Refusal.Reason", reason.Home)))
		Consistently(func() reason.Code { return f.word(first, 20) }).WithTimeout(100 * time.Millisecond).Should(Equal(reason.Home))
		f.release <- struct{}{}
		f.release <- struct{}{}
		Eventually(f.groups[first].Settled).WithTimeout(generous).Should(BeTrue())
		done := f.offer(first, "next", 30)
		f.release <- struct{}{}
		Eventually(done).WithTimeout(generous).Should(Receive(HaveField("Refusal", BeNil())))
		Expect(f.peak()).To(BeZero(), "never did both have legs running")
	})

	DescribeTable("whose table lags",
		func(hold bool, most int) {
			f := newFleet(hold, "a", "b")
			held(f)
			// The first daemon knows both; the second still knows itself alone, and believes to be home.
			f.cut.Store(true)
			f.set(first, "a", "b")
			for i := range uint64(4) {
				f.offer(second, fmt.Sprint("s", i), 10+i)
				f.offer(first, fmt.Sprint("f", i), 20+i)
			}
			Eventually(func() int { return f.ran(second) }).WithTimeout(generous).Should(Equal(2))
			Consistently(f.peak).WithTimeout(200 * time.Millisecond).Should(BeNumerically("<=", most))
			close(f.release)
			if !hold {
				Expect(f.peak()).To(BeNumerically(">", theUpstream.Bears), "without hand-over both send")
			}
		},
		Entry("does not send beside the other one", true, 0),
		Entry("sends beside the other one when the hand-over is off", false, 4),
	)

	It("that other daemons do not count any more refuses", func() {
		f := newFleet(true, "a", "b")
		held(f)
		f.stands[second].Store(false)
		Eventually(f.groups[second].Settled).WithTimeout(generous).Should(BeFalse())
		Eventually(func() reason.Code { return f.word(second, 40) }).WithTimeout(generous).Should(Equal(reason.Home))
	})

	It("counts a leg whose caller left until its end is known", func() {
		f := newFleet(true, "a", "b")
		held(f)
		f.offer(second, "x", 10)
		f.offer(second, "y", 11)
		Eventually(func() int { return f.ran(second) }).WithTimeout(generous).Should(Equal(2))
		f.groups[second].Cancel("caller", 10, "u")
		f.offer(second, "z", 12)
		Eventually(func() []string {
			f.mu.Lock()
			defer f.mu.Unlock()

			return f.stopped
		}).WithTimeout(generous).Should(Equal([]string{"x"}))
		Consistently(func() int { return f.ran(second) }).WithTimeout(100 * time.Millisecond).Should(Equal(2))
		f.release <- struct{}{}
		Consistently(func() int { return f.ran(second) }).WithTimeout(50 * time.Millisecond).Should(BeNumerically("<=", 2))
		close(f.release)
	})
})
