package client_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
	"jacinthferry/io/caller"
	"jacinthferry/io/rpc"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// patience bounds the wait for what must happen.
const patience = 20 * time.Second

// fake is a daemon at the callers' interface that does as the test says.
type fake struct {
	server *rpc.Server
	zone   string
	// answer is what it does with a query's or a submit's id; it may panic to cut the connection.
	answer func(ctx context.Context, id string) error
	// pause, if set, is waited for before entries are given.
	pause   func()
	entries atomic.Int64

	mu  sync.Mutex
	ids []string
}

func (f *fake) take(ctx context.Context, id string) error {
	f.mu.Lock()
	f.ids = append(f.ids, id)
	f.mu.Unlock()

	return f.answer(ctx, id)
}

func (f *fake) seen() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]string(nil), f.ids...)
}

// deployment is a list of fakes that name each other as entries.
type deployment struct {
	fakes []*fake
	keep  clock.Milli
}

func (d *deployment) list(zone string) []caller.Entry {
	var near, far []caller.Entry
	for _, f := range d.fakes {
		e := caller.Entry{Address: f.server.Address(), Zone: f.zone}
		if f.zone == zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}

	return append(near, far...)
}

func (d *deployment) add(zone string, answer func(context.Context, string) error) *fake {
	f := &fake{zone: zone, answer: answer}
	var err error
	f.server, err = rpc.Listen("127.0.0.1:0", caller.Handler(caller.Service{
		Now: timer.NewClock(), Deadline: clock.Second, NewID: client.NewID,
		Entries: func(zone string) ([]caller.Entry, clock.Milli) {
			f.entries.Add(1)
			if f.pause != nil {
				f.pause()
			}

			return d.list(zone), d.keep
		},
		Query: func(ctx context.Context, r query.Request) (*query.Reply, error) {
			if err := f.take(ctx, r.ID); err != nil {
				return nil, err
			}

			return &query.Reply{Snapshot: "s", Covered: 1, Total: 1}, nil
		},
		Submit: func(ctx context.Context, s submit.Request) (string, error) {
			if err := f.take(ctx, s.ID); err != nil {
				return "", err
			}

			return "done " + s.ID, nil
		},
	}))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.server.Close)
	d.fakes = append(d.fakes, f)

	return f
}

func well(context.Context, string) error { return nil }

func cut(context.Context, string) error { panic(http.ErrAbortHandler) }

func refuse(word reason.Code, run reason.Execution) func(context.Context, string) error {
	return func(context.Context, string) error { return reason.NewRefusal(word, run, "by the test") }
}

// silent keeps the caller waiting until it leaves.
func silent(ctx context.Context, _ string) error {
	<-ctx.Done()

	return ctx.Err()
}

var _ = Describe("a client", func() {
	var d *deployment

	BeforeEach(func() { d = &deployment{keep: clock.Minute} })

	open := func() *client.Client { return client.New("zone-a", []string{d.fakes[0].server.Address()}) }
	ask := func(c *client.Client) error {
		_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(10 * clock.Second)})

		return err
	}
	failure := func(err error) *client.Error {
		var e *client.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)

		return e
	}

	It("prefers its own zone and spreads over the daemons there", func() {
		far := d.add("zone-b", well)
		near, other := d.add("zone-a", well), d.add("zone-a", well)
		c := open()
		for range 10 {
			Expect(ask(c)).To(Succeed())
		}
		Expect(far.seen()).To(BeEmpty())
		Expect(near.seen()).To(HaveLen(5))
		Expect(other.seen()).To(HaveLen(5))
	})

	It("keeps the entries for as long as told, and renews them in the background", func() {
		f := d.add("zone-a", well)
		c := open()
		for range 10 {
			Expect(ask(c)).To(Succeed())
		}
		Expect(f.entries.Load()).To(Equal(int64(1)))
		d.keep = 50 * clock.Millisecond
		c = open()
		Eventually(func() int64 {
			Expect(ask(c)).To(Succeed())

			return f.entries.Load()
		}).WithTimeout(patience).Should(BeNumerically(">", 3))
	})

	It("goes to the next daemon for what may be resent, and to none for the rest", func() {
		for _, c := range []struct {
			name   string
			first  func(context.Context, string) error
			resent bool
			want   reason.Refusal
		}{
			{"connection cut", cut, true, reason.Refusal{}},
			{"leaving", refuse(reason.Draining, reason.NotExecuted), true, reason.Refusal{}},
			{"no configuration", refuse(reason.Configuration, reason.NotExecuted), true, reason.Refusal{}},
			{"stopping", refuse(reason.Cancelled, reason.ExecutionUnknown), true, reason.Refusal{}},
			{"overload", refuse(reason.Overload, reason.NotExecuted), false, reason.Refusal{Reason: reason.Overload, Run: reason.NotExecuted}},
			{"no such service", refuse(reason.Service, reason.NotExecuted), false, reason.Refusal{Reason: reason.Service, Run: reason.NotExecuted}},
			{"coverage", refuse(reason.Coverage, reason.Executed), false, reason.Refusal{Reason: reason.Coverage, Run: reason.Executed}},
			{"quarantine", refuse(reason.Quarantine, reason.NotExecuted), false, reason.Refusal{Reason: reason.Quarantine, Run: reason.NotExecuted}},
			{"upstreams unreachable", refuse(reason.Connection, reason.ExecutionUnknown), false, reason.Refusal{Reason: reason.Connection, Run: reason.ExecutionUnknown}},
		} {
			d = &deployment{keep: clock.Minute}
			first := d.add("zone-a", c.first)
			next := d.add("zone-b", well)
			err := ask(open())
			Expect(first.seen()).To(HaveLen(1), c.name)
			if c.resent {
				Expect(err).NotTo(HaveOccurred(), c.name)
				Expect(next.seen()).To(Equal(first.seen()), c.name)

				continue
			}
			e := failure(err)
			Expect(next.seen()).To(BeEmpty(), c.name)
			Expect(reason.Refusal{Reason: e.Refusal.Reason, Run: e.Refusal.Run}).To(Equal(c.want), c.name)
			Expect(e.Attempts).To(Equal(1), c.name)
		}
	})

	It("resends a submit under its own id only, and says when the outcome is unknown", func() {
		first := d.add("zone-a", cut)
		next := d.add("zone-b", well)
		c := open()
		outcome, err := c.Submit(context.Background(), client.Submit{Service: "s", Body: "order"})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.seen()).To(HaveLen(1))
		Expect(next.seen()).To(Equal(first.seen()))
		Expect(outcome).To(Equal("done " + first.seen()[0]))
		next.answer = refuse(reason.Store, reason.NotExecuted)
		c = open()
		mine := client.NewID()
		_, err = c.Submit(context.Background(), client.Submit{ID: mine, Service: "s", Body: "order"})
		e := failure(err)
		Expect(e.ID).To(Equal(mine))
		Expect(e.Refusal.Run).To(Equal(reason.ExecutionUnknown))
		Expect(next.seen()).To(ContainElement(mine))
	})

	It("asks another daemon when one keeps silent, and then asks the silent one last", func() {
		first := d.add("zone-a", silent)
		next := d.add("zone-b", well)
		c := open()
		for range 5 {
			_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(2 * clock.Second)})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(first.seen()).To(HaveLen(1))
		Expect(next.seen()).To(HaveLen(5))
	})

	It("finds a paused daemon by a probe, and uses it again once it answers one", func() {
		var paused atomic.Bool
		release := make(chan struct{})
		pause := func(ctx context.Context, _ string) error {
			if paused.Load() {
				<-release
			}

			return ctx.Err()
		}
		first, next := d.add("zone-a", pause), d.add("zone-b", well)
		first.pause = func() { _ = pause(context.Background(), "") }
		p := client.DefaultPolicy()
		p.Avoid = 10 * clock.Millisecond
		c := open().WithPolicy(p)
		Expect(ask(c)).To(Succeed())
		paused.Store(true)
		_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(50 * clock.Second)})
		Expect(err).NotTo(HaveOccurred())
		Expect(next.seen()).To(HaveLen(1))
		for range 10 {
			Expect(ask(c)).To(Succeed())
		}
		Expect(first.seen()).To(HaveLen(2))
		paused.Store(false)
		close(release)
		Eventually(func() int {
			Expect(ask(c)).To(Succeed())

			return len(first.seen())
		}).WithTimeout(patience).Should(BeNumerically(">", 2))
	})

	It("spends no more resends than its budget", func() {
		first, next := d.add("zone-a", cut), d.add("zone-b", cut)
		p := client.DefaultPolicy()
		p.Burst, p.Ratio, p.Avoid = 2, 0, 0
		c := open().WithPolicy(p)
		for range 10 {
			Expect(ask(c)).NotTo(Succeed())
		}
		Expect(len(first.seen()) + len(next.seen())).To(Equal(12))
	})

	It("refuses an answer to another request", func() {
		server, err := rpc.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write([]byte(`{"id":"another","total":1,"covered":1}`))
		}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		now := timer.NewClock()
		_, err = caller.New(server.Address(), http.DefaultClient, now).
			Query(context.Background(), query.Request{ID: "mine", Deadline: now() + clock.Second})
		Expect(err).To(MatchError(ContainSubstring("mismatch")))
	})

	It("says not run when no daemon can be reached or the deadline is past", func() {
		d.add("zone-a", well)
		c := open()
		_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(-1)})
		Expect(failure(err).Refusal.Run).To(Equal(reason.NotExecuted))
		e := failure(ask(client.New("zone-a", []string{"127.0.0.1:1"})))
		Expect(e.Refusal.Run).To(Equal(reason.NotExecuted), e.Error())
	})

	It("loses no query when daemons stop, one planned and one killed", func() {
		work := func(context.Context, string) error {
			time.Sleep(5 * time.Millisecond)

			return nil
		}
		planned, killed := d.add("zone-a", work), d.add("zone-a", work)
		d.add("zone-a", work)
		c := client.New("zone-a", []string{d.fakes[2].server.Address()})
		var all sync.WaitGroup
		var lost atomic.Int64
		for i := range 400 {
			switch i {
			case 100:
				all.Go(func() { _ = planned.server.Shutdown(context.Background()) })
			case 200:
				_ = killed.server.Close()
			}
			all.Go(func() {
				_, err := c.Query(context.Background(), query.Request{
					Service: "s", Deadline: c.Deadline(10 * clock.Second), Priority: leg.Urgent,
				})
				if err != nil {
					lost.Add(1)
				}
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		Expect(lost.Load()).To(BeZero())
	})
})
