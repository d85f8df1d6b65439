package registry_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Requests that crash upstreams", func() {
	const key = "jacinthferry/quarantine/self"

	It("are published to the other daemons once, and withdrawn after a minute", func() {
		r := newHarness(self)
		r.advance(0)
		r.PublishQuarantined(7)
		r.PublishQuarantined(1<<63 + 1)
		r.advance(1000)
		Expect(r.entries[key].Value).To(Equal(`{"prints":[7,9223372036854775809]}`))
		writes := r.writes
		r.advance(1000)
		Expect(r.writes).To(Equal(writes))
		r.advance(clock.Minute)
		Expect(r.entries).NotTo(HaveKey(key))
		r.advance(1000)
		Expect(r.writes).To(Equal(writes))
	})

	It("are published again after a store failure", func() {
		r := newHarness(self)
		r.advance(0)
		r.PublishQuarantined(7)
		r.storeErr = errUnavailable
		r.advance(1000)
		Expect(r.entries).NotTo(HaveKey(key))
		r.storeErr = nil
		r.advance(1000)
		r.advance(1000)
		Expect(r.entries).To(HaveKey(key))
	})

	It("are learned from the other daemons, each once", func() {
		r := newHarness(self)
		r.advance(0)
		r.put("jacinthferry/quarantine/other", `{"prints":[3]}`)
		r.advance(1000)
		Expect(r.learned).To(Equal([]quarantine.Fingerprint{3}))
		r.put("jacinthferry/quarantine/other", `{"prints":[3,4]}`)
		r.advance(1000)
		Expect(r.learned).To(Equal([]quarantine.Fingerprint{3, 4}))
	})
})
