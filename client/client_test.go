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

// eventuallyTimeout limits the wait for a condition that must become true.
const eventuallyTimeout = 20 * time.Second

// fakeDaemon serves the callers' interface as the test configures it.
type fakeDaemon struct {
	server *rpc.Server
	zone   string
	// respond handles the id of a query or a submit; it may panic to cut the connection.
	respond func(ctx context.Context, id string) error
	// beforeEntries, if set, is called before entries are returned.
	beforeEntries func()
	entryRequests atomic.Int64

	mu  sync.Mutex
	ids []string
}

func (f *fakeDaemon) handle(ctx context.Context, id string) error {
	f.mu.Lock()
	f.ids = append(f.ids, id)
	f.mu.Unlock()

	return f.respond(ctx, id)
}

func (f *fakeDaemon) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]string(nil), f.ids...)
}

// deployment is a list of fake daemons that return each other as entries.
type deployment struct {
	daemons []*fakeDaemon
	ttl     clock.Milli
}

func (d *deployment) entriesFor(zone string) []caller.Entry {
	var near, far []caller.Entry
	for _, f := range d.daemons {
		e := caller.Entry{Address: f.server.Address(), Zone: f.zone}
		if f.zone == zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}

	return append(near, far...)
}

func (d *deployment) add(zone string, respond func(context.Context, string) error) *fakeDaemon {
	f := &fakeDaemon{zone: zone, respond: respond}
	var err error
	f.server, err = rpc.Listen("127.0.0.1:0", caller.Handler(caller.Operations{
		Now: timer.NewClock(), DefaultTimeout: clock.Second, NewID: client.NewID,
		Entries: func(zone string) ([]caller.Entry, clock.Milli) {
			f.entryRequests.Add(1)
			if f.beforeEntries != nil {
				f.beforeEntries()
			}

			return d.entriesFor(zone), d.ttl
		},
		Query: func(ctx context.Context, r query.Request) (*query.Reply, error) {
			if err := f.handle(ctx, r.ID); err != nil {
				return nil, err
			}

			return &query.Reply{Snapshot: "s", Covered: 1, Total: 1}, nil
		},
		Submit: func(ctx context.Context, s submit.Request) (string, error) {
			if err := f.handle(ctx, s.ID); err != nil {
				return "", err
			}

			return "done " + s.ID, nil
		},
	}))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.server.Close)
	d.daemons = append(d.daemons, f)

	return f
}

func succeed(context.Context, string) error { return nil }

func abortConnection(context.Context, string) error { panic(http.ErrAbortHandler) }

func refuse(code reason.Code, run reason.Execution) func(context.Context, string) error {
	return func(context.Context, string) error { return reason.NewRefusal(code, run, "refused by the test") }
}

// neverRespond blocks until the caller cancels the request.
func neverRespond(ctx context.Context, _ string) error {
	<-ctx.Done()

	return ctx.Err()
}

var _ = Describe("a client", func() {
	var d *deployment

	BeforeEach(func() { d = &deployment{ttl: clock.Minute} })

	newClient := func() *client.Client { return client.New("zone-a", []string{d.daemons[0].server.Address()}) }
	sendQuery := func(c *client.Client) error {
		_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(10 * clock.Second)})

		return err
	}
	clientError := func(err error) *client.Error {
		var e *client.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)

		return e
	}

	It("prefers its own zone and spreads requests over the daemons there", func() {
		far := d.add("zone-b", succeed)
		near, other := d.add("zone-a", succeed), d.add("zone-a", succeed)
		c := newClient()
		for range 10 {
			Expect(sendQuery(c)).To(Succeed())
		}
		Expect(far.received()).To(BeEmpty())
		Expect(near.received()).To(HaveLen(5))
		Expect(other.received()).To(HaveLen(5))
	})

	It("caches the entries for their TTL and refreshes them in the background", func() {
		f := d.add("zone-a", succeed)
		c := newClient()
		for range 10 {
			Expect(sendQuery(c)).To(Succeed())
		}
		Expect(f.entryRequests.Load()).To(Equal(int64(1)))
		d.ttl = 50 * clock.Millisecond
		c = newClient()
		Eventually(func() int64 {
			Expect(sendQuery(c)).To(Succeed())

			return f.entryRequests.Load()
		}).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 3))
	})

	It("retries on the next daemon only if the error allows it", func() {
		for _, c := range []struct {
			name   string
			first  func(context.Context, string) error
			resent bool
			want   reason.Refusal
		}{
			{"connection cut", abortConnection, true, reason.Refusal{}},
			{"leaving", refuse(reason.Draining, reason.NotExecuted), true, reason.Refusal{}},
			{"no configuration", refuse(reason.Configuration, reason.NotExecuted), true, reason.Refusal{}},
			{"stopping", refuse(reason.Cancelled, reason.ExecutionUnknown), true, reason.Refusal{}},
			{"overload", refuse(reason.Overload, reason.NotExecuted), false, reason.Refusal{Reason: reason.Overload, Run: reason.NotExecuted}},
			{"no such service", refuse(reason.Service, reason.NotExecuted), false, reason.Refusal{Reason: reason.Service, Run: reason.NotExecuted}},
			{"coverage", refuse(reason.Coverage, reason.Executed), false, reason.Refusal{Reason: reason.Coverage, Run: reason.Executed}},
			{"quarantine", refuse(reason.Quarantine, reason.NotExecuted), false, reason.Refusal{Reason: reason.Quarantine, Run: reason.NotExecuted}},
			{"upstreams unreachable", refuse(reason.Connection, reason.ExecutionUnknown), false, reason.Refusal{Reason: reason.Connection, Run: reason.ExecutionUnknown}},
		} {
			d = &deployment{ttl: clock.Minute}
			first := d.add("zone-a", c.first)
			next := d.add("zone-b", succeed)
			err := sendQuery(newClient())
			Expect(first.received()).To(HaveLen(1), c.name)
			if c.resent {
				Expect(err).NotTo(HaveOccurred(), c.name)
				Expect(next.received()).To(Equal(first.received()), c.name)

				continue
			}
			e := clientError(err)
			Expect(next.received()).To(BeEmpty(), c.name)
			Expect(reason.Refusal{Reason: e.Refusal.Reason, Run: e.Refusal.Run}).To(Equal(c.want), c.name)
			Expect(e.Attempts).To(Equal(1), c.name)
		}
	})

	It("resends a submit under its own id only, and reports an unknown outcome", func() {
		first := d.add("zone-a", abortConnection)
		next := d.add("zone-b", succeed)
		c := newClient()
		outcome, err := c.Submit(context.Background(), client.Submit{Service: "s", Body: "order"})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.received()).To(HaveLen(1))
		Expect(next.received()).To(Equal(first.received()))
		Expect(outcome).To(Equal("done " + first.received()[0]))
		next.respond = refuse(reason.Store, reason.NotExecuted)
		c = newClient()
		id := client.NewID()
		_, err = c.Submit(context.Background(), client.Submit{ID: id, Service: "s", Body: "order"})
		e := clientError(err)
		Expect(e.ID).To(Equal(id))
		Expect(e.Refusal.Run).To(Equal(reason.ExecutionUnknown))
		Expect(next.received()).To(ContainElement(id))
	})

	It("sends the request to another daemon when one does not respond, and then tries the silent one last", func() {
		first := d.add("zone-a", neverRespond)
		next := d.add("zone-b", succeed)
		c := newClient()
		for range 5 {
			_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(2 * clock.Second)})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(first.received()).To(HaveLen(1))
		Expect(next.received()).To(HaveLen(5))
	})

	It("detects a paused daemon by a probe, and uses it again once it answers one", func() {
		var paused atomic.Bool
		release := make(chan struct{})
		waitWhilePaused := func(ctx context.Context, _ string) error {
			if paused.Load() {
				<-release
			}

			return ctx.Err()
		}
		first, next := d.add("zone-a", waitWhilePaused), d.add("zone-b", succeed)
		first.beforeEntries = func() { _ = waitWhilePaused(context.Background(), "") }
		p := client.DefaultPolicy()
		p.Avoid = 10 * clock.Millisecond
		c := newClient().WithPolicy(p)
		Expect(sendQuery(c)).To(Succeed())
		paused.Store(true)
		_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(50 * clock.Second)})
		Expect(err).NotTo(HaveOccurred())
		Expect(next.received()).To(HaveLen(1))
		for range 10 {
			Expect(sendQuery(c)).To(Succeed())
		}
		Expect(first.received()).To(HaveLen(2))
		paused.Store(false)
		close(release)
		Eventually(func() int {
			Expect(sendQuery(c)).To(Succeed())

			return len(first.received())
		}).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 2))
	})

	It("sends no more retries than its budget allows", func() {
		first, next := d.add("zone-a", abortConnection), d.add("zone-b", abortConnection)
		p := client.DefaultPolicy()
		p.Burst, p.Ratio, p.Avoid = 2, 0, 0
		c := newClient().WithPolicy(p)
		for range 10 {
			Expect(sendQuery(c)).NotTo(Succeed())
		}
		Expect(len(first.received()) + len(next.received())).To(Equal(12))
	})

	It("rejects a response to another request", func() {
		server, err := rpc.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write([]byte(`{"id":"another","total":1,"covered":1}`))
		}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		now := timer.NewClock()
		_, err = caller.NewClient(server.Address(), http.DefaultClient, now).
			Query(context.Background(), query.Request{ID: "mine", Deadline: now() + clock.Second})
		Expect(err).To(MatchError(ContainSubstring("mismatch")))
	})

	It("reports that the request was not run when no daemon can be reached or the deadline has passed", func() {
		d.add("zone-a", succeed)
		c := newClient()
		_, err := c.Query(context.Background(), query.Request{Service: "s", Deadline: c.Deadline(-1)})
		Expect(clientError(err).Refusal.Run).To(Equal(reason.NotExecuted))
		e := clientError(sendQuery(client.New("zone-a", []string{"127.0.0.1:1"})))
		Expect(e.Refusal.Run).To(Equal(reason.NotExecuted), e.Error())
	})

	It("loses no query when one daemon shuts down and another is killed", func() {
		respondSlowly := func(context.Context, string) error {
			time.Sleep(5 * time.Millisecond)

			return nil
		}
		planned, killed := d.add("zone-a", respondSlowly), d.add("zone-a", respondSlowly)
		d.add("zone-a", respondSlowly)
		c := client.New("zone-a", []string{d.daemons[2].server.Address()})
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
