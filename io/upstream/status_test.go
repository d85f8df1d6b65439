package upstream_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/upstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a response whose status no final response has: what its header says was believed, so that a leg that
// may have run counted as not run.
var _ = Describe("An upstream whose response has the status", func() {
	const timeout = clock.Second
	for _, status := range []string{"000", "099", "600", "999"} {
		It(status+" has not said whether it ran the leg", func() {
			text := "HTTP/1.1 " + status + " Trouble\r\nContent-Type: application/json\r\nReason: overload\r\nRun: no\r\n" +
				"Content-Length: 2\r\n\r\n{}"
			p := upstream.NewPool(endlessUpstream(text, ""), upstream.Options{
				Now: now, MaxConnections: 25, Slots: 2, OverrunMargin: 100, SilenceTimeout: 1000, MaxIdleForSubmit: 1000,
				OnConnectionFailure: func(reason.Code) {},
			})
			DeferCleanup(p.Close)
			l := search("r", timeout)
			l.Submit = true
			refusal := p.Run(l).Result.Refusal
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Run).To(Equal(reason.ExecutionUnknown), refusal.Error())
		})
	}
})
