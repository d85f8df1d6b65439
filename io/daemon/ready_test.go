package daemon_test

import (
	"context"
	"net/http"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/standin/local"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	readyBody = "ready\n"
	// maxZoneChanges limits how often the zone is taken out or put back, and watchPeriod is how long
	// readiness is polled after each change.
	maxZoneChanges = 40
	watchPeriod    = 300 * time.Millisecond
)

var _ = Describe("a daemon that takes over upstreams", func() {
	It("reports that reason for not being ready, and then that it is ready", func(ctx SpecContext) {
		d, err := local.Start(context.Background(), local.Options{
			Daemons: 3, Zones: 3, Services: []string{"markers"}, Upstreams: 6, Shards: 12, Replicas: 2, ServiceTime: clock.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		Expect(d.ApplyConfig(ctx)).To(Succeed())
		Expect(d.AwaitReady()).To(Succeed())
		address := d.Daemons[0].Operator()
		ready := func() string {
			_, text := get(ctx, http.DefaultClient, "http://"+address+"/readyz")

			return text
		}
		Expect(ready()).To(Equal(readyBody))
		operators := operator.New(address, rpc.Client(0))
		// The state may be too short to be seen after every change.
		seen := ""
		for change := 0; seen == "" && change < maxZoneChanges; change++ {
			options := operator.Options{Who: "ada", Force: true}
			_, refusal := operators.Zone(ctx, "zone-c", change%2 == 0, options)
			Expect(refusal).To(BeNil())
			for end := time.Now().Add(watchPeriod); seen == "" && time.Now().Before(end); {
				if text := ready(); text != readyBody {
					seen = text
				}
			}
		}
		Expect(seen).To(HavePrefix("taking upstreams over"))
		Eventually(ready).WithTimeout(waitTimeout).Should(Equal(readyBody))
	})
})
