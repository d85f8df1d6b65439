package daemon_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/io/settings"
	"jacinthferry/io/timer"
	"jacinthferry/standin/local"
	"jacinthferry/standin/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// load runs callers that send queries without pause.
type load struct {
	stop      context.CancelFunc
	group     sync.WaitGroup
	mu        sync.Mutex
	latencies []time.Duration
	failed    []string
}

// startLoad starts callers that never retry a request.
func startLoad(seeds []string, workers int) *load { return startLoadWithAttempts(seeds, workers, 1) }

func startLoadWithAttempts(seeds []string, workers, attempts int) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
	policy := client.DefaultPolicy()
	policy.Attempts = attempts
	for i := range workers {
		c := client.New("zone-"+string(rune('a'+i%3)), seeds).WithPolicy(policy)
		l.group.Go(func() {
			for ctx.Err() == nil {
				l.queryOnce(c)
			}
		})
	}

	return l
}

func (l *load) queryOnce(c *client.Client) {
	start := time.Now()
	reply, err := c.Query(context.Background(), query.Request{
		Service: "markers", Text: "cairn", Top: 3, Deadline: c.Deadline(10 * clock.Second), Priority: leg.Routine,
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, time.Since(start))
	switch {
	case err != nil:
		l.failed = append(l.failed, err.Error())
	case reply.Covered != reply.Total:
		l.failed = append(l.failed, "partial")
	}
}

// takeResults returns the number of queries that ended since the last call, their 99th percentile latency and
// the failures.
func (l *load) takeResults() (int, time.Duration, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latencies, failed := l.latencies, l.failed
	l.latencies, l.failed = nil, nil
	slices.Sort(latencies)
	p99 := time.Duration(0)
	if len(latencies) > 0 {
		p99 = latencies[len(latencies)*99/100]
	}

	return len(latencies), p99, failed
}

func (l *load) end() {
	l.stop()
	l.group.Wait()
}

var _ = Describe("daemons under load", func() {
	var d *local.Deployment
	now := timer.NewClock()

	BeforeEach(func(ctx SpecContext) {
		var err error
		d, err = local.Start(context.Background(), local.Options{
			Daemons: 6, Zones: 3, Services: []string{"markers"}, Upstreams: 6, Shards: 6, Replicas: 3,
			ServiceTime: clock.Millisecond,
			DaemonSettings: func(s settings.Settings) settings.Settings {
				s.Control.EntriesTTL = clock.Second

				return s
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { d.Close() })
		Expect(d.ApplyConfig(ctx)).To(Succeed())
		Expect(d.AwaitReady()).To(Succeed())
	})

	// startSteadyLoad starts a load with the given number of callers and waits until it runs without failures.
	startSteadyLoad := func(callers int) *load {
		l := startLoad(d.CallerAddresses(), callers)
		DeferCleanup(l.end)
		Eventually(func() bool {
			n, _, failed := l.takeResults()

			return n > 0 && len(failed) == 0
		}).WithTimeout(20 * time.Second).WithPolling(500 * time.Millisecond).Should(BeTrue())

		return l
	}

	It("interrupt no request while every one of them is replaced", func(ctx SpecContext) {
		l := startSteadyLoad(6)
		for range 6 {
			old := d.Daemons[0]
			d.Daemons = d.Daemons[1:]
			fresh, err := d.AddDaemon(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Eventually(fresh.Ready).WithTimeout(20 * time.Second).Should(BeTrue())
			Expect(old.Stop(ctx)).To(Succeed())
		}
		n, p99, failed := l.takeResults()
		GinkgoWriter.Printf("rolling replacement of 6 daemons: %d queries, p99 %v, %d failed\n", n, p99, len(failed))
		Expect(failed).To(BeEmpty())
	})

	It("keep serving while a zone is taken out, with the store down, and put back", func(ctx SpecContext) {
		l := startSteadyLoad(6)
		op := operator.New(d.Daemons[0].Operator(), rpc.Client(0))
		change := func(out bool) {
			_, refusal := op.Zone(ctx, "zone-b", out, operator.Options{Who: "ann", Force: true})
			Expect(refusal).To(BeNil())
		}
		legs := func() (n int) {
			for i, u := range d.Config.Services[0].Versions[0].Upstreams {
				if u.Zone == "zone-b" {
					n += d.Upstreams[i].Counts().Legs
				}
			}

			return n
		}
		change(true)
		d.StartOutage(platform.AbortConnections)
		start := now()
		Eventually(func() bool {
			before := legs()
			time.Sleep(200 * time.Millisecond)

			return legs() == before
		}).WithTimeout(20 * time.Second).Should(BeTrue())
		GinkgoWriter.Printf("zone out: no new work after %v at most\n", now()-start)
		_, p99, failed := l.takeResults()
		GinkgoWriter.Printf("zone going out: p99 %v, %d failed\n", p99, len(failed))
		Expect(failed).To(BeEmpty())
		before := legs()
		time.Sleep(time.Second)
		Expect(legs()).To(Equal(before))
		d.EndOutage()
		l.takeResults()
		Eventually(func() bool {
			_, refusal := op.Zone(ctx, "zone-b", false, operator.Options{Who: "ann"})

			return refusal == nil
		}).WithTimeout(20 * time.Second).Should(BeTrue())
		Eventually(legs).WithTimeout(20 * time.Second).Should(BeNumerically(">", before+50))
		n, p99, failed := l.takeResults()
		GinkgoWriter.Printf("zone back: %d queries, p99 %v, %d failed\n", n, p99, len(failed))
		Expect(failed).To(BeEmpty())
		Expect(d.UpstreamCounts().AboveColdLimit).To(BeZero())
	})

	It("send no new work to an upstream that is drained by the instance list or by the operator", func(ctx SpecContext) {
		l := startSteadyLoad(3) // as much as the four remaining upstreams can handle
		idle := func(i int) func() bool {
			return func() bool {
				before := d.Upstreams[i].Counts().Legs
				time.Sleep(300 * time.Millisecond)

				return d.Upstreams[i].Counts().Legs == before
			}
		}
		d.Platform.SetInstance(d.Upstreams[0].Name(), true)
		start := now()
		Eventually(idle(0)).WithTimeout(20 * time.Second).Should(BeTrue())
		GinkgoWriter.Printf("leaving by list: no new work after %v at most\n", now()-start)
		c := d.Config
		c.Services = slices.Clone(c.Services)
		c.Services[0].Versions = slices.Clone(c.Services[0].Versions)
		c.Services[0].Versions[0].Upstreams = slices.Clone(c.Services[0].Versions[0].Upstreams)
		c.Services[0].Versions[0].Upstreams[1] = withDrain(c.Services[0].Versions[0].Upstreams[1])
		d.Config = c
		Expect(d.ApplyConfig(ctx)).To(Succeed())
		start = now()
		Eventually(idle(1)).WithTimeout(20 * time.Second).Should(BeTrue())
		GinkgoWriter.Printf("leaving by operator: no new work after %v at most\n", now()-start)
		_, _, failed := l.takeResults()
		Expect(failed).To(BeEmpty())
	})
})

func withDrain(u config.Upstream) config.Upstream {
	u.Drain = true

	return u
}
