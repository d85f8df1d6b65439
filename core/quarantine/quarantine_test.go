package quarantine_test

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the tracker of suspect requests", func() {
	config := quarantine.Terms{
		Canary: true, Crashes: 2, Window: 10 * clock.Second, Hold: clock.Minute, Known: 8, Limit: 2,
	}
	p := quarantine.Of("markers", "poison")
	var tracker *quarantine.List
	BeforeEach(func() { tracker = quarantine.New(config) })

	It("tells requests apart by service and text", func() {
		Expect(quarantine.Of("markers", "poison")).To(Equal(p))
		Expect(quarantine.Of("marker", "spoison")).NotTo(Equal(p))
	})

	It("lets a new request run alone until it has passed, for each version", func() {
		Expect(tracker.Ask(0, p, "v1", false)).To(Equal(quarantine.Alone))
		Expect(tracker.Ask(0, p, "v1", false)).To(Equal(quarantine.Wait))
		tracker.Passed(p, "v1")
		Expect(tracker.Ask(0, p, "v1", false)).To(Equal(quarantine.Free))
		Expect(tracker.Ask(0, p, "v2", false)).To(Equal(quarantine.Alone))
	})

	It("lets a trusted request run everywhere until a crash is attributed to it", func() {
		Expect(tracker.Ask(0, p, "v1", true)).To(Equal(quarantine.Free))
		tracker.Lost(0, p, 1)
		Expect(tracker.Ask(0, p, "v1", true)).To(Equal(quarantine.Alone))
	})

	It("refuses a request after two crashes, for a limited time", func() {
		tracker.Lost(0, p, 1)
		Expect(tracker.Ask(0, p, "v1", false)).To(Equal(quarantine.Alone))
		tracker.Lost(1, p, 2)
		Expect(tracker.Ask(2, p, "v1", false)).To(Equal(quarantine.Refuse))
		Expect(tracker.Held(clock.Minute, p)).To(BeTrue())
		Expect(tracker.Held(clock.Minute+2, p)).To(BeFalse())
	})

	It("does not refuse a request for two crashes far apart, or with an answer between them", func() {
		tracker.Lost(0, p, 1)
		tracker.Lost(11*clock.Second, p, 2)
		Expect(tracker.Held(11*clock.Second, p)).To(BeFalse())
		tracker.Ask(12*clock.Second, p, "v1", false)
		tracker.Passed(p, "v1")
		tracker.Lost(13*clock.Second, p, 3)
		Expect(tracker.Held(13*clock.Second, p)).To(BeFalse())
	})

	It("counts a crash that several daemons report once", func() {
		other := quarantine.New(config)
		e := other.Lost(0, p, 1)
		learn := func(e quarantine.Entry) []bool {
			news, held := tracker.Learn(0, e)

			return []bool{news, held}
		}
		Expect(learn(e)).To(Equal([]bool{true, false}))
		Expect(learn(e)).To(Equal([]bool{false, false}))
		Expect(learn(other.Lost(0, p, 2))).To(Equal([]bool{true, true}))
		Expect(tracker.Held(0, p)).To(BeTrue())
	})

	It("does not extend a quarantine learnt from another daemon", func() {
		tracker.Lost(0, p, 1)
		tracker.Lost(0, p, 2)
		receiver := quarantine.New(config)
		for _, e := range tracker.Entries(50 * clock.Second) {
			receiver.Learn(50*clock.Second, e)
		}
		Expect(receiver.Held(59*clock.Second, p)).To(BeTrue())
		Expect(receiver.Held(61*clock.Second, p)).To(BeFalse())
	})

	It("refuses no more requests at once than its limit", func() {
		for i := range 5 {
			q := quarantine.Of("markers", fmt.Sprint(i))
			tracker.Lost(0, q, uint64(2*i))
			tracker.Lost(0, q, uint64(2*i+1))
		}
		held := 0
		for i := range 5 {
			if tracker.Held(1, quarantine.Of("markers", fmt.Sprint(i))) {
				held++
			}
		}
		Expect(held).To(Equal(2))
	})

	It("remembers a bounded number of suspects", func() {
		for i := range 5000 {
			tracker.Lost(clock.Milli(i), quarantine.Print(i), uint64(i))
		}
		Expect(len(tracker.Entries(5000))).To(BeNumerically("<=", 1024))
	})
})
