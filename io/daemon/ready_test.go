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
	isReady = "ready\n"
	// flips is how often a zone is taken out and back at most, and look how long each time is watched.
	flips = 40
	look  = 300 * time.Millisecond
)

var _ = Describe("a daemon that takes upstreams over", func() {
	It("says that it is not ready for that reason, and then that it is", func(ctx SpecContext) {
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
		Expect(ready()).To(Equal(isReady))
		operators := operator.NewClient(address, rpc.NewClient(0))
		// It may be too short to be seen each time.
		seen := ""
		for flip := 0; seen == "" && flip < flips; flip++ {
			options := operator.ApplyOptions{Who: "ada", Force: true}
			_, refusal := operators.SetZoneOut(ctx, "zone-c", flip%2 == 0, options)
			Expect(refusal).To(BeNil())
			for end := time.Now().Add(look); seen == "" && time.Now().Before(end); {
				if text := ready(); text != isReady {
					seen = text
				}
			}
		}
		Expect(seen).To(HavePrefix("taking upstreams over"))
		Eventually(ready).WithTimeout(patience).Should(Equal(isReady))
	})
})
