package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/io/caller"
	"jacinthferry/io/daemon"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/io/settings"
	"jacinthferry/io/timer"
	"jacinthferry/standin/local"
	"jacinthferry/standin/upstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// startTier starts a deployment and waits until every daemon returns a complete reply.
func startTier(ctx context.Context, options local.Options) *local.Deployment {
	d, err := local.Start(context.Background(), options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	_, refusal := operator.New(d.Daemons[0].Operator(), rpc.Client(0)).Apply(ctx, d.Config)
	Expect(refusal).To(BeNil())
	Expect(d.AwaitReady()).To(Succeed())
	for _, one := range d.Daemons {
		Eventually(func() error {
			_, err := sendQuery(ctx, one, "cairn", 10*clock.Second, false)

			return err
		}).WithTimeout(waitTimeout).Should(Succeed())
	}

	return d
}

// httpClient is the HTTP client that all queries share.
var httpClient = rpc.Client(0)

// sendQuery sends a query to one daemon, with the given time until its deadline.
func sendQuery(
	ctx context.Context, d *daemon.Daemon, text string, timeout clock.Milli, partial bool,
) (query.Reply, error) {
	now := timer.NewClock()

	return caller.New(d.Caller(), httpClient, now).Query(ctx, query.Request{
		Service: "markers", Text: text, Top: 3, Deadline: now() + timeout, Priority: leg.Routine, Partial: partial,
	})
}

func refusalOf(err error) reason.Refusal {
	var r *reason.Refusal
	if !errors.As(err, &r) {
		return reason.Refusal{}
	}

	return *r
}

var _ = Describe("a query through the tier", func() {
	options := local.Options{
		Daemons: 3, Zones: 3, Services: []string{"markers"}, Upstreams: 6, Shards: 12, Replicas: 3,
		ServiceTime: clock.Millisecond,
	}

	// crashUpstreams repeatedly sends a query that crashes its upstreams, through all daemons, and
	// returns the number of crashes.
	crashUpstreams := func(ctx context.Context, d *local.Deployment) int {
		for _, u := range d.Upstreams {
			u.SetFaults(upstream.Faults{CrashText: "poison", CrashDowntime: 100 * clock.Millisecond})
		}
		for i := range 12 {
			_, err := sendQuery(ctx, d.Daemons[i%3], "poison", clock.Second, false)
			Expect(err).To(HaveOccurred())
		}
		crashes := 0
		for _, u := range d.Upstreams {
			crashes += u.Counts().Crashes
		}

		AddReportEntry("crashes", crashes)

		return crashes
	}

	It("crashes upstreams repeatedly while the quarantine is off", func(ctx SpecContext) {
		noQuarantine := options
		noQuarantine.DaemonSettings = func(s settings.Settings) settings.Settings {
			s.Query.Quarantine.Canary, s.Query.Quarantine.Limit = false, 0

			return s
		}
		Expect(crashUpstreams(ctx, startTier(ctx, noQuarantine))).To(BeNumerically(">", 3))
	})

	It("crashes at most three upstreams, however often it is retried", func(ctx SpecContext) {
		d := startTier(ctx, options)
		Expect(crashUpstreams(ctx, d)).To(BeNumerically("<=", 3))
		for _, one := range d.Daemons {
			Eventually(func() reason.Refusal {
				_, err := sendQuery(ctx, one, "poison", 5*clock.Second, false)
				r := refusalOf(err)
				r.Detail = ""

				return r
			}).WithTimeout(waitTimeout).Should(Equal(reason.Refusal{Reason: reason.Quarantine, Run: reason.NotExecuted}))
			Eventually(func() error {
				_, err := sendQuery(ctx, one, "cairn", 10*clock.Second, false)

				return err
			}).WithTimeout(waitTimeout).Should(Succeed())
		}
	})

	It("is answered from one snapshot with correct coverage while snapshots and shards change", func(ctx SpecContext) {
		d := startTier(ctx, options)
		totals := map[string]int{"markers-2026-12-01": 12, "markers-2026-12-02": 9, "markers-2026-12-03": 15}
		stop := make(chan struct{})
		var replies sync.Map
		var group sync.WaitGroup
		for n := range 6 {
			group.Go(func() {
				defer GinkgoRecover()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					reply, err := sendQuery(ctx, d.Daemons[n%3], fmt.Sprint("cairn ", i%20), 2*clock.Second, n%2 == 0)
					if err == nil {
						replies.Store(fmt.Sprint(n, "-", i), reply)
					}
				}
			})
		}
		holdings := func(o, i int) []route.Held {
			name := fmt.Sprintf("markers-2026-12-0%d", o)
			h := route.Held{Name: name, Order: uint64(o), Total: totals[name]}
			for shard := range h.Total {
				if (shard+i)%2 == 0 || shard%3 == i%3 {
					h.Shards = append(h.Shards, shard)
				}
			}

			return []route.Held{h}
		}
		awaitSnapshot := func(name string) {
			GinkgoHelper()
			Eventually(func() string {
				reply, _ := sendQuery(ctx, d.Daemons[0], "cairn", 2*clock.Second, false)
				if reply.Snapshot == name {
					replies.Store("first from "+name, reply)
				}

				return reply.Snapshot
			}).WithTimeout(waitTimeout).Should(Equal(name))
		}
		awaitSnapshot("markers-2026-12-01")
		for o := 2; o <= 3; o++ {
			for i, u := range d.Upstreams {
				u.SetSnapshots(holdings(o, i)...)
				time.Sleep(50 * time.Millisecond)
			}
			awaitSnapshot(fmt.Sprintf("markers-2026-12-0%d", o))
		}
		close(stop)
		group.Wait()
		seen := make(map[string]int)
		replies.Range(func(_, v any) bool {
			reply := v.(query.Reply)
			Expect(reply.Total).To(Equal(totals[reply.Snapshot]))
			Expect(reply.Covered + len(reply.Missing)).To(Equal(reply.Total))
			seen[reply.Snapshot]++

			return true
		})
		Expect(seen).To(HaveLen(3))
	})

	It("is refused with a typed error and not run if it is malformed", func(ctx SpecContext) {
		d := startTier(ctx, local.Options{
			Daemons: 1, Zones: 1, Services: []string{"markers"}, Upstreams: 2, Shards: 2, Replicas: 2,
		})
		for _, bad := range []struct {
			body   string
			reason reason.Code
		}{
			{`{"service":"nonsense","text":"a"}`, reason.Service},
			{`{"service":"markers","text":"a","deadline":"-1ms"}`, reason.Deadline},
			{`{"service":"markers","text":"a","deadline":"1ms"}`, reason.Deadline},
			{`{"service":"markers","text":"` + strings.Repeat("a", 4097) + `"}`, reason.Invalid},
			{`{"service":"markers","text":"a","priority":"loud"}`, reason.Invalid},
			{`{"service":"markers","text":"a","top":-1}`, reason.Invalid},
			{`{"service":"markers","text":"a","id":"` + strings.Repeat("a", 129) + `"}`, reason.Invalid},
			{`{"service":"markers","text":"a","caller":"` + strings.Repeat("a", 129) + `"}`, reason.Invalid},
		} {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost,
				"http://"+d.Daemons[0].Caller()+"/caller/query", strings.NewReader(bad.body))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).NotTo(Equal(http.StatusOK))
			Expect(response.Header.Get("Reason")).To(Equal(string(bad.reason)), "%.60s", bad.body)
			Expect(response.Header.Get("Run")).To(Equal(string(reason.NotExecuted)), "%.60s", bad.body)
		}
	})
})
