package local_test

import (
	"context"
	"time"

	"jacinthferry/client"
	"jacinthferry/client/load"
	"jacinthferry/core/clock"
	"jacinthferry/core/query"
	"jacinthferry/io/settings"
	"jacinthferry/standin/local"
	"jacinthferry/standin/platform"
	"jacinthferry/standin/records"
	"jacinthferry/standin/upstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// timeout limits how long a spec waits for an expected event.
const timeout = 20 * time.Second

var _ = Describe("a local deployment", func() {
	start := func(options local.Options) (*local.Deployment, *client.Client) {
		options.Services = []string{records.Markers}
		d, err := local.Start(context.Background(), options)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		Expect(d.ApplyConfig(context.Background())).To(Succeed())
		c := client.New("zone-a", d.CallerAddresses())
		Eventually(func() error {
			_, err := c.Query(context.Background(), query.Request{Service: records.Markers, Deadline: c.Deadline(5 * clock.Second)})

			return err
		}).WithTimeout(timeout).Should(Succeed())

		return d, c
	}
	asks := func() []load.Request {
		all, err := records.Load()
		Expect(err).NotTo(HaveOccurred())
		var list []load.Request
		for _, text := range records.QueryTexts(all, records.Markers, 50, 1) {
			list = append(list, load.Request{
				Service: records.Markers, Text: text, WantDocuments: records.Search(all, records.Markers, text, 10),
			})
		}

		return list
	}
	run := func(c *client.Client) load.Result {
		return load.Run(context.Background(), c, load.Options{
			Rate: 20, Duration: 2 * clock.Second, Requests: asks(), Seed: 1, UrgentShare: 0.2, Top: 10,
			Deadline: 15 * clock.Second, MaxInFlight: 1000,
		})
	}

	It("loses, duplicates and mismatches no answer under load over 50 shards", func() {
		d, c := start(local.Options{
			Daemons: 3, Zones: 3, Upstreams: 20, Shards: 50, Replicas: 2, ServiceTime: clock.Millisecond,
			// Homes abandon legs after this time, whatever the deadline of the caller is.
			DaemonSettings: func(s settings.Settings) settings.Settings {
				s.Home.MaxLegDuration = 8 * clock.Second

				return s
			},
		})
		r := run(c)
		Expect(r.Complete()).To(BeTrue(), "%+v", r)
		Expect(r.Coverage).To(Equal(1.0))
		counts := d.UpstreamCounts()
		Expect(counts.AboveColdLimit).To(BeZero())
		Expect(counts.ExcessConnections).To(BeZero())
	})

	It("configures the upstreams with versions, snapshots and faults", func() {
		d, c := start(local.Options{
			Daemons: 1, Zones: 1, Upstreams: 1, Shards: 2, Replicas: 1, Snapshots: 2,
			Versions: []local.Version{
				{Name: "v1", Share: 1},
				{Name: "v2", Faults: upstream.Faults{Rules: []upstream.Rule{{FailureShare: 1}}}},
			},
			UpstreamOptions: func(o upstream.Options) upstream.Options {
				o.Slots = 7

				return o
			},
		})
		Expect(d.Config.Services[0].Versions).To(HaveLen(2))
		Expect(d.Config.Services[0].Versions[0].Upstreams[0].Slots).To(Equal(7))
		Expect(d.Upstream("markers-v2-0")).NotTo(BeNil())
		reply, err := c.Query(context.Background(), query.Request{Service: records.Markers, Deadline: c.Deadline(5 * clock.Second)})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Version).To(Equal("v1"))
		Expect(reply.Snapshot).To(Equal("markers-2026-12-01"))
	})

	It("returns no wrong answer while upstreams straggle, mismatch answers, answer late, stop responding and crash", func() {
		d, c := start(local.Options{Daemons: 3, Zones: 3, Upstreams: 6, Shards: 12, Replicas: 2, ServiceTime: clock.Millisecond})
		for _, u := range d.Upstreams {
			u.SetFaults(upstream.Faults{StragglerShare: 0.05, StragglerFactor: 50, MismatchedShare: 0.05, LateShare: 0.002})
		}
		done := make(chan load.Result, 1)
		go func() { done <- run(c) }()
		Eventually(func() int { return d.UpstreamCounts().Mismatched }).WithTimeout(timeout).Should(BeNumerically(">", 0))
		d.Upstream("markers-0").BlackholeConnections()
		d.RestartUpstream("markers-1")
		d.Upstream("markers-2").ResetWarmup()
		var r load.Result
		Eventually(done).WithTimeout(3 * timeout).Should(Receive(&r))
		Expect(r.FullCoverage).To(BeNumerically(">", 0))
		Expect(r.Correct()).To(BeTrue(), "%+v", r)
		counts := d.UpstreamCounts()
		Expect(counts.Stragglers).To(BeNumerically(">", 0))
		Expect(counts.BlackholedConnections).To(BeNumerically(">", 0))
		Expect(counts.AboveColdLimit-counts.BeforeColdReport).To(BeZero(), "%+v", counts)
	})

	It("answers all queries during the planned stop of a daemon", func(ctx SpecContext) {
		d, c := start(local.Options{
			Daemons: 3, Zones: 3, Upstreams: 6, Shards: 12, Replicas: 2, ServiceTime: clock.Millisecond,
			DaemonSettings: func(s settings.Settings) settings.Settings {
				s.Control.EntriesTTL = 500 * clock.Millisecond

				return s
			},
		})
		stopped := make(chan error, 1)
		go func() { stopped <- d.StopDaemon(context.Background(), d.Daemons[0]) }()
		r := run(c)
		Expect(r.Complete()).To(BeTrue(), "%+v", r)
		Eventually(stopped).WithTimeout(timeout).Should(Receive(BeNil()))
		Expect(d.Daemons).To(HaveLen(2))
	})

	It("answers correctly during a platform outage and the restart of an upstream", func() {
		d, c := start(local.Options{Daemons: 1, Zones: 1, Upstreams: 2, Shards: 4, Replicas: 2, ServiceTime: clock.Millisecond})
		d.StartOutage(platform.AbortConnections)
		d.RestartUpstream("markers-0")
		r := run(c)
		Expect(r.Correct()).To(BeTrue(), "%+v", r)
		Expect(d.Upstream("markers-0").Counts().Crashes).To(Equal(1))
		d.EndOutage()
		Eventually(func() bool { return run(c).Complete() }).WithTimeout(timeout).Should(BeTrue())
	})
})
