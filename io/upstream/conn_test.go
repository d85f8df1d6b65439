package upstream_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/io/timer"
	"jacinthferry/io/upstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

const generous = 20 * time.Second

var now = timer.NewClock()

// fake is an upstream whose answers are scripted, behind a counting listener.
type fake struct {
	run     func(context.Context, leg.Leg) leg.Result
	running atomic.Int64
	opened  atomic.Int64
	most    atomic.Int64
	server  *httptest.Server
	mu      sync.Mutex
	broken  []reason.Code
	conns   []net.Conn
}

func newFake() *fake {
	f := &fake{run: func(_ context.Context, l leg.Leg) leg.Result { return leg.Result{Answer: echo(l)} }}
	f.server = httptest.NewUnstartedServer(upstream.Handler(upstream.Upstream{
		Run: func(ctx context.Context, l leg.Leg) leg.Result {
			f.running.Add(1)
			defer f.running.Add(-1)

			return f.run(ctx, l)
		},
		Report: func() upstream.Report { return upstream.Report{Load: leg.Load{Running: int(f.running.Load())}} },
	}))
	f.server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			f.opened.Add(1)
			f.most.Store(max(f.most.Load(), f.held(c)))
		}
	}
	f.server.Start()
	DeferCleanup(f.server.CloseClientConnections)

	return f
}

// held adds a connection and returns how many the other end holds open. Those that it closed do not
// count, also when this end has yet to take note of that.
func (f *fake) held(c net.Conn) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
	n := int64(0)
	for _, c := range f.conns {
		if established(c) {
			n++
		}
	}

	return n
}

// established reports whether neither end has closed a connection.
func established(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})

	return err == nil && open
}

func echo(l leg.Leg) leg.Answer {
	return leg.Answer{Request: l.Request, Shard: l.Shard, Snapshot: l.Snapshot, Incarnation: "1"}
}

func (f *fake) client(connections int, silent, fresh clock.Milli) *upstream.Pool {
	c := upstream.NewPool(f.server.Listener.Addr().String(), upstream.Options{
		Now: now, Connections: connections, Slots: 2, Margin: 100, Silent: silent, Fresh: fresh,
		Broken: func(why reason.Code) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.broken = append(f.broken, why)
		},
	})
	DeferCleanup(c.Close)

	return c
}

func (f *fake) causes() []reason.Code {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]reason.Code(nil), f.broken...)
}

// search returns a leg whose deadline is a span away.
func search(request string, span clock.Milli) leg.Leg {
	return leg.Leg{Request: request, Snapshot: "s", Deadline: now() + span}
}

func start(c *upstream.Pool, l leg.Leg) chan admit.Outcome {
	done := make(chan admit.Outcome, 1)
	go func() { done <- c.Run(l) }()

	return done
}

var _ = Describe("connections", func() {
	It("are opened ahead, used, and never exceed the limit", func() {
		f := newFake()
		c := f.client(8, 1500, 1000)
		c.Prepare()
		Eventually(f.opened.Load).WithTimeout(generous).Should(BeEquivalentTo(2))
		Expect(c.Run(search("a", 5000)).Result.Refusal).To(BeNil())
		Expect(f.opened.Load()).To(BeEquivalentTo(2), "no other connection was opened")
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			time.Sleep(time.Millisecond)

			return leg.Result{Answer: echo(l)}
		}
		var done []chan admit.Outcome
		for range 50 {
			done = append(done, start(c, search("b", 5000)))
		}
		for _, d := range done {
			Eventually(d).WithTimeout(generous).Should(Receive(HaveField("Finished", BeTrue())))
		}
		Expect(f.most.Load()).To(BeNumerically("<=", 4), "half of the upstream's connections")
	})

	It("outlast legs that waited too long for one", func() {
		f := newFake()
		c := f.client(8, 1500, 1000)
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			time.Sleep(30 * time.Millisecond)

			return leg.Result{Answer: echo(l)}
		}
		var done []chan admit.Outcome
		for range 50 {
			done = append(done, start(c, search("b", 5000)))
		}
		for _, d := range done {
			Eventually(d).WithTimeout(generous).Should(Receive(HaveField("Finished", BeTrue())))
		}
		Expect(f.most.Load()).To(BeNumerically("<=", 4), "half of the upstream's connections")
	})

	It("are retired when they are silent while a new one answers", func() {
		f := newFake()
		block := make(chan struct{})
		DeferCleanup(func() { close(block) })
		f.run = func(_ context.Context, _ leg.Leg) leg.Result {
			f.running.Add(-1)
			defer f.running.Add(1)
			<-block

			return leg.Refused(reason.Failed, reason.Executed, "")
		}
		c := f.client(25, 300, 1000)
		done := start(c, search("a", 60_000))
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					c.Inspect()
				}
			}
		}()
		var o admit.Outcome
		Eventually(done).WithTimeout(generous).Should(Receive(&o))
		Expect(o.Result.Refusal.Reason).To(Equal(reason.Silent))
		Expect(o.Result.Refusal.Run).To(Equal(reason.ExecutionUnknown))
		Expect(o.Finished).To(BeFalse())
		Expect(f.causes()).To(Equal([]reason.Code{reason.Silent}))
	})

	It("carry no submit when they were not heard of late", func() {
		f := newFake()
		c := f.client(25, 1500, 30)
		submit := func(id string) admit.Outcome {
			l := search(id, 5000)
			l.Submit = true

			return c.Run(l)
		}
		Expect(submit("a").Result.Refusal).To(BeNil())
		Expect(submit("b").Result.Refusal).To(BeNil())
		Expect(f.opened.Load()).To(BeEquivalentTo(1))
		time.Sleep(60 * time.Millisecond)
		Expect(submit("c").Result.Refusal).To(BeNil())
		Expect(f.opened.Load()).To(BeEquivalentTo(2), "a new connection was opened instead")
	})
})

var _ = Describe("a leg", func() {
	It("that is stopped ends at the upstream, which confirms it on an unharmed connection", func() {
		f := newFake()
		f.run = func(ctx context.Context, _ leg.Leg) leg.Result {
			<-ctx.Done()

			return leg.Refused(reason.Cancelled, reason.Executed, "")
		}
		c := f.client(25, 1500, 1000)
		l := search("a", 60_000)
		done := start(c, l)
		Eventually(f.running.Load).WithTimeout(generous).Should(BeEquivalentTo(1))
		c.Stop(l)
		var o admit.Outcome
		Eventually(done).WithTimeout(generous).Should(Receive(&o))
		Expect(o.Finished).To(BeTrue())
		Expect(o.Result.Refusal.Reason).To(Equal(reason.Cancelled))
		Expect(f.causes()).To(BeEmpty())
	})

	It("does not take the answer to another one", func() {
		f := newFake()
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			a := echo(l)
			a.Request = "other"

			return leg.Result{Answer: a}
		}
		c := f.client(25, 1500, 1000)
		o := c.Run(search("a", 5000))
		Expect(o.Result.Refusal.Reason).To(Equal(reason.Mismatch))
		Expect(f.causes()).To(Equal([]reason.Code{reason.Mismatch}))
	})

	It("is not sent by a process that stood still after deciding to", func() {
		f := newFake()
		var stands atomic.Bool
		var lost atomic.Int64
		c := upstream.NewPool(f.server.Listener.Addr().String(), upstream.Options{
			Now: func() clock.Milli {
				if stands.Load() {
					lost.Add(1)
				}

				return now() + clock.Milli(lost.Load())*clock.Second
			},
			Connections: 25, Slots: 2, Margin: 100, Silent: 1500, Fresh: 1000, Broken: func(reason.Code) {},
		})
		DeferCleanup(c.Close)
		Expect(c.Run(search("a", 5000)).Result.Refusal).To(BeNil())
		var ran atomic.Bool
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			ran.Store(true)

			return leg.Result{Answer: echo(l)}
		}
		stands.Store(true)
		o := c.Run(search("b", 60_000))
		Expect(o.Result.Refusal.Run).To(Equal(reason.NotExecuted))
		Expect(ran.Load()).To(BeFalse())
	})

	It("whose connection breaks is not known to have ended, and names the process", func() {
		f := newFake()
		c := f.client(25, 1500, 1000)
		Expect(c.Run(search("a", 5000)).Result.Refusal).To(BeNil())
		f.run = func(context.Context, leg.Leg) leg.Result { panic(http.ErrAbortHandler) }
		o := c.Run(search("b", 5000))
		Expect(o.Result.Refusal.Run).To(Equal(reason.ExecutionUnknown))
		Expect(o.Finished).To(BeFalse())
		Expect(o.Incarnation).To(Equal("1"))
	})

	It("is not run when no connection can be had", func() {
		f := newFake()
		c := f.client(25, 1500, 1000)
		f.server.Close()
		o := c.Run(search("a", 500))
		Expect(o.Result.Refusal.Run).To(Equal(reason.NotExecuted))
		Expect(o.Finished).To(BeTrue())
	})
})
