package main

import (
	"context"
	"encoding/json"
	"time"

	"jacinthferry/standin/local"
	"jacinthferry/standin/records"
	"jacinthferry/standin/upstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("measuring", func() {
	start := func(ctx SpecContext) *local.Deployment {
		d, err := local.Start(context.Background(), local.Options{
			Daemons: 1, Zones: 1, Services: []string{records.Markers}, Upstreams: 2, Shards: 4, Replicas: 2,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		Expect(d.ApplyConfig(ctx)).To(Succeed())
		Eventually(func() int {
			return command(ctx, "query", "--seed", d.CallerAddresses()[0], "--service", records.Markers, "cairn").code
		}).WithTimeout(20 * time.Second).Should(Equal(exitDone))

		return d
	}
	load := func(ctx SpecContext, seed string, more ...string) result {
		return command(ctx, append([]string{
			"load", "--json", "--seed", seed, "--rate", "50", "--duration", "500ms", "--deadline", "10s",
		}, more...)...)
	}

	It("exits 0 and prints a JSON report when every answer covers all shards", func(ctx SpecContext) {
		d := start(ctx)
		r := load(ctx, d.CallerAddresses()[0])
		Expect(r.code).To(Equal(exitDone), r.errs)
		var report loadReport
		Expect(json.Unmarshal([]byte(r.out), &report)).To(Succeed())
		Expect(report.FullCoverage).To(BeNumerically(">", 0))
		Expect(report.FullCoverage).To(Equal(report.Sent))
	})

	It("returns the exit code for refused requests, lost requests and invalid flags", func(ctx SpecContext) {
		d := start(ctx)
		for _, u := range d.Upstreams {
			u.SetFaults(upstream.Faults{Rules: []upstream.Rule{{FailureShare: 1}}})
		}
		Expect(load(ctx, d.CallerAddresses()[0]).code).To(Equal(exitIncomplete))
		Expect(load(ctx, "127.0.0.1:1").code).To(Equal(exitViolation))
		Expect(load(ctx, "127.0.0.1:1", "--flight", "0").code).To(Equal(exitUsage))
		Expect(load(ctx, "127.0.0.1:1", "--upstream", "127.0.0.1:1").code).To(Equal(exitFailed))
	})

	It("runs the demo with full coverage", func(ctx SpecContext) {
		r := command(ctx, "demo", "--json")
		Expect(r.code).To(Equal(exitDone), r.errs)
		var report demoReport
		Expect(json.Unmarshal([]byte(r.out), &report)).To(Succeed())
		Expect(report.FullCoverage).To(BeTrue())
		Expect(report.Daemons).To(HaveLen(3))
		Expect(report.Upstreams).To(Equal(12))
		for _, a := range report.Answers {
			Expect(a.Covered).To(Equal(a.Total))
			Expect(a.Documents).NotTo(BeEmpty())
		}
	})
})
