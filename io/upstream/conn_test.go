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

const testTimeout = 20 * time.Second

var now = timer.NewClock()

// fakeUpstream is an upstream with scripted answers that counts its connections.
type fakeUpstream struct {
	run     func(context.Context, leg.Leg) leg.Result
	running atomic.Int64
	opened  atomic.Int64
	maxOpen atomic.Int64
	server  *httptest.Server
	mu      sync.Mutex
	broken  []reason.Code
	conns   []net.Conn
}

func newFakeUpstream() *fakeUpstream {
	f := &fakeUpstream{run: func(_ context.Context, l leg.Leg) leg.Result { return leg.Result{Answer: echo(l)} }}
	f.server = httptest.NewUnstartedServer(upstream.Handler(upstream.Operations{
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
			f.maxOpen.Store(max(f.maxOpen.Load(), f.addConn(c)))
		}
	}
	f.server.Start()
	DeferCleanup(f.server.CloseClientConnections)

	return f
}

// addConn adds a connection and returns how many the other end holds open. Those that it closed do
// not count, even if this end has not noticed that yet.
func (f *fakeUpstream) addConn(c net.Conn) int64 {
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

// established reports whether neither end has closed the connection.
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

func (f *fakeUpstream) pool(connections int, silent, fresh clock.Milli) *upstream.Pool {
	c := upstream.NewPool(f.server.Listener.Addr().String(), upstream.Options{
		Now: now, MaxConnections: connections, Slots: 2, OverrunMargin: 100, SilenceTimeout: silent, MaxIdleForSubmit: fresh,
		OnConnectionFailure: func(code reason.Code) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.broken = append(f.broken, code)
		},
	})
	DeferCleanup(c.Close)

	return c
}

func (f *fakeUpstream) brokenReasons() []reason.Code {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]reason.Code(nil), f.broken...)
}

// search returns a leg whose deadline is timeout from now.
func search(request string, timeout clock.Milli) leg.Leg {
	return leg.Leg{Request: request, Snapshot: "s", Deadline: now() + timeout}
}

func start(c *upstream.Pool, l leg.Leg) chan admit.Outcome {
	done := make(chan admit.Outcome, 1)
	go func() { done <- c.Run(l) }()

	return done
}

var _ = Describe("connections", func() {
	It("are opened in advance, are used, and never exceed the limit", func() {
		f := newFakeUpstream()
		c := f.pool(8, 1500, 1000)
		c.OpenConnections()
		Eventually(f.opened.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(2))
		Expect(c.Run(search("a", 5000)).Result.Refusal).To(BeNil())
		Expect(f.opened.Load()).To(BeEquivalentTo(2), "no other connection is opened")
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			time.Sleep(time.Millisecond)

			return leg.Result{Answer: echo(l)}
		}
		var done []chan admit.Outcome
		for range 50 {
			done = append(done, start(c, search("b", 5000)))
		}
		for _, d := range done {
			Eventually(d).WithTimeout(testTimeout).Should(Receive(HaveField("Finished", BeTrue())))
		}
		Expect(f.maxOpen.Load()).To(BeNumerically("<=", 4), "half of the upstream's connections")
	})

	It("stay open after legs that waited too long for one", func() {
		f := newFakeUpstream()
		c := f.pool(8, 1500, 1000)
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			time.Sleep(30 * time.Millisecond)

			return leg.Result{Answer: echo(l)}
		}
		var done []chan admit.Outcome
		for range 50 {
			done = append(done, start(c, search("b", 5000)))
		}
		for _, d := range done {
			Eventually(d).WithTimeout(testTimeout).Should(Receive(HaveField("Finished", BeTrue())))
		}
		Expect(f.maxOpen.Load()).To(BeNumerically("<=", 4), "half of the upstream's connections")
	})

	It("are retired when they are silent while a new one answers", func() {
		f := newFakeUpstream()
		block := make(chan struct{})
		DeferCleanup(func() { close(block) })
		f.run = func(_ context.Context, _ leg.Leg) leg.Result {
			f.running.Add(-1)
			defer f.running.Add(1)
			<-block

			return leg.Refused(reason.Failed, reason.Executed, "")
		}
		c := f.pool(25, 300, 1000)
		done := start(c, search("a", 60_000))
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					c.RetireSilent()
				}
			}
		}()
		var o admit.Outcome
		Eventually(done).WithTimeout(testTimeout).Should(Receive(&o))
		Expect(o.Result.Refusal.Reason).To(Equal(reason.Silent))
		Expect(o.Result.Refusal.Run).To(Equal(reason.ExecutionUnknown))
		Expect(o.Finished).To(BeFalse())
		Expect(f.brokenReasons()).To(Equal([]reason.Code{reason.Silent}))
	})

	It("carry no submit when no bytes arrived on them recently", func() {
		f := newFakeUpstream()
		c := f.pool(25, 1500, 30)
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
		Expect(f.opened.Load()).To(BeEquivalentTo(2), "a new connection is opened instead")
	})
})

var _ = Describe("a leg", func() {
	It("ends at the upstream when it is cancelled, and its connection stays open", func() {
		f := newFakeUpstream()
		f.run = func(ctx context.Context, _ leg.Leg) leg.Result {
			<-ctx.Done()

			return leg.Refused(reason.Cancelled, reason.Executed, "")
		}
		c := f.pool(25, 1500, 1000)
		l := search("a", 60_000)
		done := start(c, l)
		Eventually(f.running.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		c.CancelLeg(l)
		var o admit.Outcome
		Eventually(done).WithTimeout(testTimeout).Should(Receive(&o))
		Expect(o.Finished).To(BeTrue())
		Expect(o.Result.Refusal.Reason).To(Equal(reason.Cancelled))
		Expect(f.brokenReasons()).To(BeEmpty())
	})

	It("is refused when the answer belongs to another leg", func() {
		f := newFakeUpstream()
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			a := echo(l)
			a.Request = "other"

			return leg.Result{Answer: a}
		}
		c := f.pool(25, 1500, 1000)
		o := c.Run(search("a", 5000))
		Expect(o.Result.Refusal.Reason).To(Equal(reason.Mismatch))
		Expect(f.brokenReasons()).To(Equal([]reason.Code{reason.Mismatch}))
	})

	It("is not sent by a process that was paused after the decision to send", func() {
		f := newFakeUpstream()
		var paused atomic.Bool
		var clockReads atomic.Int64
		c := upstream.NewPool(f.server.Listener.Addr().String(), upstream.Options{
			Now: func() clock.Milli {
				if paused.Load() {
					clockReads.Add(1)
				}

				return now() + clock.Milli(clockReads.Load())*clock.Second
			},
			MaxConnections: 25, Slots: 2, OverrunMargin: 100, SilenceTimeout: 1500, MaxIdleForSubmit: 1000, OnConnectionFailure: func(reason.Code) {},
		})
		DeferCleanup(c.Close)
		Expect(c.Run(search("a", 5000)).Result.Refusal).To(BeNil())
		var ran atomic.Bool
		f.run = func(_ context.Context, l leg.Leg) leg.Result {
			ran.Store(true)

			return leg.Result{Answer: echo(l)}
		}
		paused.Store(true)
		o := c.Run(search("b", 60_000))
		Expect(o.Result.Refusal.Run).To(Equal(reason.NotExecuted))
		Expect(ran.Load()).To(BeFalse())
	})

	It("is not known to have ended when its connection breaks, and its outcome has the incarnation", func() {
		f := newFakeUpstream()
		c := f.pool(25, 1500, 1000)
		Expect(c.Run(search("a", 5000)).Result.Refusal).To(BeNil())
		f.run = func(context.Context, leg.Leg) leg.Result { panic(http.ErrAbortHandler) }
		o := c.Run(search("b", 5000))
		Expect(o.Result.Refusal.Run).To(Equal(reason.ExecutionUnknown))
		Expect(o.Finished).To(BeFalse())
		Expect(o.Incarnation).To(Equal("1"))
	})

	It("is reported as not executed when no connection can be opened", func() {
		f := newFakeUpstream()
		c := f.pool(25, 1500, 1000)
		f.server.Close()
		o := c.Run(search("a", 500))
		Expect(o.Result.Refusal.Run).To(Equal(reason.NotExecuted))
		Expect(o.Finished).To(BeTrue())
	})
})
