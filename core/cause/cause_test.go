package cause_test

import (
	"fmt"

	"jacinthferry/core/cause"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const at = 1000 * clock.Second

// brokenConnection returns the event of a connection to an upstream that broke while it carried a request.
func brokenConnection(when clock.Milli, request, upstream string) event.Event {
	return event.Event{
		At: when, Kind: event.Connection, Reason: reason.Failed, Service: "s-" + upstream, Upstream: upstream, Daemon: "one",
		Request: request, Detail: "gateway: no answer: read tcp 10.0.0.1:1->10.0.0.2:2: connection reset by peer",
	}
}

var _ = Describe("Explain", func() {
	firstCause := func(all []event.Event) string {
		f, found := cause.Explain(all, "r")
		Expect(found).To(BeTrue())
		Expect(f.Causes).NotTo(BeEmpty())

		return f.Causes[0].Text
	}

	It("reports false for a request without events", func() {
		_, found := cause.Explain([]event.Event{brokenConnection(at, "q", "u")}, "r")
		Expect(found).To(BeFalse())
	})

	It("returns the events of the request in order of time", func() {
		f, _ := cause.Explain([]event.Event{
			brokenConnection(at+9, "r", "u2"), brokenConnection(at, "q", "u"), brokenConnection(at+5, "r", "u1"),
		}, "r")
		Expect(f.Events).To(HaveLen(2))
		Expect(f.Events[0].Upstream).To(Equal("u1"))
	})

	for _, c := range []struct {
		what string
		all  func() []event.Event
		want string
	}{
		{"one upstream whose connections break", func() []event.Event {
			return []event.Event{
				brokenConnection(at, "r", "u"), brokenConnection(at+100, "q", "u"),
				{At: at + 5, Kind: event.Refusal, Reason: reason.Failed, Request: "r", Detail: "run unknown"},
			}
		}, "upstream u of s-u: failed, connection reset by peer, in 2 requests"},
		{"many upstreams whose connections break", func() []event.Event {
			all := []event.Event{brokenConnection(at, "r", "u0")}
			for i := range 9 {
				all = append(all, brokenConnection(at+clock.Milli(i), fmt.Sprint("q", i), fmt.Sprint("u", i)))
			}

			return append(all, brokenConnection(at+clock.Minute, "later", "u99"))
		}, "9 upstreams of 9 services: failed, connection reset by peer, in 10 requests"},
		{"a daemon that lost the store", func() []event.Event {
			return []event.Event{
				{At: at - 900, Kind: event.Process, Daemon: "one", Detail: "serving"},
				{At: at - 800, Kind: event.Store, Daemon: "two", Detail: "lost: other"},
				{At: at - 800, Kind: event.Store, Daemon: "one", Detail: "lost: 503"},
				{At: at, Kind: event.Refusal, Reason: reason.Configuration, Request: "r", Daemon: "one"},
			}
		}, "one could not reach the store: lost: 503"},
		{"a daemon that had just started", func() []event.Event {
			return []event.Event{
				{At: at - 50, Kind: event.Process, Daemon: "one", Detail: "serving"},
				{At: at, Kind: event.Refusal, Reason: reason.Configuration, Request: "r", Daemon: "one"},
			}
		}, "one had just started"},
		{"a route that does not exist", func() []event.Event {
			return []event.Event{
				{At: at - 50, Kind: event.Revision, Daemon: "one", Revision: 7},
				{At: at + 50, Kind: event.Revision, Daemon: "one", Revision: 9},
				{At: at, Kind: event.Refusal, Reason: reason.Route, Request: "r", Daemon: "one"},
			}
		}, "no route matches; one used configuration revision 7"},
		{"shards whose upstreams ended", func() []event.Event {
			return []event.Event{
				{At: at - 5000, Kind: event.Upstream, Reason: reason.Lapsed, Service: "a", Upstream: "a1"},
				{At: at - 4000, Kind: event.Upstream, Reason: reason.Lapsed, Service: "a", Upstream: "a2"},
				{At: at - 4000, Kind: event.Upstream, Reason: reason.Lapsed, Service: "c", Upstream: "c1"},
				{At: at, Kind: event.Partial, Reason: reason.Coverage, Request: "r", Detail: "without a b, after 100 ms"},
			}
		}, "2 upstreams ended or drained, such as a1"},
		{"a service without upstreams", func() []event.Event {
			return []event.Event{
				{At: at - 5000, Kind: event.Upstream, Reason: reason.Lapsed, Service: "other", Upstream: "o1"},
				{At: at - 4000, Kind: event.Upstream, Reason: reason.Draining, Service: "a", Upstream: "a1"},
				{At: at, Kind: event.Refusal, Reason: reason.Replica, Request: "r", Detail: "without a, run no, after 0 ms"},
			}
		}, "1 upstreams ended or drained, such as a1"},
		{"upstreams that are late", func() []event.Event {
			return []event.Event{
				{At: at, Kind: event.Hedge, Reason: reason.Slow, Service: "a", Request: "r"},
				{At: at + 50, Kind: event.Hedge, Reason: reason.Slow, Service: "a", Request: "q"},
				{At: at + 90, Kind: event.Answer, Request: "r"},
			}
		}, "upstreams of 1 services were late"},
		{"a caller that cancelled", func() []event.Event {
			return []event.Event{{At: at, Kind: event.Refusal, Reason: reason.Cancelled, Request: "r"}}
		}, "the caller cancelled or disconnected"},
	} {
		It("names "+c.what, func() { Expect(firstCause(c.all())).To(Equal(c.want)) })
	}
})
