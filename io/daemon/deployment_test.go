package daemon_test

import (
	"context"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/standin/local"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var _ = Describe("a deployment of two daemons", func() {
	var d *local.Deployment

	BeforeEach(func(ctx SpecContext) {
		var err error
		d, err = local.Start(context.Background(), local.Options{
			Daemons: 2, Zones: 2, Services: []string{"markers"}, Upstreams: 4, Shards: 8, Replicas: 2,
			ServiceTime: clock.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		_, refusal := operator.New(d.Daemons[0].Operator(), rpc.Client(0)).Apply(ctx, d.Config)
		Expect(refusal).To(BeNil())
		Expect(d.AwaitReady()).To(Succeed())
	})

	search := func(ctx context.Context, c *client.Client, service string) (query.Reply, error) {
		return c.Query(ctx, query.Request{
			Service: service, Text: "cairn", Top: 3, Deadline: c.Deadline(10 * clock.Second), Priority: leg.Routine,
		})
	}

	It("returns a complete reply through either daemon, with snapshot and coverage", func(ctx SpecContext) {
		for _, one := range d.Daemons {
			c := client.New("zone-a", []string{one.Caller()})
			var reply query.Reply
			Eventually(func() (err error) {
				reply, err = search(ctx, c, "markers")

				return err
			}).WithTimeout(20 * clock.Second.Duration()).Should(Succeed())
			Expect(reply.Covered).To(Equal(8))
			Expect(reply.Total).To(Equal(8))
			Expect(reply.Snapshot).To(Equal("markers-2026-12-01"))
			Expect(reply.Documents).To(HaveLen(3))
		}
	})

	It("refuses a query for an unknown service without running it", func(ctx SpecContext) {
		c := client.New("", []string{d.Daemons[0].Caller()})
		Eventually(func() reason.Code {
			_, err := search(ctx, c, "nonsense")
			var r *reason.Refusal
			if !errors.As(err, &r) || r.Run != reason.NotExecuted {
				return ""
			}

			return r.Reason
		}).WithTimeout(20 * clock.Second.Duration()).Should(Equal(reason.Service))
	})
})
