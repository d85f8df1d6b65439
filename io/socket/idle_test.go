package socket_test

import (
	"io"
	"net/http"

	"jacinthferry/core/clock"
	"jacinthferry/io/socket"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Idle connections", func() {
	now, limit := clock.Milli(0), 10*clock.Second
	var idle *socket.IdleCloser
	BeforeEach(func() {
		now, limit = 1000*clock.Second, 10*clock.Second
		idle = socket.NewIdleCloser(func() clock.Milli { return now }, func() clock.Milli { return limit })
	})
	sweepAfter := func(d clock.Milli) {
		now += d
		idle.Sweep()
	}

	It("are closed after the current limit and not before", func() {
		near, far := connPair()
		idle.ConnState(near, http.StateNew)
		sweepAfter(9 * clock.Second)
		idle.ConnState(near, http.StateActive)
		idle.ConnState(near, http.StateIdle)
		sweepAfter(9 * clock.Second)
		Expect(socket.Reusable(far)).To(BeTrue())
		limit = 5 * clock.Second
		sweepAfter(0)
		_, err := far.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("are not closed while a request is served, however long it takes", func() {
		near, far := connPair()
		idle.ConnState(near, http.StateIdle)
		idle.ConnState(near, http.StateActive)
		sweepAfter(clock.Hour)
		Expect(socket.Reusable(far)).To(BeTrue())
	})
})
