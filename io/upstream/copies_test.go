package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/io/upstream"
	"jacinthferry/standin/suite"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// copyingUpstream refuses the first leg and sends each response a second time, where the next response on the connection
// is due. If elsewhere is set, each connection carries one call, and the second copies come on the next one. If it is plain,
// its responses do not say which call they belong to. It returns its address and the number of legs that it ran.
func copyingUpstream(plain, elsewhere bool) (address string, runs *atomic.Int64) {
	runs = &atomic.Int64{}
	var arrivals atomic.Int64
	handler := upstream.Handler(upstream.Operations{Run: func(_ context.Context, l leg.Leg) leg.Result {
		if arrivals.Add(1) == 1 {
			return leg.Refused(reason.Overload, reason.NotExecuted, "")
		}
		runs.Add(1)

		return leg.Result{Answer: echo(l)}
	}})
	latest := make(chan []byte, 1)
	address = suite.ServeConns(func(c net.Conn) {
		reader := bufio.NewReader(c)
		copies := latest
		if !elsewhere {
			copies = make(chan []byte, 1)
		}
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			response := recorder.Result()
			response.ContentLength = int64(recorder.Body.Len())
			response.Close = elsewhere
			if plain {
				response.Header.Del("Call")
			}
			var text bytes.Buffer
			if response.Write(&text) != nil {
				return
			}
			var copied []byte
			select {
			case copied = <-copies:
			default:
			}
			copies <- text.Bytes()
			if _, err := c.Write(append(copied, text.Bytes()...)); err != nil || elsewhere {
				return
			}
		}
	})

	return address, runs
}

// Guards against a second copy of a rejection that is taken for the answer to the next submit, which runs.
var _ = Describe("A rejection that arrives twice", func() {
	newPool := func(address string) *upstream.Pool {
		p := upstream.NewPool(address, upstream.Options{
			Now: now, MaxConnections: 2, Slots: 1, OverrunMargin: 100, SilenceTimeout: 1000, MaxIdleForSubmit: 1000,
			OnConnectionFailure: func(reason.Code) {},
		})
		DeferCleanup(p.Close)

		return p
	}
	submit := func(request string, attempt int) leg.Leg {
		l := search(request, clock.Second)
		l.Submit, l.Attempt = true, attempt

		return l
	}

	for _, request := range []string{"r", "another"} {
		It("does not reject the next leg: "+request, func() {
			address, runs := copyingUpstream(false, false)
			p := newPool(address)
			Expect(p.Run(submit("r", 0)).Result.Refusal.Run).To(Equal(reason.NotExecuted))
			refusal := p.Run(submit(request, 1)).Result.Refusal
			Expect(runs.Load()).To(BeEquivalentTo(1))
			Expect(refusal).To(And(HaveField("Run", reason.ExecutionUnknown), HaveField("Reason", reason.Mismatch)))
			Expect(p.Run(submit("third", 0)).Result.Refusal).To(BeNil(), "on another connection")
		})
	}

	It("does not reject the next leg on another connection", func() {
		address, runs := copyingUpstream(false, true)
		p := newPool(address)
		Expect(p.Run(submit("r", 0)).Result.Refusal.Run).To(Equal(reason.NotExecuted))
		refusal := p.Run(submit("r", 1)).Result.Refusal
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(refusal).To(And(HaveField("Run", reason.ExecutionUnknown), HaveField("Reason", reason.Mismatch)))
	})

	It("may come from an upstream that does not say which call it answers", func() {
		address, _ := copyingUpstream(true, false)
		p := newPool(address)
		Expect(p.Run(submit("r", 0)).Result.Refusal.Run).To(Equal(reason.NotExecuted))
	})
})
