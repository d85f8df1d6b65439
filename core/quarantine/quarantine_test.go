package quarantine_test

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the tracker of suspect requests", func() {
	config := quarantine.Config{
		Canary: true, Crashes: 2, Window: 10 * clock.Second, Hold: clock.Minute, Known: 8, Limit: 2,
	}
	p := quarantine.FingerprintOf("markers", "poison")
	var tracker *quarantine.Tracker
	BeforeEach(func() { tracker = quarantine.NewTracker(config) })

	It("tells requests apart by service and text", func() {
		Expect(quarantine.FingerprintOf("markers", "poison")).To(Equal(p))
		Expect(quarantine.FingerprintOf("marker", "spoison")).NotTo(Equal(p))
	})

	It("lets a new request run alone until it has passed, for each version", func() {
		Expect(tracker.Admit(0, p, "v1", false)).To(Equal(quarantine.Isolate))
		Expect(tracker.Admit(0, p, "v1", false)).To(Equal(quarantine.Wait))
		tracker.RecordSuccess(p, "v1")
		Expect(tracker.Admit(0, p, "v1", false)).To(Equal(quarantine.Allow))
		Expect(tracker.Admit(0, p, "v2", false)).To(Equal(quarantine.Isolate))
	})

	It("lets a trusted request run everywhere until a crash is attributed to it", func() {
		Expect(tracker.Admit(0, p, "v1", true)).To(Equal(quarantine.Allow))
		tracker.RecordCrash(0, p, 1)
		Expect(tracker.Admit(0, p, "v1", true)).To(Equal(quarantine.Isolate))
	})

	It("refuses a request after two crashes, for a limited time", func() {
		tracker.RecordCrash(0, p, 1)
		Expect(tracker.Admit(0, p, "v1", false)).To(Equal(quarantine.Isolate))
		tracker.RecordCrash(1, p, 2)
		Expect(tracker.Admit(2, p, "v1", false)).To(Equal(quarantine.Refuse))
		Expect(tracker.Quarantined(clock.Minute, p)).To(BeTrue())
		Expect(tracker.Quarantined(clock.Minute+2, p)).To(BeFalse())
	})

	It("does not refuse a request for two crashes far apart, or with an answer between them", func() {
		tracker.RecordCrash(0, p, 1)
		tracker.RecordCrash(11*clock.Second, p, 2)
		Expect(tracker.Quarantined(11*clock.Second, p)).To(BeFalse())
		tracker.Admit(12*clock.Second, p, "v1", false)
		tracker.RecordSuccess(p, "v1")
		tracker.RecordCrash(13*clock.Second, p, 3)
		Expect(tracker.Quarantined(13*clock.Second, p)).To(BeFalse())
	})

	It("counts a crash that several daemons report once", func() {
		other := quarantine.NewTracker(config)
		e := other.RecordCrash(0, p, 1)
		learn := func(e quarantine.Warning) []bool {
			news, held := tracker.Merge(0, e)

			return []bool{news, held}
		}
		Expect(learn(e)).To(Equal([]bool{true, false}))
		Expect(learn(e)).To(Equal([]bool{false, false}))
		Expect(learn(other.RecordCrash(0, p, 2))).To(Equal([]bool{true, true}))
		Expect(tracker.Quarantined(0, p)).To(BeTrue())
	})

	It("does not extend a quarantine learnt from another daemon", func() {
		tracker.RecordCrash(0, p, 1)
		tracker.RecordCrash(0, p, 2)
		receiver := quarantine.NewTracker(config)
		for _, e := range tracker.Warnings(50 * clock.Second) {
			receiver.Merge(50*clock.Second, e)
		}
		Expect(receiver.Quarantined(59*clock.Second, p)).To(BeTrue())
		Expect(receiver.Quarantined(61*clock.Second, p)).To(BeFalse())
	})

	It("refuses no more requests at once than its limit, the latest ones", func() {
		for i := range 5 {
			q := quarantine.FingerprintOf("markers", fmt.Sprint(i))
			tracker.RecordCrash(clock.Milli(i), q, uint64(2*i))
			tracker.RecordCrash(clock.Milli(i), q, uint64(2*i+1))
		}
		var held []int
		for i := range 5 {
			if tracker.Quarantined(5, quarantine.FingerprintOf("markers", fmt.Sprint(i))) {
				held = append(held, i)
			}
		}
		Expect(held).To(Equal([]int{3, 4}))
	})

	It("refuses nothing with a limit of 0", func() {
		off := config
		off.Limit = 0
		tracker = quarantine.NewTracker(off)
		tracker.RecordCrash(0, p, 1)
		tracker.RecordCrash(0, p, 2)
		Expect(tracker.Quarantined(0, p)).To(BeFalse())
	})

	It("remembers a bounded number of suspects", func() {
		for i := range 10_000 {
			tracker.RecordCrash(clock.Milli(i)/2, quarantine.Fingerprint(i), uint64(i))
		}
		Expect(len(tracker.Warnings(5000))).To(BeNumerically("<=", 4096))
	})
})
