package registry_test

import (
	"context"

	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"
	"jacinthferry/io/registry"
	"jacinthferry/io/store"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashKey is the key of the crashes that self publishes.
const crashKey = "jacinthferry/quarantine/self"

var crashWarning = quarantine.Warning{Fingerprint: 7, Crashes: []uint64{70}, Remaining: quarantine.Period}

var _ = Describe("Crashes of upstreams while they ran a request", func() {
	const key = crashKey
	warning := func(p quarantine.Fingerprint, process uint64) quarantine.Warning {
		return quarantine.Warning{Fingerprint: p, Crashes: []uint64{process}, Remaining: quarantine.Period}
	}

	It("are published to the other daemons once, and withdrawn when they no longer count", func() {
		r := newHarness(self)
		r.advance(0)
		r.PublishCrash(warning(7, 70))
		r.PublishCrash(warning(1<<63+1, 71))
		r.advance(1000)
		Expect(r.entries[key].Value).To(
			Equal(`{"crashes":[{"print":7,"process":70},{"print":9223372036854775809,"process":71}]}`),
		)
		writes := r.writes
		r.advance(1000)
		Expect(r.writes).To(Equal(writes))
		r.advance(quarantine.Period)
		Expect(r.entries).NotTo(HaveKey(key))
		r.advance(1000)
		Expect(r.writes).To(Equal(writes))
	})

	It("are published as far as they put a request into quarantine, so that one request does not use up the record", func() {
		r := newHarness(self)
		r.advance(0)
		for process := range uint64(100) {
			r.PublishCrash(warning(7, process))
		}
		r.PublishCrash(warning(8, 200))
		r.advance(1000)
		Expect(r.entries[key].Value).To(
			Equal(`{"crashes":[{"print":7,"process":0},{"print":7,"process":1},{"print":8,"process":200}]}`),
		)
	})

	It("are published again after a store failure", func() {
		r := newHarness(self)
		r.advance(0)
		r.PublishCrash(warning(7, 70))
		r.storeErr = errUnavailable
		r.advance(1000)
		Expect(r.entries).NotTo(HaveKey(key))
		r.storeErr = nil
		r.advance(1000)
		r.advance(1000)
		Expect(r.entries).To(HaveKey(key))
	})

	It("are published under a lease, so that the record of a daemon that never returns ends", func() {
		r := newHarness(self)
		r.advance(0)
		r.PublishCrash(warning(7, 70))
		r.advance(1000)
		Expect(r.leases).To(Equal(1))
	})

	It("are published without waiting for the end of a watch", func() {
		r := newHarness(self)
		options := r.options
		watching := make(chan struct{}, 2)
		options.Store.Watch = func(ctx context.Context, _ string, _ int64, _ clock.Milli) ([]store.Entry, int64, error) {
			watching <- struct{}{}
			<-ctx.Done()

			return nil, 0, errUnavailable
		}
		r.Registry = registry.New(options)
		r.advance(0)
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Iterate(context.Background())
		}()
		Eventually(watching).Should(Receive())
		r.PublishCrash(warning(7, 70))
		Eventually(done).Should(BeClosed())
		Expect(r.entries).To(HaveKey(key))
	})

	It("are learned from the other daemons, each once", func() {
		r := newHarness(self)
		r.advance(0)
		r.put("jacinthferry/quarantine/other", `{"crashes":[{"print":3,"process":30}]}`)
		r.advance(1000)
		Expect(r.warnings).To(Equal([]quarantine.Warning{warning(3, 30)}))
		r.put("jacinthferry/quarantine/other", `{"crashes":[{"print":3,"process":30},{"print":3,"process":31}]}`)
		r.advance(1000)
		Expect(r.warnings).To(Equal([]quarantine.Warning{warning(3, 30), warning(3, 31)}))
	})

	It("are known again after a restart of the daemon that saw them, and stay published", func() {
		r := newHarness(self)
		r.advance(0)
		r.PublishCrash(warning(7, 70))
		r.advance(1000)
		r.warnings = nil
		r.restart()
		r.advance(1000)
		r.advance(1000)
		Expect(r.warnings).To(Equal([]quarantine.Warning{warning(7, 70)}))
		Expect(r.entries).To(HaveKey(key))
	})
})
