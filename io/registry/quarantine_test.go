package registry_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("requests that crash upstreams", func() {
	const key = "jacinthferry/quarantine/self"

	It("are told to the other daemons, written once, and for a while", func() {
		r := newRig(self)
		r.turn(0)
		r.Quarantined(7)
		r.Quarantined(1<<63 + 1)
		r.turn(1000)
		Expect(r.entries[key].Value).To(Equal(`{"prints":[7,9223372036854775809]}`))
		writes := r.writes
		r.turn(1000)
		Expect(r.writes).To(Equal(writes))
		r.turn(clock.Minute)
		Expect(r.entries).NotTo(HaveKey(key))
		r.turn(1000)
		Expect(r.writes).To(Equal(writes))
	})

	It("are told again when the store was away", func() {
		r := newRig(self)
		r.turn(0)
		r.Quarantined(7)
		r.fail = errDown
		r.turn(1000)
		Expect(r.entries).NotTo(HaveKey(key))
		r.fail = nil
		r.turn(1000)
		r.turn(1000)
		Expect(r.entries).To(HaveKey(key))
	})

	It("are learned from the other daemons, each once", func() {
		r := newRig(self)
		r.turn(0)
		r.put("jacinthferry/quarantine/other", `{"prints":[3]}`)
		r.turn(1000)
		Expect(r.learned).To(Equal([]quarantine.Print{3}))
		r.put("jacinthferry/quarantine/other", `{"prints":[3,4]}`)
		r.turn(1000)
		Expect(r.learned).To(Equal([]quarantine.Print{3, 4}))
	})
})
